// Package demo runs all roles and stand-ins in one process over real sockets on
// loopback. The demo command, the end-to-end tests and the benchmarks use it.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/entry"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/sidecar"
	"github.com/sapphirefield/sapphirefield/standin"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Names used by the demo.
const (
	Model   = "sapphire-llm"
	Service = "orderbook-app"
	Key     = "demo-key"
	EntryID = "entry-0"
	Layers  = 24
)

// ClusterOptions sizes a cluster.
type ClusterOptions struct {
	// Stages is the number of layer ranges, Copies how many engines hold each of them.
	Stages, Replicas int
	PlainServers     int
	// StepTime is what one iteration of a stand-in engine takes.
	StepTime time.Duration
	// PlainDelay is how long a stand-in plain server takes for a booking.
	PlainDelay time.Duration
	// PrefillTimePerByte is what an engine takes for each byte of a prompt.
	PrefillTimePerByte time.Duration
	// HistoryBytes bounds the activations that sidecars keep; 0 means their default.
	HistoryBytes int
	// Trace is passed to the entry.
	Trace func(peer string, up *wire.WorkUp, down *wire.WorkDown)
	// Network is the network to use; nil means TCP on loopback.
	Network *standin.Network
	// Log receives the log lines of all processes; nil discards them.
	Log io.Writer
}

// Node is one backend server with its sidecar.
type Node struct {
	ID      string
	Engine  *standin.Engine
	Plain   *standin.PlainServer
	Sidecar *sidecar.Server
	Address string
	// BackendURL is where the backend server listens.
	BackendURL string
	options    sidecar.Options
	// stop ends the node, stopSidecar its sidecar only.
	stop, stopSidecar context.CancelFunc
	restart           func() error
	killed            atomic.Bool
	// ended is closed when the sidecar has ended.
	ended <-chan struct{}
}

// service is what the instance list names the node's service.
func (n *Node) service() string {
	if n.Engine != nil {
		return Model
	}
	return Service
}

// Kill ends the sidecar and its backend server at once.
func (n *Node) Kill() {
	n.killed.Store(true)
	n.stop()
}

// dead tells whether the node was killed.
func (n *Node) dead() bool { return n.killed.Load() }

// Cluster is a set of processes in one.
type Cluster struct {
	Entry    *entry.Server
	URL      string
	Nodes    []*Node
	opts     ClusterOptions
	logger   *log.Logger
	document *config.Document
	wg       sync.WaitGroup
	cancel   context.CancelFunc
}

// Start brings a cluster up and waits until every sidecar may receive work.
func Start(ctx context.Context, opts ClusterOptions) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{opts: opts, logger: newLogger(opts.Log), document: document(opts), cancel: cancel}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func newLogger(w io.Writer) *log.Logger {
	if w == nil {
		w = io.Discard
	}
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}}
}

func engineID(stage, copyIndex int) string { return fmt.Sprintf("engine-%d%c", stage, 'a'+copyIndex) }

func (c *Cluster) start(ctx context.Context) error {
	per := Layers / c.opts.Stages
	for stage := range c.opts.Stages {
		for copyIndex := range c.opts.Replicas {
			id := engineID(stage, copyIndex)
			layers := &wire.LayerRange{First: uint32(stage * per), Limit: uint32((stage + 1) * per)}
			if stage == c.opts.Stages-1 {
				layers.Limit = Layers
			}
			if err := c.addEngine(ctx, id, layers); err != nil {
				return err
			}
		}
	}
	for i := range c.opts.PlainServers {
		if err := c.addPlain(ctx, fmt.Sprintf("orders-%d", i)); err != nil {
			return err
		}
	}
	if err := c.startEntry(ctx); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

func (c *Cluster) addEngine(ctx context.Context, id string, layers *wire.LayerRange) error {
	engine := standin.NewEngine(standin.EngineOptions{
		Model: Model, Version: "1", First: layers.First, Limit: layers.Limit, Layers: Layers, StepTime: c.opts.StepTime,
		PrefillTimePerByte: c.opts.PrefillTimePerByte,
	})
	node := &Node{ID: id, Engine: engine}
	return c.addNode(ctx, node, engine.Handler(), sidecar.Options{ID: id, Zone: "changwon-a", Model: Model, Layers: layers, Logger: c.logger, HistoryBytes: c.opts.HistoryBytes})
}

func (c *Cluster) addPlain(ctx context.Context, id string) error {
	plain := standin.NewPlainServer(c.opts.PlainDelay)
	node := &Node{ID: id, Plain: plain}
	return c.addNode(ctx, node, plain.Handler(), sidecar.Options{ID: id, Zone: "changwon-a", Service: Service, Logger: c.logger})
}

func (c *Cluster) addNode(ctx context.Context, node *Node, backend http.Handler, opts sidecar.Options) error {
	ctx, node.stop = context.WithCancel(ctx)
	url, err := c.serveHTTP(ctx, node.ID+backendSuffix, backend)
	if err != nil {
		return err
	}
	opts.Backend = url
	opts.Dialer.DialContext = c.dialer(node.ID)
	opts.DialBackend = c.dialer(node.ID)
	node.BackendURL = url
	node.options = opts
	c.Nodes = append(c.Nodes, node)
	return c.startSidecar(ctx, node)
}

// startSidecar starts a sidecar that ends by itself or with its node.
func (c *Cluster) startSidecar(ctx context.Context, node *Node) error {
	listener, err := c.listen(node.ID)
	if err != nil {
		return err
	}
	parent := ctx
	ctx, node.stopSidecar = context.WithCancel(parent)
	node.restart = func() error { return c.startSidecar(parent, node) }
	node.Address = listener.Addr().String()
	server := sidecar.New(node.options)
	node.Sidecar = server
	ended := make(chan struct{})
	node.ended = ended
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer close(ended)
		_ = server.Serve(ctx, listener)
	}()
	return nil
}

