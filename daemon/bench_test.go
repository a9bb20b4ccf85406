package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/demo"
	"github.com/sapphirefield/sapphirefield/standin"
)

// readyPoll is the interval between readiness probes of a benchmark.
const readyPoll = time.Millisecond

// benchSystem starts a system with one entry and waits until it is ready.
func benchSystem(b *testing.B) (*system, *process) {
	s := newSystem(b)
	s.startSidecars()
	entry := s.startEntry("entry-0")
	s.publish(document())
	s.waitReady(s.processes...)
	return s, entry
}

func (s *system) mustBook(client *demo.Client, key, reference string) {
	response, err := s.send(client, key, reference)
	assert.NilError(s.t, err)
	assert.Equal(s.t, response.status, http.StatusCreated, response.body)
}

// BenchmarkCall measures sequential bookings with and without an idempotency key.
func BenchmarkCall(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprintf("keyed=%t", keyed), func(b *testing.B) {
			s, entry := benchSystem(b)
			client := s.client(entry)
			s.mustBook(client, "", "first")
			for i := 0; b.Loop(); i++ {
				key := ""
				if keyed {
					key = fmt.Sprintf("key-%d", i)
				}
				s.mustBook(client, key, fmt.Sprintf("shift-%d", i))
			}
		})
	}
}

// BenchmarkFreshEntry measures the time from the start of an entry until it is
// ready, with its configuration from the log service or from a peer.
func BenchmarkFreshEntry(b *testing.B) {
	for _, outage := range []bool{false, true} {
		from := map[bool]string{false: "log", true: "peer"}[outage]
		b.Run("from="+from, func(b *testing.B) {
			s, _ := benchSystem(b)
			s.logService.SetOutage(outage)
			var total time.Duration
			for i := 0; b.Loop(); i++ {
				fresh := s.startEntry(fmt.Sprintf("fresh-%d", i))
				start := time.Now()
				for status := 0; status != http.StatusOK; status, _ = s.get(fresh, "/readyz") {
					time.Sleep(readyPoll)
				}
				total += time.Since(start)
				fresh.signals <- syscall.SIGTERM
				<-fresh.done
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "ms/ready")
		})
	}
}

// lastCallRecorder is a backend server that records when its last call arrived.
type lastCallRecorder struct {
	http.Handler
	at atomic.Int64
}

// ServeHTTP implements http.Handler.
func (l *lastCallRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.at.Store(time.Now().UnixNano())
	l.Handler.ServeHTTP(w, r)
}

// BenchmarkSidecarDrain measures the time from SIGTERM of a sidecar under load
// to the last call that reaches its backend server. No call may fail meanwhile.
func BenchmarkSidecarDrain(b *testing.B) {
	s, entry := benchSystem(b)
	var total, longest time.Duration
	for i := 0; b.Loop(); i++ {
		backend := &lastCallRecorder{Handler: standin.NewPlainServer(0).Handler()}
		draining := s.startSidecar(fmt.Sprintf("orders-%d", i+1), service, "  kind: plain\n  service: "+service+"\n", s.serve(backend))
		ctx, cancel := context.WithCancel(s.ctx)
		var callers sync.WaitGroup
		for c := range 4 {
			callers.Go(func() {
				client := s.client(entry)
				for n := 0; ctx.Err() == nil; n++ {
					response, err := s.send(client, "", fmt.Sprintf("shift-%d-%d", c, n))
					if err != nil || response.status != http.StatusCreated {
						b.Errorf("booking during the drain: %v %s", err, response.body)
						return
					}
				}
			})
		}
		s.eventually("the new server receives calls", func() (bool, string) { return backend.at.Load() > 0, "none" })
		signalled := time.Now()
		draining.signals <- syscall.SIGTERM
		<-draining.done
		lastCall := max(0, time.Unix(0, backend.at.Load()).Sub(signalled))
		total += lastCall
		longest = max(longest, lastCall)
		cancel()
		callers.Wait()
		s.instances = s.instances[:len(s.instances)-1]
		s.instanceList.Set(s.instances)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "ms/last-call")
	b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest")
}
