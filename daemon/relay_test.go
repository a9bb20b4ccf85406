package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/relay"
)

// idlePlatform is a platform with an empty configuration, on which nothing changes.
type idlePlatform struct{}

func (idlePlatform) ReadLatest(ctx context.Context, topic relay.Topic) (relay.RecordBatch, error) {
	if topic == relay.TopicConfiguration {
		return relay.RecordBatch{Records: []relay.Record{{Key: "c", Value: []byte("{}")}}, Next: relay.Position{Offset: 1}}, nil
	}
	<-ctx.Done()
	return relay.RecordBatch{}, ctx.Err()
}

func (idlePlatform) Read(ctx context.Context, _ relay.Topic, _ relay.Position, _ relay.ReadWait) (relay.RecordBatch, error) {
	<-ctx.Done()
	return relay.RecordBatch{}, ctx.Err()
}

func (idlePlatform) Append(ctx context.Context, _ relay.Topic, _ relay.Record, _ relay.Position) (relay.Position, error) {
	<-ctx.Done()
	return relay.Position{}, ctx.Err()
}

func (idlePlatform) Era() int64      { return 0 }
func (idlePlatform) OnNewEra(func()) {}

func (idlePlatform) DecodeConfiguration([]byte) (relay.Configuration, error) {
	return relay.Configuration{Revision: 1, Document: &config.Document{}}, nil
}

func (idlePlatform) DecodeServer(string, []byte) (relay.Server, error) {
	return relay.Server{}, relay.ErrUnavailable
}

func (idlePlatform) Status(context.Context, string) (relay.EngineStatus, error) {
	return relay.EngineStatus{}, relay.ErrUnavailable
}

func (idlePlatform) AssignLayers(context.Context, relay.Server, placement.Range, int64) (relay.OrderOutcome, error) {
	return relay.OrderRefused, relay.ErrUnavailable
}

func (idlePlatform) Reroute(context.Context, relay.Server, string, []pipeline.Hop) (relay.OrderOutcome, error) {
	return relay.OrderRefused, relay.ErrUnavailable
}

// emptyHeaderCodec finds no information in headers and adds none.
type emptyHeaderCodec struct{}

func (emptyHeaderCodec) ParseRequest(http.Header) relay.RequestInfo   { return relay.RequestInfo{} }
func (emptyHeaderCodec) EncodeRequest(http.Header, relay.ForwardInfo) {}
func (emptyHeaderCodec) ParseResponse(http.Header) relay.ResponseInfo { return relay.ResponseInfo{} }

func freeAddress(t *testing.T) netip.AddrPort {
	// Another process may take a port of 127.0.0.1 before the test listens there.
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, 200 + byte(pid>>16)%50, byte(pid >> 8), byte(pid)})
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(own, 0).String())
	assert.NilError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// testPlatform is what an entry runs on.
type testPlatform interface {
	relay.Store
	relay.EngineClient
}

// runTestRelay runs an entry on an idle platform until it has been shut down.
func runTestRelay(t *testing.T, signals <-chan os.Signal) (client netip.AddrPort, ended <-chan error) {
	return runTestRelayOn(t, idlePlatform{}, 8*time.Second, signals)
}

// runTestRelayOn runs an entry on a platform until it has been shut down.
func runTestRelayOn(t *testing.T, platform testPlatform, grace time.Duration, signals <-chan os.Signal) (client netip.AddrPort, ended <-chan error) {
	return runLoggedRelay(t, platform, grace, signals, io.Discard)
}

// runLoggedRelay also keeps the entry's log.
func runLoggedRelay(t *testing.T, platform testPlatform, grace time.Duration, signals <-chan os.Signal, logs io.Writer) (client netip.AddrPort, ended <-chan error) {
	s := relay.Settings{
		Instance: "e", Zone: "a", ClientAddr: freeAddress(t), ReadyAddr: freeAddress(t), MetricsAddr: freeAddress(t), PeerAddr: freeAddress(t),
		GracePeriod: grace, RetryWindow: 10 * time.Second,
	}
	result := make(chan error, 1)
	go func() {
		result <- RunRelay(t.Context(), RelayOptions{
			Settings: s, Store: platform, Engines: platform, HeaderCodec: emptyHeaderCodec{}, ReadyPath: "/ready",
			LogWriter: logs, LogLevel: log.InfoLevel, Signals: signals,
		})
	}()
	return s.ClientAddr, result
}

const testRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

func sendRequest(t *testing.T, conn net.Conn) *http.Response {
	_, err := io.WriteString(conn, testRequest)
	assert.NilError(t, err)
	return readResponse(t, conn)
}

// Guards against an entry that keeps idle connections open during its shutdown
// and then aborts the requests that clients send on them.
func TestRelayClosesIdleConnectionsOnShutdown(t *testing.T) {
	signals := make(chan os.Signal, 1)
	address, ended := runTestRelay(t, signals)
	conn := dialUntil(t, address)
	for sendRequest(t, conn).StatusCode == http.StatusServiceUnavailable {
	}
	signals <- syscall.SIGTERM
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)

	response := sendRequest(t, dialUntil(t, address))
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Assert(t, response.Close)
	assert.NilError(t, <-ended)
}

// Guards against a process that ends while a request is arriving: no request is in
// progress yet when the listener has closed.
func TestRelayAwaitsArrivingRequest(t *testing.T) {
	signals := make(chan os.Signal, 1)
	address, ended := runTestRelay(t, signals)
	conn := dialUntil(t, address)
	for sendRequest(t, conn).StatusCode == http.StatusServiceUnavailable {
	}
	arriving := dialUntil(t, address)
	const sent = len(testRequest) / 2
	_, err := io.WriteString(arriving, testRequest[:sent])
	assert.NilError(t, err)
	signals <- syscall.SIGTERM
	for {
		probe, err := net.Dial("tcp4", address.String())
		if err != nil {
			break
		}
		probe.Close()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * arrivalTime)
	_, err = io.WriteString(arriving, testRequest[sent:])
	assert.NilError(t, err)
	response := readResponse(t, arriving)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Assert(t, response.Close)
	assert.NilError(t, <-ended)
}

// dialUntil retries until the listener accepts a connection.
func dialUntil(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	for range 1000 {
		conn, err := net.Dial("tcp4", address.String())
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			return conn
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the listener does not open")
	return nil
}

func readResponse(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response
}
