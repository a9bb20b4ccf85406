package standin

import (
	"context"
	"sync"

	"github.com/sapphirefield/sapphirefield/wire"
)

// FastSidecar is a sidecar that gives tokens as fast as its stream takes them, one for each open
// request in a frame, as an iteration of an engine does.
type FastSidecar struct {
	wire.DRPCSidecarUnimplementedServer
	ID     string
	Model  string
	Layers uint32
	// StallAfterFirstToken stops each request after its first token.
	StallAfterFirstToken bool
}

type fastRequest struct {
	request string
	next    uint32
	limit   uint32
}

// Work serves the stream of one entry.
func (f *FastSidecar) Work(stream wire.DRPCSidecar_WorkStream) error {
	var mu sync.Mutex
	active := make(map[string]*fastRequest)
	work := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-work:
			}
			for f.iterate(&mu, active, stream) {
			}
		}
	}()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		var answer *wire.WorkDown
		switch body := frame.Body.(type) {
		case *wire.WorkUp_Hello:
			answer = &wire.WorkDown{Body: &wire.WorkDown_Hello{Hello: &wire.Hello{
				Id: f.ID, Incarnation: "fast", Model: f.Model, Layers: &wire.LayerRange{Limit: f.Layers},
			}}}
		case *wire.WorkUp_Heartbeat:
			answer = &wire.WorkDown{Body: &wire.WorkDown_Heartbeat{Heartbeat: body.Heartbeat}}
		case *wire.WorkUp_Probe:
			answer = &wire.WorkDown{Body: &wire.WorkDown_Progress{Progress: &wire.Progress{
				Request: body.Probe.Request, Attempt: 1, Sequence: body.Probe.Sequence, Known: true, Busy: true,
			}}}
		case *wire.WorkUp_Open:
			answer = &wire.WorkDown{Body: &wire.WorkDown_Opened{Opened: &wire.Opened{Request: body.Open.Request, Attempt: 1}}}
		case *wire.WorkUp_Start:
			mu.Lock()
			active[body.Start.Request] = &fastRequest{request: body.Start.Request, limit: body.Start.MaxTokens}
			mu.Unlock()
			select {
			case work <- struct{}{}:
			default:
			}
		}
		if answer != nil {
			if err := stream.Send(answer); err != nil {
				return err
			}
		}
	}
}

// iterate sends one frame and returns whether requests are left.
func (f *FastSidecar) iterate(mu *sync.Mutex, active map[string]*fastRequest, stream wire.DRPCSidecar_WorkStream) bool {
	tokens := &wire.Tokens{}
	mu.Lock()
	for _, r := range active {
		token := &wire.Token{Request: r.request, Attempt: 1, Index: r.next, Value: fastToken}
		r.next++
		if r.next == r.limit {
			token.Finish = "length"
		}
		if r.next == r.limit || f.StallAfterFirstToken {
			delete(active, r.request)
		}
		tokens.Tokens = append(tokens.Tokens, token)
	}
	mu.Unlock()
	if len(tokens.Tokens) == 0 {
		return false
	}
	return stream.Send(&wire.WorkDown{Body: &wire.WorkDown_Tokens{Tokens: tokens}}) == nil
}

var fastToken = &wire.TokenValue{Id: 7, Text: " billet"}
