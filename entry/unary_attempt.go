package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// recallTimeout is how long a call that may not be retried waits for a lost
	// connection to be restored. The sidecar keeps the response for longer.
	recallTimeout = 5 * time.Second
	// maxResponseBytes limits a response, which is buffered until it is complete.
	maxResponseBytes = 64 << 20
)

// unaryAttempt is one attempt of a unary call on one server.
type unaryAttempt struct {
	call     *unaryCall
	peer     *peer
	ex       *exchange
	response *unaryResponse
	// sent is when the call was queued for sending.
	sent time.Time
	// timer limits the wait for the response, or for a lost connection to be restored.
	timer *time.Timer
}

// handle processes an event. It reports whether the attempt is over and whether
// its response is complete.
func (a *unaryAttempt) handle(event peerEvent) (done, complete bool) {
	switch event.kind {
	case peerDisconnected:
		return a.handleDisconnect(), false
	case peerReconnected:
		a.requestRecall()
		return false, false
	case peerRemoved:
		return true, false
	}
	if event.frame == nil {
		// A unary call has no tokens.
		return false, false
	}
	request, number := a.call.request, a.ex.key.Number
	switch body := event.frame.Body.(type) {
	case *wire.WorkDown_Refused:
		// "Not executed" proves nothing if this process was paused meanwhile, because
		// the sidecar may have forgotten the call.
		request.ObserveWithdrawal(number, attempt.FromWire(body.Refused.Executed), a.sent, now())
		if body.Refused.Reason == wire.RefusalReason_REFUSAL_WITHDRAWN {
			// The server is healthy; the call just never reached it.
			delete(a.call.exclude, a.peer.id)
		}
		return true, false
	case *wire.WorkDown_Failed:
		request.Observe(number, attempt.FromWire(body.Failed.Executed))
		a.observeFailure(body.Failed)
		a.release()
		return true, false
	case *wire.WorkDown_CallHead:
		request.Observe(number, attempt.ExecutedYes)
		a.response.begin(body.CallHead)
	case *wire.WorkDown_CallBody:
		a.response.appendBody(body.CallBody)
		return a.response.isTooLarge() || !a.call.holdMemory(len(a.response.body)), false
	case *wire.WorkDown_CallEnd:
		complete = a.response.isComplete(body.CallEnd)
		// After a reconnect, the recalled response may follow an incomplete one.
		return complete || !a.response.recalled, complete
	}
	return false, false
}

// handleDisconnect ends the attempt of a call that may be retried, so that the
// retry is not delayed. Any other call waits for the connection, because only
// this sidecar knows whether it was executed.
func (a *unaryAttempt) handleDisconnect() bool {
	if a.call.idempotent {
		return true
	}
	a.timer.Reset(recallTimeout)
	return false
}

func (a *unaryAttempt) requestRecall() {
	a.timer.Reset(a.call.timeout)
	a.response.recalled = true
	a.peer.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Recall{Recall: &wire.Recall{
		Request: a.ex.key.Request, Attempt: a.ex.key.Number,
	}}})
}

// release tells the sidecar that it may drop the response.
func (a *unaryAttempt) release() {
	a.peer.enqueue(&wire.WorkUp{Body: &wire.WorkUp_Release{Release: &wire.Release{
		Request: a.ex.key.Request, Attempt: a.ex.key.Number,
	}}})
}

// unaryResponse buffers a response until it is known to be complete, so that the
// client never gets a truncated one with a successful status.
type unaryResponse struct {
	head         *wire.CallHead
	body         []byte
	nextSequence uint64
	corrupt      bool
	digest       *xxhash.Digest
	// recalled is set once the response has been requested again after a reconnect.
	recalled bool
}

func newUnaryResponse() *unaryResponse { return &unaryResponse{digest: xxhash.New()} }

// begin starts the response. A recalled response replaces what was received so far.
func (resp *unaryResponse) begin(head *wire.CallHead) {
	*resp = unaryResponse{head: head, digest: xxhash.New(), recalled: resp.recalled}
}

func (resp *unaryResponse) appendBody(part *wire.CallBody) {
	if resp.corrupt || part.Sequence != resp.nextSequence {
		resp.corrupt = true
		return
	}
	resp.nextSequence++
	resp.body = append(resp.body, part.Data...)
	_, _ = resp.digest.Write(part.Data)
}

func (resp *unaryResponse) isTooLarge() bool { return len(resp.body) > maxResponseBytes }

func (resp *unaryResponse) isComplete(end *wire.CallEnd) bool {
	return resp.head != nil && !resp.corrupt && uint64(len(resp.body)) == end.Length && resp.digest.Sum64() == end.Digest
}

func (resp *unaryResponse) write(w http.ResponseWriter) {
	for _, h := range resp.head.Headers {
		if !hopByHopHeaders[h.Name] {
			w.Header().Add(h.Name, h.Value)
		}
	}
	w.WriteHeader(int(resp.head.Status))
	_, _ = w.Write(resp.body)
}

// observeFailure suspects the call if its server has ended under it.
func (a *unaryAttempt) observeFailure(failed *wire.Failed) {
	a.call.server.crashes.observeFailure(a.call.id, a.peer.id, a.peer.currentIncarnation(), failed.Reason, a.call.content())
}
