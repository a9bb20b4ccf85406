package orders

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/order"
)

// Guards against an order that reaches a second server because the engine, or
// another program at its address, redirects it.
func TestOrderIsNotRedirected(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := newEngineClient(server.URL, (&net.Dialer{}).DialContext)
	_, _ = client.sendOrder(t.Context(), order.SendOrder{})
	assert.Equal(t, calls.Load(), int64(1))
}
