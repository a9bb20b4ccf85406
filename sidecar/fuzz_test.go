package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/wire"
)

// fuzzSidecar returns a sidecar without a network. The test supplies the results
// of its engine.
func fuzzSidecar(t *testing.T) *Server {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no network") }
	s := New(Options{
		ID: "s", Model: "m", Layers: &wire.LayerRange{Limit: 4}, Backend: "http://engine", DialBackend: refuse,
		Dialer: link.Dialer{DialContext: refuse}, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	s.incarnation = "i"
	var cancel context.CancelFunc
	s.background, cancel = context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		s.tasks.Wait()
	})
	return s
}

// splitFrames splits fuzz input into messages, each preceded by one byte for its
// kind and one for its length.
func splitFrames(data []byte) (kinds []byte, parts [][]byte) {
	for len(data) > 1 {
		n := min(int(data[1]), len(data)-2)
		kinds = append(kinds, data[0])
		parts = append(parts, data[2:2+n])
		data = data[2+n:]
	}
	return kinds, parts
}

const (
	kindWork = iota
	kindHop
	kindResults
	kindCount
)

func seedFrame(kind byte, message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return append([]byte{kind, byte(len(encoded))}, encoded...)
}

// Guards against sequences of frames from entries, other stages and the engine
// that make the sidecar panic, miscount its retained bytes, or run a step twice.
func FuzzFrames(f *testing.F) {
	chain := []*wire.Stage{{Address: "s", Layers: &wire.LayerRange{Limit: 4}}}
	open := func(number, keepsFrom uint32) []byte {
		chain[0].Keeps = keepsFrom > 0
		return seedFrame(kindWork, &wire.WorkUp{Body: &wire.WorkUp_Open{Open: &wire.Open{
			Request: "r", Attempt: number, Incarnation: "i", Model: "m", Chain: chain, KeepsFrom: keepsFrom, MaxTokens: 3,
		}}})
	}
	start := seedFrame(kindWork, startFrame(1))
	result := seedFrame(kindResults, &wire.EngineResults{Results: []*wire.EngineResult{{Request: "r", Attempt: 1, Text: "a"}}})
	resume := seedFrame(kindWork, &wire.WorkUp{Body: &wire.WorkUp_Resume{Resume: &wire.Resume{Request: "r", Attempt: 1}}})
	recall := seedFrame(kindWork, &wire.WorkUp{Body: &wire.WorkUp_Recall{Recall: &wire.Recall{Request: "c", Attempt: 1}}})
	hop := seedFrame(kindHop, &wire.HopFrame{
		Steps:  []*wire.Step{{Request: "r", Attempt: 1, Activation: []byte{1}, More: true}},
		Tokens: []*wire.Token{{Request: "r", Attempt: 1, Index: 0}},
	})
	f.Add(concat(open(1, 0), start, result, hop, resume, open(2, 1)))
	f.Add(concat(open(2, 0), open(1, 0), recall, hop))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := fuzzSidecar(t)
		seen := make(map[string]bool)
		now := time.Unix(1_000_000, 0)
		kinds, parts := splitFrames(data)
		for i, part := range parts {
			now = now.Add(10 * time.Millisecond)
			s.fuzzFrame(kinds[i]%kindCount, part, now)
			s.checkSteps(t, seen)
		}
		s.sweepOnce(now.Add(time.Hour))
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.retainedBytes != 0 || s.historyBytes < 0 {
			t.Fatalf("retained %d bytes of responses and %d bytes of outputs", s.retainedBytes, s.historyBytes)
		}
	})
}

func concat(parts ...[]byte) (joined []byte) {
	for _, p := range parts {
		joined = append(joined, p...)
	}
	return joined
}

func (s *Server) fuzzFrame(kind byte, part []byte, now time.Time) {
	switch kind {
	case kindWork:
		frame := new(wire.WorkUp)
		if proto.Unmarshal(part, frame) == nil {
			s.handleWork("e", frame, now)
		}
	case kindHop:
		frame := new(wire.HopFrame)
		if proto.Unmarshal(part, frame) == nil {
			s.handleHopFrame(frame)
		}
	case kindResults:
		results := new(wire.EngineResults)
		if proto.Unmarshal(part, results) == nil {
			s.mu.Lock()
			for _, r := range results.Results {
				s.finishStep(r)
			}
			s.handleDeferredOpens(now)
			s.mu.Unlock()
		}
	}
}

// checkSteps fails when a step of an attempt reaches the engine a second time.
func (s *Server) checkSteps(t *testing.T, seen map[string]bool) {
	steps, _ := s.stepQueue.Take()
	for _, step := range steps {
		if step.Request == "" {
			continue
		}
		key := step.Request + "/" + string(rune(step.Attempt)) + "/" + string(rune(step.Index))
		if seen[key] {
			t.Fatalf("step %d of attempt %d ran twice", step.Index, step.Attempt)
		}
		seen[key] = true
	}
}
