package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/entry"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/standin"
	"github.com/sapphirefield/sapphirefield/wire"
)

// The benchmarks of the request path are in one package, so that a single run
// measures them under the same machine conditions:
//
//	go test ./demo -run xxx -bench 'Path|SidecarStep|Entry' -benchtime 2s -benchmem

// BenchmarkPathLatency compares the time to first token and the inter-token
// latency with those of direct calls to the same engines.
func BenchmarkPathLatency(b *testing.B) {
	for _, step := range []time.Duration{2 * time.Millisecond, 9 * time.Millisecond} {
		b.Run(fmt.Sprintf("step=%s", step), func(b *testing.B) {
			cluster, err := Start(b.Context(), ClusterOptions{Stages: 3, Replicas: 1, StepTime: step})
			assert.NilError(b, err)
			defer cluster.Stop()
			client := &Client{URL: cluster.URL, Key: Key, HTTP: cluster.HTTPClient()}
			defer client.HTTP.CloseIdleConnections()
			const tokens = 50
			var routed, direct streamTimes
			for range b.N {
				routed.add(b, func(onToken func(int)) error {
					_, err := client.Complete(b.Context(), Model, testPrompt, tokens, onToken)
					return err
				})
				direct.add(b, func(onToken func(int)) error {
					return cluster.generateDirectly(b.Context(), tokens, onToken)
				})
			}
			b.ReportMetric(routed.first.Seconds()/direct.first.Seconds(), "first-ratio")
			b.ReportMetric(routed.gaps.Seconds()/direct.gaps.Seconds(), "between-ratio")
			b.ReportMetric(1000*routed.first.Seconds()/float64(b.N), "first-ms")
			b.ReportMetric(1000*routed.gaps.Seconds()/float64(b.N*(tokens-1)), "between-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

type streamTimes struct{ first, gaps time.Duration }

func (s *streamTimes) add(b *testing.B, generate func(onToken func(int)) error) {
	b.Helper()
	start := time.Now()
	var first time.Time
	err := generate(func(n int) {
		if n == 1 {
			first = time.Now()
		}
	})
	assert.NilError(b, err)
	s.first += first.Sub(start)
	s.gaps += time.Since(first)
}

// generateDirectly generates tokens by calling the engines directly, one after
// another for each token.
func (c *Cluster) generateDirectly(ctx context.Context, tokens int, onToken func(int)) error {
	client := c.HTTPClient()
	defer client.CloseIdleConnections()
	last := uint32(0)
	for n := range tokens {
		step := &wire.EngineStep{Request: "direct", Attempt: 1, Index: uint32(n), MaxTokens: uint32(tokens)}
		step.Token = last
		if n == 0 {
			step.Prompt = testPrompt
		}
		for _, node := range c.Nodes {
			result, err := postStep(ctx, client, node.BackendURL, step)
			if err != nil {
				return err
			}
			last = result.Token
			step = &wire.EngineStep{Request: "direct", Attempt: 1, Index: uint32(n), MaxTokens: uint32(tokens), Activation: result.Activation}
		}
		onToken(n + 1)
	}
	for _, node := range c.Nodes {
		resp, err := client.Post(node.BackendURL+"/v1/cancel", "application/json", strings.NewReader(`{"requests":[{"request":"direct","attempt":1}]}`))
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
	}
	return nil
}

func postStep(ctx context.Context, client *http.Client, url string, step *wire.EngineStep) (*wire.EngineResult, error) {
	body, err := proto.Marshal(&wire.EngineBatch{Steps: []*wire.EngineStep{step}})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/steps", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	results := new(wire.EngineResults)
	if err := proto.Unmarshal(answer, results); err != nil {
		return nil, err
	}
	if len(results.Results) != 1 || results.Results[0].Error != "" {
		return nil, fmt.Errorf("unexpected results %v", results)
	}
	return results.Results[0], nil
}

// BenchmarkSidecarStep measures the cost of one step on a sidecar. It includes the
// stand-in engine, whose step time is 0, and the test's end of the stream.
func BenchmarkSidecarStep(b *testing.B) {
	for _, batch := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			cluster, err := Start(b.Context(), ClusterOptions{Stages: 1, Replicas: 1})
			assert.NilError(b, err)
			defer cluster.Stop()
			conn, err := link.Dialer{}.Dial(b.Context(), cluster.Nodes[0].ID, cluster.Nodes[0].Address)
			assert.NilError(b, err)
			defer func() { _ = conn.Close() }()
			stream, err := wire.NewDRPCSidecarClient(conn).Work(b.Context())
			assert.NilError(b, err)
			send := func(frame *wire.WorkUp) { assert.NilError(b, stream.Send(frame)) }
			send(&wire.WorkUp{Body: &wire.WorkUp_Hello{Hello: &wire.Hello{Id: "bench", Incarnation: "1"}}})
			b.ReportAllocs()
			b.ResetTimer()
			for done := 0; done < b.N; {
				done += runSteps(b, cluster, stream, send, batch, (b.N-done+batch-1)/batch, done)
			}
		})
	}
}

// runSteps generates tokens for a batch of requests and returns the number of steps.
func runSteps(b *testing.B, c *Cluster, stream wire.DRPCSidecar_WorkClient, send func(*wire.WorkUp), batch, tokens, offset int) int {
	b.Helper()
	tokens = min(tokens, 200)
	chain := []*wire.Stage{{Instance: "engine-0a", Address: c.Nodes[0].Address, Layers: &wire.LayerRange{Limit: Layers}}}
	for i := range batch {
		request := fmt.Sprintf("%d-%d", offset, i)
		send(&wire.WorkUp{Body: &wire.WorkUp_Open{Open: &wire.Open{
			Request: request, Attempt: 1, Incarnation: c.Nodes[0].Sidecar.Incarnation(), Chain: chain, Model: Model, MaxTokens: uint32(tokens),
		}}})
		send(&wire.WorkUp{Body: &wire.WorkUp_Start{Start: &wire.Start{Request: request, Attempt: 1, Prompt: request}}})
	}
	steps := 0
	for finished := 0; finished < batch; {
		frame, err := stream.Recv()
		assert.NilError(b, err)
		for _, token := range frame.GetTokens().GetTokens() {
			steps++
			if token.Finish != "" {
				finished++
				send(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{Request: token.Request, Attempt: 1}}})
			}
		}
	}
	return steps
}

