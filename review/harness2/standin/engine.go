package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// recordLife is how long the platform keeps the record of a server that writes no more.
const recordLife = 3 * heartbeat

// modelEngine is a model engine in the process of the script.
type modelEngine struct {
	*world
	id, service, kind string
	memoryMB, layerMB int
	born              int64
	address           string
	server            *http.Server
	stop              chan struct{}

	mu       sync.Mutex
	from, to int
	busy     bool
	orders   int64
	records  int
	// over is set once it was ordered to hold more layers than its memory holds.
	over bool
	// draining is set while it leaves, ended once it is gone.
	draining, ended bool
	// crashes reports whether a request crashes the engine when it begins; nil means none does.
	crashes func(r *http.Request) bool
	// streams are the requests that began at this engine, by ID.
	streams map[string]*stream
}

// engineLoad is how long an engine loads its layers.
const engineLoad = 300 * time.Millisecond

// startEngine starts an engine without layers at an address; port 0 takes a free one.
func (w *world) startEngine(id, service, kind string, memoryMB, layerMB int, address string) (*modelEngine, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &modelEngine{
		world: w, id: id, service: service, kind: kind, memoryMB: memoryMB, layerMB: layerMB, born: time.Now().UnixMilli(),
		address: listener.Addr().String(), stop: make(chan struct{}), streams: map[string]*stream{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("POST /v1/order", e.order)
	mux.HandleFunc("/", e.serveStream)
	e.server = &http.Server{Handler: mux}
	w.enginesMu.Lock()
	w.engines[e.address] = e
	w.enginesMu.Unlock()
	go func() { _ = e.server.Serve(listener) }()
	go e.beat()
	w.ends = append(w.ends, func() { _ = e.server.Close() })
	w.log("engine %s of %s, %s with %d MB, has started at %s", id, service, kind, memoryMB, e.address)
	return e, nil
}

// beat writes the record at each heartbeat.
func (e *modelEngine) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.writeRecord()
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}

func (e *modelEngine) writeRecord() {
	e.mu.Lock()
	e.records++
	fields := e.state()
	for name, value := range map[string]any{
		"service-name": e.service, "address": e.address, "zone": "a", "version": "v1", "slot-count": 192, "phase": "ready", "cold-remaining-ms": 0,
		"sequence": e.records,
	} {
		fields[name] = value
	}
	if e.draining {
		fields["phase"] = "draining"
	}
	e.mu.Unlock()
	value, _ := json.Marshal(fields)
	_ = putRecord(e.url, "keyed.servers", e.id, value)
}

// state returns what the engine says of itself everywhere. e.mu is held.
func (e *modelEngine) state() map[string]any {
	return map[string]any{
		"stage": "both", "model-list": []any{map[string]any{"name": e.service, "version": 1, "adapters": []any{}}}, "busy": e.busy, "born": e.born,
		"route-type": e.kind, "layers": map[string]int{"from": e.from, "target": e.to},
	}
}

func (e *modelEngine) report(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	fields := e.state()
	fields["sequence"] = e.orders
	stalled, running := []any{}, len(e.streams)
	for id, s := range e.streams {
		if at := s.stalledAt(); at != "" {
			stalled = append(stalled, map[string]any{"instance-id": id, "address": at})
		}
	}
	e.mu.Unlock()
	for name, value := range map[string]any{"waiting": 0, "running": running, "kv-used": 0, "kv-total": 1000000, "handles": 0, "pace": 1, "stalled": stalled} {
		fields[name] = value
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(fields)
}

// order takes an order, unless it names another instance.
func (e *modelEngine) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		Target       int    `json:"target"`
		Precondition *int64 `json:"precondition"`
		Request      string `json:"instance-id"`
		Path         string `json:"path"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Operation == "repath" {
		e.repath(rw, o.Request, o.Path)
		return
	}
	if o.Operation != "place" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := r.Header.Get("X-Expect-Instance")
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case expected != "" && expected != e.id:
		status = http.StatusMisdirectedRequest
	case e.busy, o.Precondition != nil && *o.Precondition != e.orders:
		status = http.StatusConflict
	case o.From == e.from && o.Target == e.to:
		status = http.StatusOK
	}
	e.log("order at %s of %s: place %d to %d, X-Expect-Instance %q: %d", e.id, e.service, o.From, o.Target, expected, status)
	rw.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	e.orders++
	if need := (o.Target - o.From) * e.layerMB; need > e.memoryMB {
		e.log("LIMIT: %s was ordered to hold %d layers, which need %d MB; it has %d MB, and crashes", e.id, o.Target-o.From, need, e.memoryMB)
		e.over = true
		go e.crash()
		return
	}
	// What stays is served while the rest is loaded.
	e.busy, e.from, e.to = true, max(e.from, o.From), min(e.to, o.Target)
	if e.to <= e.from {
		e.from, e.to = 0, 0
	}
	time.AfterFunc(engineLoad, func() {
		e.mu.Lock()
		e.busy, e.from, e.to = false, o.From, o.Target
		e.mu.Unlock()
		e.writeRecord()
	})
}

// leave drains the engine as planned: it says so in its record, serves on for drain-ms and a
// little longer, and ends.
func (e *modelEngine) leave() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.writeRecord()
	time.AfterFunc(drainTime+500*time.Millisecond, func() { e.end("has left") })
}

// crash ends the engine at once.
func (e *modelEngine) crash() { e.end("has crashed") }

// end ends the engine. The platform removes its record later.
func (e *modelEngine) end(how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	close(e.stop)
	e.ended = true
	_ = e.server.Close()
	e.log("engine %s %s", e.id, how)
	time.AfterFunc(recordLife, func() {
		_ = putRecord(e.url, "keyed.servers", e.id, nil)
		e.log("the record of %s has lapsed", e.id)
	})
}

func (e *modelEngine) wasOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.over
}

func (e *modelEngine) holdsLayers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.to > e.from
}

// modelService is a service with an engine profile.
func modelService(name string, layers, layerMB int) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 1128, "protocol": "h1", "use-tls": false, "engine-profile": map[string]any{
		"slot-count": 192, "kv-token-capacity": 100000, "token-kv-bytes": 4096 * layers, "link-mbps": 480000.0, "stride": 2,
		"model-list": []any{map[string]any{"name": name, "pace": 1.0, "load-s": 1.0, "warm-s": 1.0}}, "step_ms": 0.85, "per_seq_ms": 0.00382,
		"context_per_k": 0.00512, "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6,
		"delays": []any{}, "usual": map[string]any{"prompt": 772, "answer": 172}, "layers": layers, "layer-mb": layerMB, "act-bytes": 29500, "pipe-mbps": 9000.0,
		"kinds": []any{
			map[string]any{"name": "h100", "mb": 72000, "pace": 1.4, "read-x": 1.0}, map[string]any{"name": "t4", "mb": 14400, "pace": 15.0, "read-x": 15.0},
		},
	}}
}

// streamRoute is a streaming route to a service.
func streamRoute(name, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": "shop.example", "path-prefix": fmt.Sprintf("/%s/", name), "route-type": "streaming", "timeout-ms": 20000,
		"target-latency-ms": 500, "priority-class": 1, "service-name": service, "max-attempts": 2, "allow-anonymous": false, "session-affinity": true,
		"stream-resume": true, "gap-aim-ms": 200,
	}
}
