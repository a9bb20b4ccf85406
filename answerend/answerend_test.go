package answerend

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	ends      = []End{LengthReached, LastChunk, Closed, Cut, Silent, TimeOver, Stopped, ClientLeft}
	processes = []Process{Unknown, Alive, Leaving, Crashed, Restarted}
	kinds     = []Kind{AtMostOnce, Idempotent, Stream, ResumableStream}
)

// isWholeTable has a row for each end and a column for each state of the process.
var isWholeTable = map[End]map[Process]bool{
	LengthReached: {Unknown: true, Alive: true, Leaving: true, Crashed: true, Restarted: true},
	LastChunk:     {Unknown: true, Alive: true, Leaving: true, Crashed: true, Restarted: true},
	Closed:        {Alive: true, Leaving: true},
	Cut:           {},
	Silent:        {},
	TimeOver:      {},
	Stopped:       {},
	ClientLeft:    {},
}

func TestEveryEndWithEveryProcess(t *testing.T) {
	for _, end := range ends {
		for _, head := range processes {
			want := isWholeTable[end][head]
			assert.Equal(t, Evidence{End: end, RequestSent: true, Processes: []Process{head}}.IsWhole(), want, "%d %d", end, head)
			for _, later := range processes {
				path := Evidence{End: end, RequestSent: true, Processes: []Process{head, later}}
				assert.Equal(t, path.IsWhole(), want && isWholeTable[end][later], "%d %d %d", end, head, later)
				path.InsideEvent = true
				assert.Assert(t, !path.IsWhole())
				path.InsideEvent, path.NoEvent = false, true
				assert.Equal(t, path.IsWhole(), want && end != Closed)
				path.NoEvent, path.RequestSent = false, false
				assert.Equal(t, path.IsWhole(), want && isWholeTable[end][later] && end != Closed)
			}
		}
		assert.Equal(t, Evidence{End: end, RequestSent: true}.IsWhole(), isWholeTable[end][Unknown])
		assert.Equal(t, end.NeedsEvidence(), end == Closed)
	}
}

func TestEndOfAnswerInOrder(t *testing.T) {
	for _, c := range []struct {
		length           int64
		chunked, hasBody bool
		want             End
	}{
		{0, false, true, LengthReached},
		{10, false, true, LengthReached},
		{10, false, false, LengthReached},
		{-1, false, false, LengthReached},
		{-1, true, false, LengthReached},
		{-1, true, true, LastChunk},
		{-1, false, true, Closed},
	} {
		assert.Equal(t, InOrder(c.length, c.chunked, c.hasBody), c.want, "%+v", c)
	}
}

// brokenTable says what the client gets by kind of request, in order of kinds, after an
// answer that is not whole.
var brokenTable = map[string][4]Outcome{
	"ran, nothing passed on":             {OutcomeUnknown, Repeated, OutcomeUnknown, Repeated},
	"ran, some passed on":                {BrokenOff, BrokenOff, BrokenOff, Resumed},
	"ran, nothing passed on, no attempt": {OutcomeUnknown, OutcomeUnknown, OutcomeUnknown, OutcomeUnknown},
	"ran, some passed on, no attempt":    {BrokenOff, BrokenOff, BrokenOff, BrokenOff},
	"has not run":                        {Repeated, Repeated, Repeated, Repeated},
	"has not run, no attempt":            {Refused, Refused, Refused, Refused},
}

func TestEveryOutcome(t *testing.T) {
	for _, end := range ends {
		for i, kind := range kinds {
			for _, r := range requestsOf(kind) {
				for _, process := range processes {
					e := Evidence{End: end, RequestSent: true, Processes: []Process{process}}
					row := map[bool]string{true: "has not run", false: "ran"}[r.NotRun]
					if !r.NotRun {
						row += map[bool]string{true: ", some passed on", false: ", nothing passed on"}[r.PassedOn]
					}
					if r.NoRetry || end == TimeOver || end == Stopped {
						row += ", no attempt"
					}
					want := brokenTable[row][i]
					switch {
					case end == ClientLeft:
						want = Nobody
					case end == TimeOver && r.NotRun:
						want = OutcomeUnknown
					case isWholeTable[end][process]:
						want = Whole
					}
					assert.Equal(t, Decide(r, e), want, "%+v %+v %s", r, e, row)
				}
			}
		}
	}
}

