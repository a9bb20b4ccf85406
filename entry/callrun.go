package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// recallLimit is how long a call that may not be repeated waits for a lost
	// connection. The sidecar keeps its answer for longer.
	recallLimit = 5 * time.Second
	// maxAnswerBytes bounds an answer, which the entry holds until it is whole.
	maxAnswerBytes = 64 << 20
)

// callRun is one attempt of a plain call at one server.
type callRun struct {
	call   *plainCall
	peer   *peer
	ex     *exchange
	answer *plainAnswer
	// sent is when the call was handed to the connection.
	sent time.Time
	// timer ends the wait for a lost connection.
	timer *time.Timer
}

// handle returns whether the attempt is over and whether its answer is whole.
func (r *callRun) handle(event peerEvent) (over, whole bool) {
	switch event.kind {
	case peerLost:
		return r.connectionLost(), false
	case peerBack:
		r.recall()
		return false, false
	case peerGone:
		return true, false
	}
	if event.frame == nil {
		// A token has no place in a plain call.
		return false, false
	}
	request, number := r.call.request, r.ex.key.Number
	switch body := event.frame.Body.(type) {
	case *wire.WorkDown_Refused:
		// An entry that was paused may hear "no" from a sidecar that has forgotten the call.
		request.ObserveWithdrawal(number, attempt.FromWire(body.Refused.Executed), r.sent, now())
		if body.Refused.Reason == wire.RefusalReason_REFUSAL_WITHDRAWN {
			// The server itself is in order; only the call never reached it.
			delete(r.call.exclude, r.peer.id)
		}
		return true, false
	case *wire.WorkDown_Failed:
		request.Observe(number, attempt.FromWire(body.Failed.Executed))
		r.release()
		return true, false
	case *wire.WorkDown_CallHead:
		request.Observe(number, attempt.ExecutedYes)
		r.answer.begin(body.CallHead)
	case *wire.WorkDown_CallBody:
		r.answer.add(body.CallBody)
		return r.answer.isTooLarge(), false
	case *wire.WorkDown_CallEnd:
		whole = r.answer.isWhole(body.CallEnd)
		// After a reconnection the recalled answer follows a broken one.
		return whole || !r.answer.recalled, whole
	}
	return false, false
}

// connectionLost ends the attempt of a call that may be repeated, so that it
// goes elsewhere at once. Any other call waits for the connection, because only
// this sidecar knows what became of it.
func (r *callRun) connectionLost() bool {
	if r.call.idempotent {
		return true
	}
	r.timer.Reset(recallLimit)
	return false
}

func (r *callRun) recall() {
	r.timer.Reset(r.call.timeout)
	r.answer.recalled = true
	r.peer.push(&wire.WorkUp{Body: &wire.WorkUp_Recall{Recall: &wire.Recall{
		Request: r.ex.key.Request, Attempt: r.ex.key.Number,
	}}})
}

// release lets the sidecar forget the answer.
func (r *callRun) release() {
	r.peer.push(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{
		Request: r.ex.key.Request, Attempt: r.ex.key.Number,
	}}})
}

// plainAnswer collects an answer until it is known to be whole, so that the
// caller never gets a truncated one under a successful status.
type plainAnswer struct {
	head   *wire.CallHead
	body   []byte
	next   uint64
	broken bool
	digest *xxhash.Digest
	// recalled is set once the answer was asked for again.
	recalled bool
}

func newPlainAnswer() *plainAnswer { return &plainAnswer{digest: xxhash.New()} }

// begin starts the answer, also over again when it was asked for a second time.
func (a *plainAnswer) begin(head *wire.CallHead) {
	*a = plainAnswer{head: head, digest: xxhash.New(), recalled: a.recalled}
}

func (a *plainAnswer) add(part *wire.CallBody) {
	if a.broken || part.Sequence != a.next {
		a.broken = true
		return
	}
	a.next++
	a.body = append(a.body, part.Data...)
	_, _ = a.digest.Write(part.Data)
}

func (a *plainAnswer) isTooLarge() bool { return len(a.body) > maxAnswerBytes }

func (a *plainAnswer) isWhole(end *wire.CallEnd) bool {
	return a.head != nil && !a.broken && uint64(len(a.body)) == end.Length && a.digest.Sum64() == end.Digest
}

func (a *plainAnswer) write(w http.ResponseWriter) {
	for _, h := range a.head.Headers {
		if !hopHeaders[h.Name] {
			w.Header().Add(h.Name, h.Value)
		}
	}
	w.WriteHeader(int(a.head.Status))
	_, _ = w.Write(a.body)
}
