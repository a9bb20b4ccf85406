package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/config"
)

// silentStore is a store that does not answer.
type silentStore struct{ *scriptedStore }

func (silentStore) ReadLatest(ctx context.Context, _ Topic) (RecordBatch, error) {
	<-ctx.Done()
	return RecordBatch{}, ctx.Err()
}

// Guards against a process that ends while a request still waits for the configuration, and
// whose client therefore gets no answer.
func TestEndedProcessRefusesRequestsThatWaitForConfiguration(t *testing.T) {
	for name, prepare := range map[string]func(e *Entry){
		"after the start": func(*Entry) {},
		"after a pause": func(e *Entry) {
			e.applyTestConfiguration(unaryRoute(config.CallAtMostOnce))
			e.fleet.startedAt = time.Now().Add(-startupTime)
			e.pause.beat(bootclock.Now().Add(-2 * maxPulseAge))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newStoreEntry(silentStore{newScriptedStore()})
				prepare(e)
				r := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
				r.Header.Set("Key", testKey)
				w := httptest.NewRecorder()
				go e.ServeHTTP(w, r)
				synctest.Wait()
				assert.Equal(t, e.InProgress(), 1)
				e.EndRequests()
				time.Sleep(startupCheckInterval)
				synctest.Wait()
				assert.Equal(t, e.InProgress(), 0, "the request goes on waiting")
				assert.Equal(t, w.Code, http.StatusServiceUnavailable)
				assert.Assert(t, w.Header().Get("Retry-After") != "")
			})
		})
	}
}

// Guards against a process that ends while the body of a request arrives, and whose client
// gets no answer.
func TestEndedProcessRefusesRequestsWithArrivingBody(t *testing.T) {
	route := unaryRoute(config.CallAtMostOnce)
	route.Timeout = time.Hour
	e := newTestEntry(t, route, newBackend(t, respond(200, "answer")))
	conn := e.dialClient(t)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.WriteString(conn, clientRequest("id", "Content-Length: 4\r\n")+"bo")
	assert.NilError(t, err)
	for e.InProgress() == 0 {
		time.Sleep(time.Millisecond)
	}
	e.EndRequests()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}
