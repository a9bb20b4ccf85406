package entry

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against a body that makes the decoder panic, or that is accepted without
// a model or a prompt.
func FuzzLanguageRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"p"}{}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		endpoint := completionEndpoint
		if chat {
			endpoint = chatEndpoint
		}
		req, prob := decodeLanguage(io.NopCloser(bytes.NewReader(body)), endpoint)
		if prob != nil {
			return
		}
		if req.Model == "" || req.promptText() == "" {
			t.Fatalf("accepted without a model or a prompt: %q", body)
		}
		req.sampling()
		limit, prob := req.tokenLimit(&config.Model{ContextTokens: 100})
		if prob == nil && (limit < 1 || limit > 100) {
			t.Fatalf("token limit %d for %q", limit, body)
		}
	})
}

// fuzzServer returns a Server without connections.
func fuzzServer(ctx context.Context) *Server {
	return New(ctx, Options{
		ID: "e", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Config: func() *config.Document { return &config.Document{} },
	})
}

// splitFrames splits fuzz input into messages, each with its length in one byte.
func splitFrames(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > 0 {
		n := min(int(data[0]), len(data)-1)
		parts = append(parts, data[1:1+n])
		data = data[1+n:]
	}
	return parts
}

func encodeFrames(messages ...proto.Message) []byte {
	var data []byte
	for _, m := range messages {
		encoded, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		data = append(append(data, byte(len(encoded))), encoded...)
	}
	return data
}

// Guards against frames from a sidecar that make the entry panic, or that give the
// client a duplicate or reordered token or an incomplete response.
func FuzzWorkDown(f *testing.F) {
	token := func(index uint32, finish string) *wire.WorkDown {
		return &wire.WorkDown{Body: &wire.WorkDown_Tokens{Tokens: &wire.Tokens{Tokens: []*wire.Token{
			{Request: "r", Attempt: 1, Index: index, Finish: finish},
		}}}}
	}
	opened := &wire.WorkDown{Body: &wire.WorkDown_Opened{Opened: &wire.Opened{Request: "r", Attempt: 1}}}
	head := &wire.WorkDown{Body: &wire.WorkDown_CallHead{CallHead: &wire.CallHead{Request: "r", Attempt: 1, Status: 200}}}
	end := &wire.WorkDown{Body: &wire.WorkDown_CallEnd{CallEnd: &wire.CallEnd{Request: "r", Attempt: 1, Length: 3}}}
	f.Add(encodeFrames(opened, token(0, ""), token(2, ""), token(1, ""), token(1, "stop")))
	f.Add(encodeFrames(head, end))
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := fuzzServer(ctx)
		p := &peer{server: s, id: "p", liveness: link.NewLivenessMonitor(now(), link.HeartbeatTimeout), pending: make(map[attempt.Key]pendingExchange)}
		queue := link.NewQueue[*wire.WorkUp](maxQueuedFrames)
		p.handleConnected(&wire.Hello{Id: "p", Incarnation: "i"}, queue)
		emitted := uint32(0)
		g := &generation{server: s, id: "r", exclude: make(map[string]bool), unreleased: make(map[*peer]attempt.Key)}
		g.request = attempt.NewRequest(true)
		g.emit = func(token *wire.Token) error {
			if token.Index != emitted {
				t.Fatalf("token %d after %d tokens", token.Index, emitted)
			}
			emitted++
			return nil
		}
		ca := &chainAttempt{
			g: g, ex: newExchange(attemptKey("r", g.request.StartAttempt())), peers: []*peer{p}, opened: make([]bool, 1),
			chain: &plannedChain{Chain: pipeline.Chain{Stages: make([]pipeline.Stage, 1)}}, detector: newStallDetector(1, now()),
		}
		ua := &unaryAttempt{
			call: &unaryCall{server: s, request: attempt.NewRequest(false), exclude: make(map[string]bool)},
			peer: p, ex: ca.ex, response: newUnaryResponse(),
		}
		ua.call.request.StartAttempt()
		p.startExchange(ca.ex, ca.openFrame(ca.chain, nil, 0))
		chainDone, callDone := false, false
		for _, part := range splitFrames(data) {
			frame := new(wire.WorkDown)
			if proto.Unmarshal(part, frame) != nil {
				continue
			}
			p.handleFrame(frame, queue)
			events, _ := ca.ex.events.Take()
			for _, event := range events {
				if !chainDone {
					chainDone, _ = ca.handle(event)
				}
				if !callDone {
					var complete bool
					callDone, complete = ua.handle(event)
					if complete && ua.response.head == nil {
						t.Fatal("complete response without a header")
					}
				}
			}
		}
	})
}
