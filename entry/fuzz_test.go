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

// Guards against a body that makes the decoder panic or pass without a model or a prompt.
func FuzzLanguageRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"p"}{}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		form := completionForm
		if chat {
			form = chatForm
		}
		req, refused := decodeLanguage(io.NopCloser(bytes.NewReader(body)), form)
		if refused != nil {
			return
		}
		if req.Model == "" || req.promptText() == "" {
			t.Fatalf("accepted without a model or a prompt: %q", body)
		}
		req.sampling()
		limit, refused := req.tokenLimit(&config.Model{ContextTokens: 100})
		if refused == nil && (limit < 1 || limit > 100) {
			t.Fatalf("token limit %d for %q", limit, body)
		}
	})
}

// fuzzServer is an entry without connections.
func fuzzServer(ctx context.Context) *Server {
	return New(ctx, Options{
		ID: "e", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Config: func() *config.Document { return &config.Document{} },
	})
}

// frames cuts fuzz input into messages, each with its length in one byte.
func frames(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > 0 {
		n := min(int(data[0]), len(data)-1)
		parts = append(parts, data[1:1+n])
		data = data[1+n:]
	}
	return parts
}

func seedFrames(messages ...proto.Message) []byte {
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

// Guards against frames of a sidecar that make the entry panic, give the caller
// a token twice or out of order, or a call's answer that is not whole.
func FuzzWorkDown(f *testing.F) {
	token := func(index uint32, finish string) *wire.WorkDown {
		return &wire.WorkDown{Body: &wire.WorkDown_Tokens{Tokens: &wire.Tokens{Tokens: []*wire.Token{
			{Request: "r", Attempt: 1, Index: index, Finish: finish},
		}}}}
	}
	opened := &wire.WorkDown{Body: &wire.WorkDown_Opened{Opened: &wire.Opened{Request: "r", Attempt: 1}}}
	head := &wire.WorkDown{Body: &wire.WorkDown_CallHead{CallHead: &wire.CallHead{Request: "r", Attempt: 1, Status: 200}}}
	end := &wire.WorkDown{Body: &wire.WorkDown_CallEnd{CallEnd: &wire.CallEnd{Request: "r", Attempt: 1, Length: 3}}}
	f.Add(seedFrames(opened, token(0, ""), token(2, ""), token(1, ""), token(1, "stop")))
	f.Add(seedFrames(head, end))
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := fuzzServer(ctx)
		p := &peer{server: s, id: "p", silence: link.NewLivenessMonitor(now(), link.HeartbeatTimeout), pending: make(map[attempt.Key]pendingExchange)}
		queue := link.NewQueue[*wire.WorkUp](maxQueuedFrames)
		p.connected(&wire.Hello{Id: "p", Incarnation: "i"}, queue)
		emitted := uint32(0)
		g := &generation{server: s, id: "r", exclude: make(map[string]bool), held: make(map[*peer]attempt.Key)}
		g.request = attempt.NewRequest(true)
		g.emit = func(token *wire.Token) error {
			if token.Index != emitted {
				t.Fatalf("token %d after %d tokens", token.Index, emitted)
			}
			emitted++
			return nil
		}
		run := &stageRun{
			g: g, ex: newExchange(attemptKey("r", g.request.StartAttempt())), peers: []*peer{p}, opened: make([]bool, 1),
			chain: &plannedChain{Chain: pipeline.Chain{Stages: make([]pipeline.Stage, 1)}}, watch: newProgressWatch(1, now()),
		}
		call := &callRun{
			call: &plainCall{server: s, request: attempt.NewRequest(false), exclude: make(map[string]bool)},
			peer: p, ex: run.ex, answer: newPlainAnswer(),
		}
		call.call.request.StartAttempt()
		p.begin(run.ex, run.openFrame(run.chain, nil, 0))
		stageOver, callOver := false, false
		for _, part := range frames(data) {
			frame := new(wire.WorkDown)
			if proto.Unmarshal(part, frame) != nil {
				continue
			}
			p.handle(frame, queue)
			events, _ := run.ex.events.Take()
			for _, event := range events {
				if !stageOver {
					stageOver, _ = run.handle(event)
				}
				if !callOver {
					var whole bool
					callOver, whole = call.handle(event)
					if whole && call.answer.head == nil {
						t.Fatal("whole answer without a head")
					}
				}
			}
		}
	})
}
