package soak

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// verdict is how a request ended.
type verdict string

const (
	verdictAnswered verdict = "answered"
	verdictRefused  verdict = "refused"
	// Ends without a complete answer that the rules allow: the process was killed, frozen or
	// cut off; the time was over; a server was still at work at the end of a planned stop; a
	// server broke off or was cut off; a failure of a request that no server has run.
	verdictDisrupted  verdict = "without an answer, entry disrupted"
	verdictTimeOver   verdict = "without an answer, time over"
	verdictEndOfGrace verdict = "without an answer, end of grace period"
	verdictUnsound    verdict = "without an answer, server unsound"
	verdictNotRun     verdict = "failed before it ran"
	// verdictUnread: no process is known to have read the request.
	verdictUnread    verdict = "closed unread"
	verdictLost      verdict = "answer lost"
	verdictBrokenOff verdict = "answer broken off"
	verdictFailed    verdict = "failed at sound servers"
)

func (v verdict) isViolation() bool {
	return v == verdictLost || v == verdictBrokenOff || v == verdictFailed
}

const (
	// readTime is how long after its last byte a request on an open channel counts as
	// read, and disruptionTail how long after its end a disruption of the entry excuses it.
	readTime       = 200 * time.Millisecond
	disruptionTail = 3 * time.Second
	// A request sent up to maxSendAfterStop after a planned stop may be cut in the last
	// sixth of the grace period if a server is still at work on it.
	maxSendAfterStop = 3 * time.Second
	lastOfGrace      = gracePeriod - gracePeriod/6
	// maxExitTime is how long after a planned stop its process may run.
	maxExitTime = gracePeriod + time.Second
)

// clientView is what a client sees of its request.
type clientView struct {
	sentAt, lastByteAt time.Time
	// keptChannel: the process has answered on the same channel before, so it has
	// accepted it.
	keptChannel bool
	// alone: no other request was in progress on the channel when this one was sent.
	alone bool
	// channelOver: the answer before it on the channel was broken off, missing or said that
	// no other one follows. A request that crosses a close and is not passed on is not lost.
	channelOver bool
	// status is 0 without an answer. A complete answer ended as its framing says.
	status               int
	complete, fromServer bool
}

// evidence is what is known of a request when its channel or its answer has ended.
type evidence struct {
	clientView
	endedAt time.Time
	// executed: a server ran the request. serversSound: all that ran it, and the
	// engines of their paths, were sound from the sending on.
	executed, serversSound bool
	// unlogged: the process has not written that the request has ended, as it does for all
	// that it has read, but for those that it holds behind another one.
	unlogged bool
	// entryDisrupted: an unplanned disruption of the entry excuses it.
	entryDisrupted bool
	// stoppedAt is the last planned stop of the entry before the end, or zero.
	stoppedAt time.Time
}

// judge decides how a request ended.
func (e evidence) judge() verdict {
	failed := e.status >= http.StatusInternalServerError && !e.fromServer
	switch {
	case e.complete && platformtest.ImpliesNotExecuted(e.status):
		return verdictRefused
	case e.complete && !failed:
		return verdictAnswered
	case e.entryDisrupted:
		return verdictDisrupted
	case e.endedAt.Sub(e.sentAt) >= requestTimeout:
		return verdictTimeOver
	case e.isCutAtEndOfGrace():
		return verdictEndOfGrace
	case !e.executed && e.status == 0:
		return e.judgeNotPassedOn()
	case !e.executed:
		return verdictNotRun
	case !e.serversSound:
		return verdictUnsound
	case e.status == 0:
		return verdictLost
	case failed:
		return verdictFailed
	}
	return verdictBrokenOff
}

// judgeNotPassedOn judges a request that no server ran and that got no answer. While a
// process stops, a channel may end that it never accepted, unless it is a kept one. A
// request that crosses the close of an idle channel has not been read.
func (e evidence) judgeNotPassedOn() verdict {
	accepted := (e.keptChannel || e.stoppedAt.IsZero()) && !e.channelOver && !(e.alone && e.unlogged)
	if accepted && !e.lastByteAt.IsZero() && e.endedAt.Sub(e.lastByteAt) > readTime {
		return verdictLost
	}
	return verdictUnread
}

func (e evidence) isCutAtEndOfGrace() bool {
	return !e.stoppedAt.IsZero() && e.executed && e.sentAt.Sub(e.stoppedAt) <= maxSendAfterStop && e.endedAt.Sub(e.stoppedAt) >= lastOfGrace
}

// observedRequest collects what a client sees of its request.
type observedRequest struct {
	mu   sync.Mutex
	seen clientView
}

func (o *observedRequest) view() clientView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen
}

// emptyBody is a body that the HTTP client does not know to be empty, so that it does
// not silently send a request again whose channel ended without an answer.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// observe adds hooks to a request that collect what its client sees.
func observe(request *http.Request, sentAt time.Time) (*http.Request, *observedRequest) {
	o := &observedRequest{seen: clientView{sentAt: sentAt, alone: true}}
	set := func(change func()) {
		o.mu.Lock()
		defer o.mu.Unlock()
		change()
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { set(func() { o.seen.keptChannel = info.Reused }) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				set(func() { o.seen.lastByteAt = time.Now() })
			}
		},
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.GetBody = nil
	if request.Method == http.MethodGet {
		request.Body = emptyBody{}
	}
	return request, o
}

// lateRunTime is how long after the end of a request it is judged: a link that stands
// still holds what was passed on, so a server may run it only then.
const lateRunTime = maxSilence + 200*time.Millisecond

// checkAnswer judges a request whose channel or answer has just ended.
func (c *loadClient) checkAnswer(request platformtest.ClientRequest, e *entry, processNumber int, view clientView) {
	found := evidence{clientView: view, endedAt: time.Now(), entryDisrupted: !e.unplanned.NoneSince(view.sentAt.Add(-disruptionTail))}
	if stop := e.lastStop(); found.sentAt.Sub(stop) < maxExitTime {
		found.stoppedAt = stop
	}
	if result := found.judge(); result == verdictAnswered || result == verdictRefused {
		c.report.count("ended: " + string(result))
		return
	}
	c.lateJudgements.Go(func() {
		time.Sleep(lateRunTime)
		executions := c.fleet.Executions(request.ID)
		found.executed, found.serversSound = len(executions) > 0, c.fleet.AllSoundSince(executions, found.sentAt)
		if found.judge().isViolation() {
			found.unlogged = e.hasNotLogged(processNumber, request.ID)
		}
		c.recordVerdict(request, found, executions)
	})
}

func (c *loadClient) recordVerdict(request platformtest.ClientRequest, e evidence, executions []platformtest.Execution) {
	result := e.judge()
	if !result.isViolation() {
		c.report.count("ended: " + string(result))
		return
	}
	sinceStop := "never"
	if !e.stoppedAt.IsZero() {
		sinceStop = e.endedAt.Sub(e.stoppedAt).String() + " before"
	}
	c.report.addViolation(string(result), "%s %s through %s: status %d after %s, %s after its last byte; kept channel %t; asked to stop: %s; executions %v",
		request.Method, request.Target, request.Entry, e.status, e.endedAt.Sub(e.sentAt), e.endedAt.Sub(e.lastByteAt), e.keptChannel, sinceStop, executions)
}