// startFakeSidecarEntry starts an entry with a fake sidecar. If hold is set, the
// sidecar keeps its streams open.
func startFakeSidecarEntry(b *testing.B, hold bool) (server *entry.Server, stop func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	mux := drpcmux.New()
	assert.NilError(b, wire.DRPCRegisterSidecar(mux, &standin.FastSidecar{ID: "engine-0a", Model: Model, Layers: Layers, StallAfterFirstToken: hold}))
	var wg sync.WaitGroup
	wg.Go(func() { _ = link.Serve(ctx, listener, nil, mux) })
	doc := document(ClusterOptions{Stages: 1, Replicas: 1})
	server = entry.New(ctx, entry.Options{
		ID: EntryID, Logger: newLogger(nil), Config: func() *config.Document { return doc }, RequestTimeout: time.Hour,
	})
	server.SetInstances([]entry.Instance{{ID: "engine-0a", Address: listener.Addr().String()}})
	for server.ConnectedSidecars() == 0 {
		time.Sleep(time.Millisecond)
	}
	return server, func() {
		cancel()
		wg.Wait()
	}
}

func streamBody(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":%d,"stream":true}`, Model, tokens)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Flush()                      {}

// BenchmarkEntryToken measures the cost of one token on the entry, from the
// sidecar's frame to the client's event. It includes the fake sidecar but no client
// connection.
func BenchmarkEntryToken(b *testing.B) {
	for _, streams := range []int{1, 64} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			server, stop := startFakeSidecarEntry(b, false)
			defer stop()
			handler := server.Handler()
			const tokens = 500
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			var left atomic.Int64
			left.Store(int64(b.N))
			for range streams {
				wg.Go(func() {
					for left.Add(-tokens) > -tokens {
						req, _ := http.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(streamBody(tokens)))
						req.Header.Set("Authorization", "Bearer "+Key)
						handler.ServeHTTP(&discardWriter{header: make(http.Header)}, req)
					}
				})
			}
			wg.Wait()
		})
	}
}