// Restart ends a node's sidecar and starts a new incarnation. The backend
// server goes on. It needs an in-memory network, where the address stays.
func (c *Cluster) Restart(id string) error {
	node := c.Node(id)
	node.stopSidecar()
	<-node.ended
	return node.restart()
}

// backendSuffix joined to a node's name is the address of its backend server on an in-memory network.
const backendSuffix = ".backend"

func (c *Cluster) listen(name string) (net.Listener, error) {
	if c.opts.Network != nil {
		return c.opts.Network.Listen(name), nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return listener, errors.WithStack(err)
}

func (c *Cluster) dialer(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	if c.opts.Network != nil {
		return c.opts.Network.Dialer(name)
	}
	return nil
}

// serveHTTP serves a handler until ctx ends and cuts its connections then, as the end of a process does.
func (c *Cluster) serveHTTP(ctx context.Context, name string, handler http.Handler) (string, error) {
	listener, err := c.listen(name)
	if err != nil {
		return "", err
	}
	handlers := &handlerGroup{handler: handler}
	server := &http.Server{Handler: handlers}
	c.wg.Add(2)
	go func() {
		defer c.wg.Done()
		_ = server.Serve(listener)
	}()
	go func() {
		defer c.wg.Done()
		<-ctx.Done()
		_ = server.Close()
		handlers.close()
	}()
	return "http://" + listener.Addr().String(), nil
}

func (c *Cluster) startEntry(ctx context.Context) error {
	c.Entry = entry.New(ctx, entry.Options{
		ID: EntryID, Zone: "changwon-a", Logger: c.logger, Dialer: link.Dialer{DialContext: c.dialer(EntryID)},
		Config: func() *config.Document { return c.document }, Trace: c.opts.Trace,
	})
	c.Entry.SetInstances(c.Instances())
	url, err := c.serveHTTP(ctx, EntryID, c.Entry.Handler())
	c.URL = url
	return err
}

// Instances lists all nodes as the instance list would.
func (c *Cluster) Instances() []entry.Instance {
	var instances []entry.Instance
	for _, n := range c.Nodes {
		instances = append(instances, entry.Instance{ID: n.ID, Service: n.service(), Zone: "changwon-a", Address: n.Address})
	}
	return instances
}

// Node returns a node by its name.
func (c *Cluster) Node(id string) *Node {
	for _, n := range c.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

const (
	readyTimeout = 10 * time.Second
	readyPoll    = 5 * time.Millisecond
)

func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for c.Entry.UsableSidecars() < len(c.Nodes) {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d of %d sidecars usable in time", c.Entry.UsableSidecars(), len(c.Nodes))
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// handlerGroup waits for its requests at the end, which http.Server.Close does not do.
type handlerGroup struct {
	handler http.Handler
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// ServeHTTP passes a request on.
func (g *handlerGroup) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.running.Add(1)
	g.mu.Unlock()
	defer g.running.Done()
	g.handler.ServeHTTP(w, r)
}

func (g *handlerGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

// HTTPClient returns a client that reaches the cluster's network. Its caller
// closes the idle connections.
func (c *Cluster) HTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.dialer("caller")}}
}

// Stop ends all processes and waits for them.
func (c *Cluster) Stop() {
	c.cancel()
	c.wg.Wait()
	if c.opts.Network != nil {
		c.opts.Network.Close()
	}
}

const (
	accelerator = "standin"
	// layerRate is high enough that admission lets benchmarks load the path.
	layerRate = 1e6
)

// document is a small configuration with one team.
func document(opts ClusterOptions) *config.Document {
	hash := sha256.Sum256([]byte(Key))
	var servers []config.Server
	for stage := range opts.Stages {
		for copyIndex := range opts.Replicas {
			servers = append(servers, config.Server{ID: engineID(stage, copyIndex), Accelerator: accelerator})
		}
	}
	return &config.Document{
		Accelerators: []config.Accelerator{{Kind: accelerator, LayerTokensPerSecond: layerRate}},
		Servers:      servers,
		Schema:       config.SchemaVersion,
		Models:       []config.Model{{Name: Model, Versions: []string{"1"}, ServingVersion: "1", Layers: Layers, ActivationBytes: 8, ContextTokens: 4096}},
		Services: []config.Service{{
			Name: Service, Timeout: 5 * time.Second, IdempotencyKeyTTL: time.Hour, OnLogOutage: config.RefuseDuringOutage,
			Idempotent: []config.CallRule{{Method: http.MethodGet, PathPrefix: "/"}},
		}},
		Teams: []config.Team{{
			Name: "changwon-press", KeyHashes: []string{hex.EncodeToString(hash[:])}, Weight: 1,
			Models: []string{Model}, Services: []string{Service},
		}},
	}
}
