package orders

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/order"
	"github.com/sapphirefield/sapphirefield/standin/rawhttp"
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

// Guards against an order that counts as accepted or refused, or a state that is believed,
// because of bytes that are no answer.
func TestHeadThatIsNoAnswerLeavesOrderUnconfirmed(t *testing.T) {
	const body = "{}"
	for _, head := range rawhttp.InvalidHeads(len(body)) {
		server := httptest.NewServer(rawhttp.Answer(head, body))
		defer server.Close()
		client := newEngineClient(server.URL, (&net.Dialer{}).DialContext)
		input, err := client.sendOrder(t.Context(), order.SendOrder{})
		assert.Assert(t, err != nil)
		assert.Equal(t, input, order.Input(order.OrderUnconfirmed{}), head)
		_, err = client.readState(t.Context())
		assert.Assert(t, err != nil)
	}
}
