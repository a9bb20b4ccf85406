package attempt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// A withdrawal with the reply "no" must keep the attempt from running, also if
// the attempt arrives after the withdrawal.
func TestWithdrawnAttemptNeverRuns(t *testing.T) {
	l := NewLedger("inc")
	assert.Equal(t, l.Withdraw(Key{"late", 1}, start), ExecutedNo)
	assert.Equal(t, l.Open(Key{"late", 1}, "inc"), RefusalWithdrawn)

	assert.Equal(t, l.Open(Key{"opened", 1}, "inc"), RefusalNone)
	assert.Equal(t, l.Withdraw(Key{"opened", 1}, start), ExecutedNo)
	assert.Assert(t, !l.Begin(Key{"opened", 1}))
}

// The reply to the withdrawal of a running attempt must not be "no".
func TestWithdrawOfRunningAttemptIsUnknown(t *testing.T) {
	l := NewLedger("inc")
	l.Open(Key{"r", 1}, "inc")
	assert.Assert(t, l.Begin(Key{"r", 1}))
	assert.Equal(t, l.Withdraw(Key{"r", 1}, start), ExecutedUnknown)
	l.Finish(Key{"r", 1}, start)
	assert.Equal(t, l.Withdraw(Key{"r", 1}, start), ExecutedYes)
}

// Duplicate and stale attempts, and those for an earlier incarnation, must be
// refused.
func TestLedgerRefusals(t *testing.T) {
	l := NewLedger("inc")
	assert.Equal(t, l.Open(Key{"r", 1}, "old"), RefusalStaleIncarnation)
	assert.Equal(t, l.Open(Key{"r", 2}, "inc"), RefusalNone)
	assert.Equal(t, l.Open(Key{"r", 2}, "inc"), RefusalDuplicate)
	assert.Equal(t, l.Open(Key{"r", 1}, "inc"), RefusalStaleAttempt)
	assert.Assert(t, l.Begin(Key{"r", 2}))
	assert.Assert(t, !l.Begin(Key{"r", 2}))
	l.Drain()
	assert.Equal(t, l.Open(Key{"new", 1}, "inc"), RefusalDraining)
}

// A draining sidecar must continue requests that are in progress and accept no
// others.
func TestContinueWhileDraining(t *testing.T) {
	l := NewLedger("inc")
	l.Open(Key{"r", 1}, "inc")
	l.Open(Key{"done", 1}, "inc")
	l.Finish(Key{"done", 1}, start)
	l.Drain()
	assert.Equal(t, l.Open(Key{"r", 2}, "inc"), RefusalDraining)
	assert.Equal(t, l.Continue(Key{"r", 2}, "inc"), RefusalNone)
	assert.Equal(t, l.Continue(Key{"r", 1}, "inc"), RefusalStaleAttempt)
	assert.Equal(t, l.Continue(Key{"done", 2}, "inc"), RefusalDraining)
	assert.Equal(t, l.Continue(Key{"new", 1}, "inc"), RefusalDraining)
}

// Ended attempts must expire, or the ledger grows without bound. Open ones must
// not.
func TestLedgerExpire(t *testing.T) {
	l := NewLedger("inc")
	l.Open(Key{"open", 1}, "inc")
	l.Withdraw(Key{"gone", 1}, start)
	l.Expire(start.Add(TombstoneTTL))
	assert.Equal(t, len(l.records), 2)
	l.Expire(start.Add(TombstoneTTL + 1))
	assert.Equal(t, len(l.records), 1)
}

// A non-idempotent request may be sent again only if every earlier attempt
// certainly did not run.
func TestRequestMayStartAttempt(t *testing.T) {
	r := NewRequest(false)
	assert.Equal(t, r.Executed(), ExecutedNo)
	first := r.StartAttempt()
	assert.Assert(t, !r.MayStartAttempt())
	r.Observe(first, ExecutedNo)
	assert.Assert(t, r.MayStartAttempt())
	second := r.StartAttempt()
	r.Observe(second, ExecutedUnknown)
	assert.Assert(t, !r.MayStartAttempt())
	assert.Equal(t, r.Executed(), ExecutedUnknown)
	r.Observe(second, ExecutedYes)
	r.Observe(second, ExecutedNo)
	assert.Equal(t, r.Executed(), ExecutedYes)

	idempotent := NewRequest(true)
	idempotent.StartAttempt()
	assert.Assert(t, idempotent.MayStartAttempt())
	idempotent.ResponseStarted()
	assert.Assert(t, !idempotent.MayStartAttempt())
}

// A late copy of an older attempt that ran must not be refused, because a
// refusal says that it did not run. One that never began must be refused.
func TestLateCopyOfOlderAttempt(t *testing.T) {
	l := NewLedger("inc")
	l.Open(Key{"r", 1}, "inc")
	assert.Assert(t, l.Begin(Key{"r", 1}))
	l.Open(Key{"r", 2}, "inc")
	assert.Equal(t, l.Withdraw(Key{"r", 3}, start), ExecutedNo)
	assert.Equal(t, l.Open(Key{"r", 1}, "inc"), RefusalDuplicate)
	assert.Equal(t, l.Open(Key{"r", 2}, "inc"), RefusalStaleAttempt)
}

// An attempt that did not reach the backend server must not stay in progress,
// which would keep a draining sidecar from exiting.
func TestNotExecutedEndsAttempt(t *testing.T) {
	l := NewLedger("inc")
	l.Open(Key{"r", 1}, "inc")
	assert.Assert(t, l.Begin(Key{"r", 1}))
	l.MarkNotExecuted(Key{"r", 1}, start)
	assert.Equal(t, l.InProgress(), 0)
	assert.Equal(t, l.Running(), 0)
	assert.Equal(t, l.Open(Key{"r", 1}, "inc"), RefusalWithdrawn)
}

// A sidecar that was paused must not forget a withdrawn attempt whose first
// frame may still be unread.
func TestPausedLedgerKeepsTombstone(t *testing.T) {
	l := NewLedger("inc")
	l.Expire(start)
	assert.Equal(t, l.Withdraw(Key{"r", 1}, start), ExecutedNo)
	resumed := start.Add(time.Hour)
	l.Expire(resumed)
	assert.Equal(t, l.Open(Key{"r", 1}, "inc"), RefusalWithdrawn)
	for s := range 70 {
		l.Expire(resumed.Add(time.Duration(s) * time.Second))
	}
	assert.Equal(t, len(l.records), 0)
}

// The reply "no" of a sidecar that may have forgotten the attempt must count as
// unknown.
func TestLateWithdrawalIsUnknown(t *testing.T) {
	for after, want := range map[time.Duration]Executed{time.Second: ExecutedNo, TombstoneTTL: ExecutedUnknown} {
		r := NewRequest(false)
		r.ObserveWithdrawal(r.StartAttempt(), ExecutedNo, start, start.Add(after))
		assert.Equal(t, r.Executed(), want)
	}
}
