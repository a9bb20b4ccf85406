package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

// Guards against answers that are lost or broken off without a violation, and against
// violations where the rules allow an end.
func TestEndsOfRequestsAreJudged(t *testing.T) {
	now := time.Now()
	type change func(*evidence)
	status := func(status int, complete bool) change {
		return func(e *evidence) { e.status, e.complete = status, complete }
	}
	after := func(d time.Duration) change { return func(e *evidence) { e.endedAt = now.Add(d) } }
	stopped := func(before time.Duration) change { return func(e *evidence) { e.stoppedAt = now.Add(-before) } }
	signed, unsound := func(e *evidence) { e.fromServer = true }, func(e *evidence) { e.serversSound = false }
	disrupted, notRun := func(e *evidence) { e.entryDisrupted = true }, func(e *evidence) { e.executed = false }
	kept, unwritten := func(e *evidence) { e.keptChannel = true }, func(e *evidence) { e.lastByteAt = time.Time{} }
	behind := func(e *evidence) { e.channelOver = true }
	alone, unlogged := func(e *evidence) { e.alone = true }, func(e *evidence) { e.unlogged = true }
	for _, test := range []struct {
		want    verdict
		changes []change
	}{
		{verdictAnswered, []change{status(200, true), signed}},
		{verdictAnswered, []change{status(502, true), signed}},
		{verdictRefused, []change{status(503, true)}},
		{verdictLost, nil},
		{verdictLost, []change{stopped(time.Second), after(time.Second)}},
		{verdictLost, []change{stopped(4 * time.Second), after(2 * time.Second)}},
		{verdictLost, []change{notRun, after(readTime + time.Millisecond)}},
		{verdictLost, []change{notRun, kept, stopped(time.Second), after(readTime + time.Millisecond)}},
		{verdictUnread, []change{notRun, kept, after(readTime)}},
		{verdictUnread, []change{notRun, kept, alone, unlogged, after(time.Second)}},
		{verdictLost, []change{notRun, kept, alone, after(time.Second)}},
		{verdictLost, []change{notRun, kept, unlogged, after(time.Second)}},
		{verdictLost, []change{kept, alone, unlogged, after(time.Second)}},
		{verdictUnread, []change{notRun, stopped(time.Second), after(time.Second)}},
		{verdictUnread, []change{notRun, unwritten, after(time.Second)}},
		{verdictUnread, []change{notRun, kept, behind, after(time.Second)}},
		{verdictLost, []change{kept, behind}},
		{verdictEndOfGrace, []change{stopped(2 * time.Second), after(lastOfGrace - 2*time.Second)}},
		{verdictDisrupted, []change{disrupted}},
		{verdictUnsound, []change{unsound}},
		{verdictTimeOver, []change{after(requestTimeout)}},
		{verdictBrokenOff, []change{status(200, false), signed}},
		{verdictUnsound, []change{status(200, false), signed, unsound}},
		{verdictFailed, []change{status(502, true)}},
		{verdictFailed, []change{status(504, true)}},
		{verdictUnsound, []change{status(502, true), unsound}},
		{verdictNotRun, []change{status(502, true), notRun}},
	} {
		e := evidence{clientView: clientView{sentAt: now, lastByteAt: now}, endedAt: now.Add(50 * time.Millisecond), executed: true, serversSound: true}
		for _, change := range test.changes {
			change(&e)
		}
		assert.Check(t, e.judge() == test.want, "%+v: %s, want %s", e, e.judge(), test.want)
	}
}

// Guards against a soak that plays other faults than it was asked for.
func TestOnlyNamedFaultsAreChosen(t *testing.T) {
	chosen, err := onlyFaults("entry killed,configuration changes")
	assert.NilError(t, err)
	assert.Equal(t, len(chosen), 2)
	_, err = onlyFaults("entry killed,no such fault")
	assert.ErrorContains(t, err, "no such fault")
}

// Guards against servers that count as sound although they were disrupted or have crashed.
func TestDisruptedServersAreUnsound(t *testing.T) {
	r := newTestRun()
	app, err := r.fleet.StartApp(platformtest.ServiceA, "a", r.newRand(3), func(address string) string { return address })
	assert.NilError(t, err)
	defer app.Crash()
	c := platformtest.ClientRequest{ID: "x", Method: http.MethodGet, Target: platformtest.PathIdempotent, Timeout: time.Second}
	request, err := c.HTTPRequest(t.Context(), "http://"+app.Address())
	assert.NilError(t, err)
	platformtest.AddressTo(request.Header, app.ID())
	sentAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	executions := r.fleet.Executions("x")
	assert.Equal(t, len(executions), 1)
	isSound := func(since time.Time) bool { return r.fleet.AllSoundSince(executions, since) }
	assert.Assert(t, isSound(sentAt))
	end := disrupt(app)
	assert.Assert(t, !isSound(time.Now()))
	end()
	assert.Assert(t, !isSound(sentAt))
	assert.Assert(t, isSound(time.Now().Add(time.Millisecond)))
	app.Crash()
	assert.Assert(t, !isSound(time.Now().Add(time.Millisecond)))
}
