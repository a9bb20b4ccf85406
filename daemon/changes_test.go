package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/relay"
)

// changingPlatform is a platform whose configuration changes all the time: the timeouts of
// connections, and every third time it is a large one.
type changingPlatform struct {
	idlePlatform
	servers []string
}

const (
	changeInterval = 100 * time.Millisecond
	largeRoutes    = 3000
	callTimeout    = 4 * time.Second
)

func (p changingPlatform) ReadLatest(ctx context.Context, topic relay.Topic) (relay.RecordBatch, error) {
	switch topic {
	case relay.TopicConfiguration:
		return relay.RecordBatch{Records: []relay.Record{{Key: "c", Value: []byte("1")}}, Next: relay.Position{Offset: 1}}, nil
	case relay.TopicServers:
		batch := relay.RecordBatch{Next: relay.Position{Offset: int64(len(p.servers))}}
		for i := range p.servers {
			batch.Records = append(batch.Records, relay.Record{Key: strconv.Itoa(i), Value: []byte("{}")})
		}
		return batch, nil
	}
	return p.idlePlatform.ReadLatest(ctx, topic)
}

func (p changingPlatform) Read(ctx context.Context, topic relay.Topic, from relay.Position, wait relay.ReadWait) (relay.RecordBatch, error) {
	if topic != relay.TopicConfiguration {
		return p.idlePlatform.Read(ctx, topic, from, wait)
	}
	select {
	case <-ctx.Done():
		return relay.RecordBatch{}, ctx.Err()
	case <-time.After(changeInterval):
	}
	next := relay.Position{Offset: from.Offset + 1}
	return relay.RecordBatch{Records: []relay.Record{{Key: "c", Value: fmt.Append(nil, next.Offset)}}, Next: next}, nil
}

func (changingPlatform) DecodeConfiguration(value []byte) (relay.Configuration, error) {
	revision, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return relay.Configuration{}, err
	}
	document := &config.Document{}
	for prefix, call := range map[string]config.CallKind{"/first": config.CallIdempotent, "/second": config.CallAtMostOnce, "/third": config.CallIdempotent} {
		document.Routes = append(document.Routes, config.Route{
			Name: prefix, Host: prefix[1:], PathPrefix: prefix, Targets: []config.RouteTarget{{Backend: "app", Weight: 1}}, CallKind: call,
			Timeout: callTimeout, MaxAttempts: 3, Anonymous: true,
		})
	}
	if revision%3 == 0 {
		for i := range largeRoutes {
			route := document.Routes[0]
			route.Name, route.PathPrefix = fmt.Sprint("large-", i), fmt.Sprint("/large/", i)
			document.Routes = append(document.Routes, route)
		}
	}
	limits := relay.Limits{HeaderTime: 2 * time.Second, IdleTime: []time.Duration{300 * time.Millisecond, 5 * time.Second}[revision%2]}
	return relay.Configuration{Revision: revision, Document: document, Limits: limits}, nil
}

func (p changingPlatform) DecodeServer(id string, _ []byte) (relay.Server, error) {
	i, err := strconv.Atoi(id)
	if err != nil {
		return relay.Server{}, err
	}
	return relay.Server{
		Instance: membership.Instance{ID: id, Service: "app", Zone: "a", Address: p.servers[i]}, StartTimeMillis: 1, Slots: 100,
	}, nil
}

// idCodec knows the IDs of requests, and takes every answer for signed.
type idCodec struct{ emptyHeaderCodec }

func (idCodec) ParseRequest(h http.Header) relay.RequestInfo {
	return relay.RequestInfo{ID: h.Get("Id"), LastEvent: -1}
}

func (idCodec) ParseResponse(h http.Header) relay.ResponseInfo {
	return relay.ResponseInfo{ID: h.Get("Id"), Signed: true}
}

// pausingServer answers requests, at times long, and falls silent in three of ten answers.
type pausingServer struct {
	random *rand.Rand
	mu     sync.Mutex
	begun  *sync.Map
}

func (s *pausingServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

// next returns the framing of an answer, how much is added to it, and where and for how long
// the server pauses.
func (s *pausingServer) next() (framing, added int, at float64, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.IntN(10) < 3 {
		pause = 300*time.Millisecond + time.Duration(s.random.Int64N(int64(2200*time.Millisecond)))
	}
	return s.random.IntN(3), s.random.IntN(2) * 200_000, s.random.Float64(), pause
}

func (s *pausingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.begun.Store(r.URL.Path, true)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		framing, added, at, pause := s.next()
		text := fmt.Sprintf("%s %s", r.URL.Path, body) + strings.Repeat(padding, added)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n", r.Header.Get("Id"))
		switch framing {
		case 0:
			text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		case 1:
			text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
		default:
			text = head + "Connection: close\r\n\r\n" + text
		}
		n := int(at * float64(len(text)))
		_, _ = io.WriteString(conn, text[:n]) // a failed write shows in the client's answer
		time.Sleep(pause)
		_, _ = io.WriteString(conn, text[n:])
		if framing > 1 {
			return
		}
	}
}

// Guards against a request that is lost beside changes of the configuration, timeouts of
// connections and large configurations among them, while sound servers fall silent.
func TestRequestsOutlastChangesOfConfiguration(t *testing.T) {
	s := &timeoutServer{}
	platform := changingPlatform{}
	for i := range 3 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { listener.Close() })
		server := &pausingServer{random: rand.New(rand.NewPCG(11, uint64(i))), begun: &s.begun}
		go server.serve(listener)
		platform.servers = append(platform.servers, listener.Addr().String())
	}
	settings := relay.Settings{
		Instance: "e", Zone: "a", ClientAddr: freeAddress(t), ReadyAddr: freeAddress(t), MetricsAddr: freeAddress(t), PeerAddr: freeAddress(t),
		GracePeriod: 8 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 1000,
	}
	go func() {
		_ = RunRelay(t.Context(), RelayOptions{
			Settings: settings, Store: platform, Engines: platform, HeaderCodec: idCodec{}, ReadyPath: "/ready",
			LogWriter: io.Discard, LogLevel: log.PanicLevel, Signals: make(chan os.Signal),
		})
	}()
	dialUntil(t, settings.ClientAddr)
	s.address = settings.ClientAddr.String()
	time.Sleep(changeInterval) // until there is a configuration
	ways := []string{"whole", "first word", "header", "body", "pieces", "pipelined", "pipelined, header", "pipelined, body"}
	var clients sync.WaitGroup
	var count arrivalCount
	for client := range 48 {
		c := arrivalCase{header: 2 * time.Second, idle: 300 * time.Millisecond, quiet: time.Duration(client%4) * 40 * time.Millisecond, pause: 100 * time.Millisecond, rounds: 8, timeout: callTimeout}
		clients.Go(func() { s.play(t, c, arrivals[ways[client%len(ways)]], client, &count) })
	}
	clients.Wait()
	t.Logf("%d whole, %d lost, %d closed, %d closed later, %d refused, %d failed, %d timed out", count.whole.Load(), count.lost.Load(), count.closed.Load(), count.late.Load(), count.refused.Load(), count.failed.Load(), count.timedOut.Load())
	assert.Equal(t, count.lost.Load()+count.closed.Load()+count.failed.Load(), int32(0))
}