// serveBench serves a handler on loopback until stop is called.
func serveBench(b *testing.B, handler http.Handler) (url string, stop func()) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), func() { _ = server.Close() }
}

// BenchmarkEntryThroughput measures requests and tokens per second through the
// entry and, for comparison, through a minimal forwarder. The whole process runs on
// one core, which clients, fake sidecar and the forwarder's backend share.
func BenchmarkEntryThroughput(b *testing.B) {
	const tokens = 224
	b.Run("entry", func(b *testing.B) {
		server, stop := startFakeSidecarEntry(b, false)
		defer stop()
		url, stopHTTP := serveBench(b, server.Handler())
		defer stopHTTP()
		measureThroughput(b, url, tokens)
	})
	b.Run("forwarder", func(b *testing.B) {
		backend, stopBackend := serveBench(b, standin.EventBackend(tokens))
		defer stopBackend()
		transport := &http.Transport{MaxIdleConnsPerHost: 64}
		defer transport.CloseIdleConnections()
		url, stop := serveBench(b, standin.Forwarder(&http.Client{Transport: transport}, backend))
		defer stop()
		measureThroughput(b, url, tokens)
	})
}

func measureThroughput(b *testing.B, url string, tokens int) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const callers = 32
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var left atomic.Int64
	left.Store(int64(b.N))
	var wg sync.WaitGroup
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(streamBody(tokens)))
				req.Header.Set("Authorization", "Bearer "+Key)
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				n, _ := io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if n < int64(tokens*100) {
					b.Errorf("answer of %d bytes, status %d", n, resp.StatusCode)
				}
			}
		})
	}
	wg.Wait()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(b.N)/seconds, "requests/s")
	b.ReportMetric(float64(b.N*tokens)/seconds, "tokens/s")
}

// BenchmarkEntryMemory measures the memory of 1,000 open streams. The clients are
// raw connections, so that they add almost none.
func BenchmarkEntryMemory(b *testing.B) {
	const streams = 1000
	b.Run("entry", func(b *testing.B) {
		server, stop := startFakeSidecarEntry(b, true)
		defer stop()
		url, stopHTTP := serveBench(b, server.Handler())
		defer stopHTTP()
		for range b.N {
			b.ReportMetric(memoryPerStream(b, url, streams), "bytes/stream")
		}
	})
	b.Run("forwarder", func(b *testing.B) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer func() { _ = listener.Close() }()
		go standin.ServeIdleStreams(listener)
		backend := "http://" + listener.Addr().String()
		transport := &http.Transport{}
		url, stop := serveBench(b, standin.Forwarder(&http.Client{Transport: transport}, backend))
		defer stop()
		for range b.N {
			b.ReportMetric(memoryPerStream(b, url, streams), "bytes/stream")
		}
	})
}

// memoryPerStream opens streams and returns the bytes of process memory per stream.
func memoryPerStream(b *testing.B, url string, streams int) float64 {
	b.Helper()
	before := memoryInUse()
	conns := make([]net.Conn, streams)
	body := streamBody(100)
	request := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", Key, len(body), body)
	buffer := make([]byte, 4096)
	for i := range conns {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		assert.NilError(b, err)
		conns[i] = conn
		_, err = io.WriteString(conn, request)
		assert.NilError(b, err)
		for got := ""; !strings.Contains(got, "billet"); {
			n, err := conn.Read(buffer)
			assert.NilError(b, err, got)
			got += string(buffer[:n])
		}
	}
	used := memoryInUse() - before
	for _, conn := range conns {
		_ = conn.Close()
	}
	return float64(used) / float64(streams)
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
