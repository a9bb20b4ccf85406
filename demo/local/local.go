// Package local serves stand-ins of the platform and of backend servers on fixed
// loopback addresses and writes the settings for sapphired processes that use them.
package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/demo"
	"github.com/sapphirefield/sapphirefield/standin"
)

// Options configures the stand-ins.
type Options struct {
	// Engines and Plain are the numbers of engines, which split the model's layers,
	// and of plain servers.
	Engines, PlainServers int
	// Dir is the directory for the settings files and the configuration document.
	Dir string
	// AddressPrefix is the first three octets of the addresses.
	AddressPrefix string
	// StepTime is the duration of one iteration of an engine.
	StepTime time.Duration
}

// Each process has its own address, so that all use the same ports.
const (
	logPort          = 9001
	instanceListPort = 9002
	backendPort      = 9003
	clientPort       = 8443
	peerPort         = 8444
	operatorPort     = 8445

	// The hosts are the last octets of the addresses.
	platformHost    = 1
	entryHost       = 2
	firstEngineHost = 10
	firstPlainHost  = 100
	maxEngines      = demo.Layers
	maxPlain        = 100

	zone     = "local-a"
	filePerm = 0o600
)

// Command returns the subcommand "standins".
func Command() *ffcli.Command {
	var o Options
	flags := flag.NewFlagSet("sapphiredev standins", flag.ContinueOnError)
	flags.IntVar(&o.Engines, "engines", 3, "number of engines, which share the layers of one model")
	flags.IntVar(&o.PlainServers, "plain", 1, "number of plain servers")
	flags.StringVar(&o.Dir, "dir", "", "directory for the settings files and the configuration document")
	flags.StringVar(&o.AddressPrefix, "network", "127.84.0", "first three octets of the loopback addresses")
	flags.DurationVar(&o.StepTime, "step", 5*time.Millisecond, "duration of one iteration of an engine")
	return &ffcli.Command{
		Name:       "standins",
		ShortUsage: "sapphiredev standins -dir DIR [-engines N] [-plain N] [-network 127.84.0] [-step DURATION]",
		ShortHelp:  "serve log service, instance list, engines and plain servers for processes started by hand",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return Run(ctx, os.Stdout, o)
		},
	}
}

// Run writes the settings files and serves the stand-ins until ctx ends.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if err := o.check(); err != nil {
		return err
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return errors.WithStack(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	list := &standin.InstanceList{}
	err := serve(ctx, group, o.address(platformHost, logPort), standin.NewLogService().Handler())
	if err == nil {
		err = serve(ctx, group, o.address(platformHost, instanceListPort), list.Handler())
	}
	if err == nil {
		err = o.startBackends(ctx, group, list)
	}
	if err == nil {
		err = o.writeFiles(out)
	}
	if err != nil {
		// The error cancels the group's context, which stops the servers already
		// listening.
		group.Go(func() error { return err })
	}
	return group.Wait()
}

func (o Options) check() error {
	ip := net.ParseIP(o.AddressPrefix + ".1")
	switch {
	case o.Dir == "":
		return errors.New("-dir must name a directory")
	case ip == nil || !ip.IsLoopback():
		return errors.Errorf("-network %s is not on loopback", o.AddressPrefix)
	case o.Engines < 1 || o.Engines > maxEngines:
		return errors.Errorf("-engines must be from 1 to %d", maxEngines)
	case o.PlainServers < 0 || o.PlainServers > maxPlain:
		return errors.Errorf("-plain must be from 0 to %d", maxPlain)
	}
	return nil
}

func (o Options) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", o.AddressPrefix, host, port)
}

func serve(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: handler}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

func (o Options) layers(engine int) (first, limit int) {
	return engine * demo.Layers / o.Engines, (engine + 1) * demo.Layers / o.Engines
}

func engineID(i int) string { return fmt.Sprintf("engine-%d", i) }

func plainID(i int) string { return fmt.Sprintf("orders-%d", i) }

