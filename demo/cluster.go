// Package demo runs an entry, sidecars and stand-in backend servers in one
// process, over TCP on loopback or an in-memory network. The demo command, the
// end-to-end tests and the benchmarks use it.
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

// Names and sizes that every cluster uses.
const (
	Model   = "sapphire-llm"
	Service = "orderbook-app"
	Key     = "demo-key"
	EntryID = "entry-0"
	Layers  = 24
)

// ClusterOptions sizes a cluster.
type ClusterOptions struct {
	// Stages is the number of layer ranges, Copies the number of engines per range.
	Stages, Replicas int
	PlainServers     int
	// StepTime is the duration of one iteration of a stand-in engine.
	StepTime time.Duration
	// PlainDelay is how long a stand-in plain server takes to process a booking.
	PlainDelay time.Duration
	// PrefillTimePerByte is how long an engine takes to process each byte of a prompt.
	PrefillTimePerByte time.Duration
	// HistoryBytes bounds the activations that each sidecar keeps for replay; 0 means
	// the sidecar's default.
	HistoryBytes int
	// Trace, if set, is called for each frame between the entry and a sidecar.
	Trace func(peer string, up *wire.WorkUp, down *wire.WorkDown)
	// Claims is the log for idempotency keys; nil means that there is none.
	Claims entry.ClaimLog
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
	// BackendURL is the base URL of the backend server.
	BackendURL     string
	sidecarOptions sidecar.Options
	// stop stops the node, stopSidecar only its sidecar, crashBackend only its backend
	// server, which is back after a while.
	stop, stopSidecar context.CancelFunc
	crashBackend      func(downtime time.Duration)
	restart           func() error
	killed            atomic.Bool
	// sidecarDone is closed when the sidecar has stopped.
	sidecarDone <-chan struct{}
}

// service returns the node's service name in the instance list.
func (n *Node) service() string {
	if n.Engine != nil {
		return Model
	}
	return Service
}

// Kill stops the sidecar and its backend server without draining.
func (n *Node) Kill() {
	n.killed.Store(true)
	n.stop()
}

// isKilled reports whether Kill was called.
func (n *Node) isKilled() bool { return n.killed.Load() }

// Cluster is an entry with its nodes, all in one process.
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

// Start starts a cluster and waits until all sidecars are usable.
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
	layersPerStage := Layers / c.opts.Stages
	for stage := range c.opts.Stages {
		for copyIndex := range c.opts.Replicas {
			id := engineID(stage, copyIndex)
			layers := &wire.LayerRange{First: uint32(stage * layersPerStage), Limit: uint32((stage + 1) * layersPerStage)}
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
	url, err := c.serveBackend(ctx, node, backend)
	if err != nil {
		return err
	}
	opts.Backend = url
	opts.Dialer.DialContext = c.dialer(node.ID)
	opts.DialBackend = c.dialer(node.ID)
	node.BackendURL = url
	node.sidecarOptions = opts
	c.Nodes = append(c.Nodes, node)
	return c.startSidecar(ctx, node)
}

// serveBackend serves a node's backend server and sets how it crashes.
func (c *Cluster) serveBackend(ctx context.Context, node *Node, backend http.Handler) (string, error) {
	backendCtx, stop := context.WithCancel(ctx)
	node.crashBackend = func(downtime time.Duration) {
		stop()
		c.wg.Go(func() {
			select {
			case <-time.After(downtime):
			case <-ctx.Done():
			}
			if ctx.Err() == nil {
				// The in-memory network has the same address again.
				_, _ = c.serveBackend(ctx, node, backend)
			}
		})
	}
	return c.serveHTTP(backendCtx, node.ID+backendSuffix, backend)
}

// startSidecar starts a sidecar that stopSidecar or the node's stop ends.
func (c *Cluster) startSidecar(ctx context.Context, node *Node) error {
	listener, err := c.listen(node.ID)
	if err != nil {
		return err
	}
	parent := ctx
	ctx, node.stopSidecar = context.WithCancel(parent)
	node.restart = func() error { return c.startSidecar(parent, node) }
	node.Address = listener.Addr().String()
	server := sidecar.New(node.sidecarOptions)
	node.Sidecar = server
	done := make(chan struct{})
	node.sidecarDone = done
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	return nil
}

// Restart restarts a node's sidecar as a new incarnation; its backend server keeps
// running. It requires an in-memory network, where the address does not change.
func (c *Cluster) Restart(id string) error {
	node := c.Node(id)
	node.stopSidecar()
	<-node.sidecarDone
	return node.restart()
}

// backendSuffix is appended to a node's ID to form the address of its backend
// server on an in-memory network.
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

// serveHTTP serves a handler until ctx ends. It then closes all connections, as
// happens when a process exits.
func (c *Cluster) serveHTTP(ctx context.Context, name string, handler http.Handler) (string, error) {
	listener, err := c.listen(name)
	if err != nil {
		return "", err
	}
	handlers := &requestTracker{handler: handler}
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
		Config: func() *config.Document { return c.document }, Trace: c.opts.Trace, Claims: c.opts.Claims,
	})
	c.Entry.SetInstances(c.Instances())
	url, err := c.serveHTTP(ctx, EntryID, c.Entry.Handler())
	c.URL = url
	return err
}

// Instances returns all nodes as instance list entries.
func (c *Cluster) Instances() []entry.Instance {
	var instances []entry.Instance
	for _, n := range c.Nodes {
		instances = append(instances, entry.Instance{ID: n.ID, Service: n.service(), Zone: "changwon-a", Address: n.Address})
	}
	return instances
}

// Node returns the node with the given ID, or nil.
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
	for c.Entry.UsableSidecars() < len(c.Nodes) || !c.Entry.Ready() {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d of %d sidecars became usable in time, and the entry is ready: %t", c.Entry.UsableSidecars(), len(c.Nodes), c.Entry.Ready())
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// requestTracker wraps a handler so that close waits for requests in progress,
// which http.Server.Close does not.
type requestTracker struct {
	handler  http.Handler
	mu       sync.Mutex
	closed   bool
	inFlight sync.WaitGroup
}

// ServeHTTP calls the wrapped handler unless the tracker is closed.
func (g *requestTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.inFlight.Add(1)
	g.mu.Unlock()
	defer g.inFlight.Done()
	g.handler.ServeHTTP(w, r)
}

func (g *requestTracker) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.inFlight.Wait()
}

// HTTPClient returns a client that connects over the cluster's network. The caller
// must close its idle connections.
func (c *Cluster) HTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.dialer("caller")}}
}

// Stop stops the entry and all nodes and waits for them.
func (c *Cluster) Stop() {
	c.cancel()
	c.wg.Wait()
	if c.opts.Network != nil {
		c.opts.Network.Close()
	}
}

const (
	accelerator = "standin"
	// layerRate is high enough that admission control does not limit benchmarks.
	layerRate = 1e6
)

// document returns a minimal configuration with one team.
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
