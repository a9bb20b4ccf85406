package standin

import (
	"context"
	"sync"

	"github.com/sapphirefield/sapphirefield/wire"
)

// FastSidecar is a sidecar that sends tokens as fast as its stream accepts them. Each
// frame holds one token for every active request, as from one iteration of an engine.
type FastSidecar struct {
	wire.DRPCSidecarUnimplementedServer
	ID     string
	Model  string
	Layers uint32
	// StallAfterFirstToken stops sending for each request after its first token.
	StallAfterFirstToken bool
}

type fastRequest struct {
	request   string
	nextIndex uint32
	maxTokens uint32
}

// Work handles the stream of one entry.
func (f *FastSidecar) Work(stream wire.DRPCSidecar_WorkStream) error {
	var mu sync.Mutex
	active := make(map[string]*fastRequest)
	wake := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-wake:
			}
			for f.sendTokens(&mu, active, stream) {
			}
		}
	}()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		var reply *wire.WorkDown
		switch body := frame.Body.(type) {
		case *wire.WorkUp_Hello:
			reply = &wire.WorkDown{Body: &wire.WorkDown_Hello{Hello: &wire.Hello{
				Id: f.ID, Incarnation: "fast", Model: f.Model, Layers: &wire.LayerRange{Limit: f.Layers},
			}}}
		case *wire.WorkUp_Heartbeat:
			reply = &wire.WorkDown{Body: &wire.WorkDown_Heartbeat{Heartbeat: body.Heartbeat}}
		case *wire.WorkUp_Probe:
			reply = &wire.WorkDown{Body: &wire.WorkDown_Progress{Progress: &wire.Progress{
				Request: body.Probe.Request, Attempt: 1, Sequence: body.Probe.Sequence, Known: true, Busy: true,
			}}}
		case *wire.WorkUp_Open:
			reply = &wire.WorkDown{Body: &wire.WorkDown_Opened{Opened: &wire.Opened{Request: body.Open.Request, Attempt: 1}}}
		case *wire.WorkUp_Start:
			mu.Lock()
			active[body.Start.Request] = &fastRequest{request: body.Start.Request, maxTokens: body.Start.MaxTokens}
			mu.Unlock()
			select {
			case wake <- struct{}{}:
			default:
			}
		}
		if reply != nil {
			if err := stream.Send(reply); err != nil {
				return err
			}
		}
	}
}

// sendTokens sends one frame of tokens. It returns false if no request is active or
// the send failed.
func (f *FastSidecar) sendTokens(mu *sync.Mutex, active map[string]*fastRequest, stream wire.DRPCSidecar_WorkStream) bool {
	tokens := &wire.Tokens{}
	mu.Lock()
	for _, r := range active {
		token := &wire.Token{Request: r.request, Attempt: 1, Index: r.nextIndex, Value: fastToken}
		r.nextIndex++
		if r.nextIndex == r.maxTokens {
			token.Finish = "length"
		}
		if r.nextIndex == r.maxTokens || f.StallAfterFirstToken {
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