// requestsOf returns all states of a request. One that has not run has no answer.
func requestsOf(kind Kind) (requests []Request) {
	for _, noRetry := range []bool{false, true} {
		for _, state := range []Request{{}, {PassedOn: true}, {NotRun: true}} {
			state.Kind, state.NoRetry = kind, noRetry
			requests = append(requests, state)
		}
	}
	return requests
}

// serverAnswer is an answer as it is at the servers, and what can be seen of its end.
type serverAnswer struct {
	complete bool
	evidence Evidence
}

// drawAnswer draws an answer of a path and its end. A process that has died is not seen as
// alive: the one case in which it is, another process that was back before it was asked,
// cannot be known. A reset of which the write of the request was told looks like a close.
func drawAnswer(t *rapid.T) serverAnswer {
	complete := rapid.Bool().Draw(t, "complete")
	died := make([]bool, rapid.IntRange(1, 4).Draw(t, "number of processes"))
	anyDied := false
	for i := range died {
		died[i] = rapid.Bool().Draw(t, fmt.Sprintf("died %d", i))
		anyDied = anyDied || died[i]
	}
	resetInWrite := !complete && rapid.Bool().Draw(t, "reset in the write")
	e := Evidence{
		InsideEvent: !complete && rapid.Bool().Draw(t, "inside an event"),
		RequestSent: !resetInWrite && rapid.Bool().Draw(t, "request sent"),
	}
	possible := []End{Closed, Cut, Silent, TimeOver, Stopped, ClientLeft}
	if complete {
		possible = ends
	} else if !anyDied && !e.InsideEvent && !resetInWrite {
		// A server that works closes an answer without a length between two events only
		// once it is complete.
		possible = possible[1:]
	}
	e.End = rapid.SampledFrom(possible).Draw(t, "end")
	for i := range died {
		seen := []Process{Unknown, Alive, Leaving}
		if died[i] {
			seen = []Process{Unknown, Crashed, Restarted}
		}
		e.Processes = append(e.Processes, rapid.SampledFrom(seen).Draw(t, "seen"))
	}
	return serverAnswer{complete, e}
}

// maxAttempts bounds the attempts of a request.
const maxAttempts = 4

// playRequest draws attempts until the client has its outcome, which must be true.
func playRequest(t *rapid.T) {
	r := Request{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), NotRun: true}
	for attempt := 1; ; attempt++ {
		r.NoRetry = attempt == maxAttempts || rapid.Bool().Draw(t, "no retry")
		answer := serverAnswer{evidence: Evidence{End: Cut}}
		if rapid.Bool().Draw(t, "runs") {
			assert.Assert(t, r.NotRun || r.Kind.Repeats(), "ran again")
			r.NotRun = false
			answer = drawAnswer(t)
			r.PassedOn = r.PassedOn || rapid.Bool().Draw(t, "some of it is passed on")
		}
		outcome := Decide(r, answer.evidence)
		switch outcome {
		case Whole:
			assert.Assert(t, answer.complete, "%+v", answer)
		case Refused:
			assert.Assert(t, r.NotRun)
		case Repeated, OutcomeUnknown:
			assert.Assert(t, !r.PassedOn)
		case Resumed:
			assert.Equal(t, r.Kind, ResumableStream)
		case BrokenOff:
			assert.Assert(t, r.PassedOn)
		case Nobody:
			assert.Equal(t, answer.evidence.End, ClientLeft)
		}
		if outcome != Repeated && outcome != Resumed {
			return
		}
		assert.Assert(t, !r.NoRetry)
	}
}

// Guards against a sequence of ends and evidence after which the client takes a broken
// answer for a whole one, a request is run again that may not be, or a refusal is untrue.
func TestBrokenAnswerIsNeverWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 50 {
			playRequest(t)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	evidence := Evidence{End: Closed, RequestSent: true, Processes: []Process{Alive, Alive, Leaving, Alive}}
	b.ReportAllocs()
	for b.Loop() {
		if Decide(Request{Kind: ResumableStream, PassedOn: true}, evidence) != Whole {
			b.Fatal("not whole")
		}
	}
}
