package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerhead"
	"github.com/sapphirefield/sapphirefield/order"
)

const (
	// callTimeout is the timeout of a call to the engine, which is on loopback.
	callTimeout = 2 * time.Second
	// maxResponseBytes is the size limit of a response from the engine.
	maxResponseBytes = 1 << 20
)

// engineState is the response body of GET /v1/state.
type engineState struct {
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters"`
	First    int          `json:"first"`
	Limit    int          `json:"limit"`
	Role     order.Role   `json:"role"`
	Fence    int64        `json:"fence"`
	Busy     bool         `json:"busy"`
	Target   *engineState `json:"target"`
}

func (s engineState) state() order.State {
	return order.State{
		Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role,
		Layers: order.LayerRange{First: s.First, Limit: s.Limit},
	}
}

func (s engineState) observed() order.Observed {
	observed := order.Observed{State: s.state(), Busy: s.Busy, Fence: s.Fence}
	if s.Target != nil {
		observed.Target = s.Target.state()
	}
	return observed
}

// orderBody is the request body of POST /v1/orders.
type orderBody struct {
	Fence    int64      `json:"fence"`
	Model    string     `json:"model"`
	Version  string     `json:"version"`
	Adapters []string   `json:"adapters"`
	First    int        `json:"first"`
	Limit    int        `json:"limit"`
	Role     order.Role `json:"role"`
}

// maxHeaderBytes bounds the header of an engine's response.
const maxHeaderBytes = 64 << 10

// engineClient is a client of the engine's state and order endpoints.
type engineClient struct {
	baseURL string
	client  *http.Client
}

func newEngineClient(baseURL string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *engineClient {
	// Keep-alive is disabled because the HTTP transport retries a request when a
	// reused connection turns out to be closed, and an order must be sent only once.
	return &engineClient{baseURL: baseURL, client: &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes},
		// A redirect would send an order to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (e *engineClient) readState(ctx context.Context) (order.Observed, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/v1/state", nil)
	if err != nil {
		return order.Observed{}, errors.WithStack(err)
	}
	response, err := answerhead.Do(e.client.Do, request)
	if err != nil {
		return order.Observed{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return order.Observed{}, errors.Errorf("read engine state: unexpected response %s", response.Status)
	}
	var state engineState
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&state)
	return state.observed(), errors.Wrap(err, "decode engine state")
}

// sendOrder sends an order and returns its outcome as an input, and an error if the
// engine did not accept it.
func (e *engineClient) sendOrder(ctx context.Context, g order.SendOrder) (order.Input, error) {
	body, err := json.Marshal(orderBody{
		Fence: g.Fence, Model: g.Wanted.Model, Version: g.Wanted.Version, Adapters: g.Wanted.Adapters,
		First: g.Wanted.Layers.First, Limit: g.Wanted.Layers.Limit, Role: g.Wanted.Role,
	})
	if err != nil {
		return order.OrderRejected{ID: g.ID}, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return order.OrderRejected{ID: g.ID}, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := answerhead.Do(e.client.Do, request)
	if err != nil {
		return classifySendError(g, err), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch status := response.StatusCode; {
	case status < http.StatusMultipleChoices:
		return order.OrderAccepted{ID: g.ID}, nil
	case status == http.StatusConflict:
		return order.OrderFenced{ID: g.ID}, errors.Errorf("engine answered %s", response.Status)
	case status < http.StatusInternalServerError:
		return order.OrderRejected{ID: g.ID}, errors.Errorf("engine answered %s", response.Status)
	default:
		return order.OrderUnconfirmed{ID: g.ID}, errors.Errorf("engine answered %s", response.Status)
	}
}

// classifySendError returns OrderRejected for an order that certainly was not sent
// and OrderUnconfirmed for one that may still take effect.
func classifySendError(g order.SendOrder, err error) order.Input {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return order.OrderRejected{ID: g.ID}
	}
	return order.OrderUnconfirmed{ID: g.ID}
}

// errEngineUnreachable is the cause that is reported for an engine whose state
// cannot be read.
var errEngineUnreachable = errors.New("engine does not respond to state requests")