func (o Options) startBackends(ctx context.Context, group *errgroup.Group, list *standin.InstanceList) error {
	var instances []standin.Instance
	addBackend := func(id, service string, host int, handler http.Handler) error {
		instances = append(instances, standin.Instance{
			ID: id, Service: service, Zone: zone, Address: o.address(host, peerPort), State: standin.StateLive,
		})
		return serve(ctx, group, o.address(host, backendPort), handler)
	}
	for i := range o.Engines {
		first, limit := o.layers(i)
		engine := standin.NewEngine(standin.EngineOptions{
			Model: demo.Model, Version: "1", First: uint32(first), Limit: uint32(limit), Layers: demo.Layers, StepTime: o.StepTime,
		})
		if err := addBackend(engineID(i), demo.Model, firstEngineHost+i, engine.Handler()); err != nil {
			return err
		}
	}
	for i := range o.PlainServers {
		if err := addBackend(plainID(i), demo.Service, firstPlainHost+i, standin.NewPlainServer(0).Handler()); err != nil {
			return err
		}
	}
	list.Set(instances)
	return nil
}

// writeFiles writes the settings files and the configuration document and prints
// the commands that use them.
func (o Options) writeFiles(out io.Writer) error {
	files := map[string]string{"document.yaml": o.document()}
	var ids []string
	for i := range o.Engines {
		first, limit := o.layers(i)
		ids = append(ids, engineID(i))
		files[engineID(i)+".yaml"] = o.sidecar(engineID(i), firstEngineHost+i,
			fmt.Sprintf("  kind: engine\n  model: %s\n  layers: {first: %d, limit: %d}\n", demo.Model, first, limit))
	}
	for i := range o.PlainServers {
		ids = append(ids, plainID(i))
		files[plainID(i)+".yaml"] = o.sidecar(plainID(i), firstPlainHost+i, "  kind: plain\n  service: "+demo.Service+"\n")
	}
	ids = append(ids, "entry-1")
	files["entry-1.yaml"] = o.settings("entry", "entry-1", entryHost, "callers", clientPort)
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(o.Dir, name), []byte(text), filePerm); err != nil {
			return errors.WithStack(err)
		}
	}
	for _, id := range ids {
		fmt.Fprintf(out, "sapphired -settings %s\n", filepath.Join(o.Dir, id+".yaml"))
	}
	fmt.Fprintf(out, "sapphirectl config publish -log http://%s %s\n", o.address(platformHost, logPort), filepath.Join(o.Dir, "document.yaml"))
	_, err := fmt.Fprintf(out, "callers: http://%s with key %s; operators: http://%s\n",
		o.address(entryHost, clientPort), demo.Key, o.address(entryHost, operatorPort))
	return errors.WithStack(err)
}

func (o Options) settings(role, id string, host int, listener string, port int) string {
	return fmt.Sprintf(`role: %s
id: %s
region: local
zone: %s
listen:
  %s: %s
  operators: %s
platform:
  log: http://%s
  instances: http://%s
tls:
  plain_text: true
`, role, id, zone, listener, o.address(host, port), o.address(host, operatorPort),
		o.address(platformHost, logPort), o.address(platformHost, instanceListPort))
}

func (o Options) sidecar(id string, host int, backend string) string {
	return o.settings("sidecar", id, host, "peers", peerPort) + "backend:\n  address: " + o.address(host, backendPort) + "\n" + backend
}

func (o Options) document() string {
	hash := sha256.Sum256([]byte(demo.Key))
	var b strings.Builder
	fmt.Fprintf(&b, `schema: 1
regions:
  - {name: local, zones: [%[1]s]}
accelerators:
  - {kind: standin, memory_bytes: 1000000000, layer_tokens_per_second: 100000}
models:
  - name: %[2]s
    versions: ["1"]
    serving: "1"
    layers: %[3]d
    bytes_per_layer: 1000
    activation_bytes: 8
    kv_bytes_per_token_layer: 1
    context_tokens: 4096
services:
  - name: %[4]s
    idempotent: [{method: GET, path_prefix: /}]
    key_window: 1h
teams:
  - name: local
    key_hashes: [%[5]s]
    models: [%[2]s]
    services: [%[4]s]
servers:
`, zone, demo.Model, demo.Layers, demo.Service, hex.EncodeToString(hash[:]))
	for i := range o.Engines {
		fmt.Fprintf(&b, "  - {id: %s, zone: %s, model: %s, accelerator: standin, fencing: ignores}\n", engineID(i), zone, demo.Model)
	}
	for i := range o.PlainServers {
		fmt.Fprintf(&b, "  - {id: %s, zone: %s, service: %s}\n", plainID(i), zone, demo.Service)
	}
	return b.String()
}
