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

	"github.com/sapphirefield/sapphirefield/order"
)

const (
	// callTimeout bounds one call to the engine, which is on loopback.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds an engine's answer.
	maxAnswerBytes = 1 << 20
)

// engineState is the body of GET /v1/state.
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
	seen := order.Observed{State: s.state(), Busy: s.Busy, Fence: s.Fence}
	if s.Target != nil {
		seen.Target = s.Target.state()
	}
	return seen
}

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Fence    int64      `json:"fence"`
	Model    string     `json:"model"`
	Version  string     `json:"version"`
	Adapters []string   `json:"adapters"`
	First    int        `json:"first"`
	Limit    int        `json:"limit"`
	Role     order.Role `json:"role"`
}

// engine is the engine's interface for orders.
type engine struct {
	base   string
	client *http.Client
}

func newEngine(base string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *engine {
	// A connection is used once: the HTTP client repeats a request on its own
	// when a kept connection turns out to be closed, and an order is sent once.
	return &engine{base: base, client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

func (e *engine) read(ctx context.Context) (order.Observed, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/v1/state", nil)
	if err != nil {
		return order.Observed{}, errors.WithStack(err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return order.Observed{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return order.Observed{}, errors.Errorf("engine answered %s to a read of its state", response.Status)
	}
	var state engineState
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&state)
	return state.observed(), errors.Wrap(err, "decode the engine's state")
}

// give sends an order and returns the input that tells its outcome, with the
// reason when the engine has not taken it.
func (e *engine) give(ctx context.Context, g order.SendOrder) (order.Input, error) {
	body, err := json.Marshal(orderBody{
		Fence: g.Fence, Model: g.Wanted.Model, Version: g.Wanted.Version, Adapters: g.Wanted.Adapters,
		First: g.Wanted.Layers.First, Limit: g.Wanted.Layers.Limit, Role: g.Wanted.Role,
	})
	if err != nil {
		return order.OrderRejected{ID: g.ID}, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return order.OrderRejected{ID: g.ID}, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return unanswered(g, err), errors.WithStack(err)
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

// unanswered tells an order that certainly was not sent from one that may take
// effect later.
func unanswered(g order.SendOrder, err error) order.Input {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return order.OrderRejected{ID: g.ID}
	}
	return order.OrderUnconfirmed{ID: g.ID}
}

// errEngineSilent is why an engine counts as down without a failed step.
var errEngineSilent = errors.New("the engine does not answer questions about its state")
