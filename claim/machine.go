package claim

import (
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
)

// Call is a call with an idempotency key.
type Call struct {
	// Claim is a unique id: the entry's incarnation and the request's id.
	Claim  string
	Key    Key
	Digest string
	// Window is how long the key is remembered.
	Window time.Duration
	// OnLogOutage says what to do while the log is down.
	OnLogOutage config.LogOutagePolicy
	// Deadline is the latest time at which the claim must be decided.
	Deadline time.Time
	// OutageRetryAfter is the time to come back that a refusal during a log outage names.
	OutageRetryAfter time.Duration
}

// Code is the stable code of an answer that the machine gives by itself.
type Code string

// The codes. They equal the codes of problem answers to callers.
const (
	CodeKeyConflict    Code = "key_conflict"
	CodeKeyExpired     Code = "key_expired"
	CodeInvalidRequest Code = "invalid_request"
	CodeLogUnavailable Code = "log_unavailable"
	CodeOutcomeUnknown Code = "outcome_unknown"
)

// Action is what the entry must do next.
type Action interface{ isAction() }

// Append asks for a record to be appended to the claims stream, possibly in a
// batch with others. The entry reports an answer with Appended or AppendUnconfirmed.
// BestEffort records are appended when the log allows it and reported to nobody.
type Append struct {
	Record     Record
	BestEffort bool
}

// Run asks for the call to be run. Claimed is false when the log was down and
// the service's configuration allows running without a claim.
type Run struct{ Claimed bool }

// Replay answers the caller with the outcome of the first call with the key.
type Replay struct{ Outcome Outcome }

// Refuse answers the caller without running the call.
type Refuse struct {
	Code     Code
	Executed attempt.Executed
	// RetryAfter is 0 when coming back does not help.
	RetryAfter time.Duration
}

func (Append) isAction() {}
func (Run) isAction()    {}
func (Replay) isAction() {}
func (Refuse) isAction() {}

// state is the progress of a call.
type state int

const (
	stateNew state = iota
	stateClaiming
	stateRunning
	stateDone
)

// appendPause is the time between two appends of the same claim when answers are lost.
const appendPause = 100 * time.Millisecond

// maxDecisionFraction bounds the age, as a fraction of the window, at which a
// claim may still start a run or be released. The log keeps a record for longer
// than the window, so a claim that starts in time is still visible to every
// reader, and a paused owner cannot start after its claim has left the log.
const maxDecisionFraction = 0.5

// Machine leads one call from its claim to its outcome: claim, read back, run,
// record. It decides only on what the fold shows; an answer to an append proves
// nothing about earlier claims. A machine that has refused a call never runs it.
type Machine struct {
	call   Call
	fold   *State
	state  state
	record Record
	// retryAppend is when the claim is appended again; zero while an answer is awaited.
	retryAppend time.Time
	// ran is set when Run was returned.
	ran bool
}

// NewMachine returns a machine for a call. The fold is shared by all calls of the entry.
func NewMachine(call Call, fold *State) *Machine {
	return &Machine{call: call, fold: fold}
}

// Done reports whether the machine needs no more events.
func (m *Machine) Done() bool {
	return m.state == stateDone
}

// Start judges the key by what the fold shows and, when the call may be the
// first, claims it. LogUp is false while the log is known to be down.
func (m *Machine) Start(now time.Time, logUp bool) []Action {
	if m.state != stateNew {
		return nil
	}
	if refusal, refused := checkKeyTime(m.call.Key.Value, m.call.Window, now); refused {
		return m.answer(refusal)
	}
	if actions, held := m.judgeHolder(now); held {
		return actions
	}
	m.state = stateClaiming
	if !logUp {
		return m.LogUnavailable(now)
	}
	m.record = Record{
		Schema: SchemaVersion,
		Kind:   KindClaim,
		Key:    m.call.Key,
		Claim:  m.call.Claim,
		Digest: m.call.Digest,
		At:     now,
	}
	return []Action{Append{Record: m.record}}
}

// AppendSucceeded takes the log's answer to the claim's append.
func (m *Machine) AppendSucceeded(now time.Time) []Action {
	m.retryAppend = time.Time{}
	return m.StateAdvanced(now)
}

// AppendUnconfirmed takes the news that the append was not answered or failed. It may
// have taken effect all the same, so the same record is appended again unless the
// fold shows it; a second copy has no effect.
func (m *Machine) AppendUnconfirmed(now time.Time) []Action {
	if m.state != stateClaiming {
		return nil
	}
	if actions := m.StateAdvanced(now); actions != nil {
		return actions
	}
	m.retryAppend = now.Add(appendPause)
	return nil
}

// StateAdvanced takes the news that the fold has advanced.
func (m *Machine) StateAdvanced(now time.Time) []Action {
	if m.state != stateClaiming {
		return nil
	}
	switch m.fold.Status(m.call.Key, m.call.Claim) {
	case Won:
		return m.won(now)
	case Lost, Conflicting:
		if actions, held := m.judgeHolder(now); held {
			return actions
		}
		// The holder has released the key since; this claim has lost all the same.
		return m.answer(Refuse{Code: CodeOutcomeUnknown, Executed: attempt.ExecutedNo, RetryAfter: m.call.OutageRetryAfter})
	default:
		return nil
	}
}

// LogUnavailable takes the news that the log is down.
func (m *Machine) LogUnavailable(now time.Time) []Action {
	if m.state != stateClaiming {
		return nil
	}
	if actions := m.StateAdvanced(now); actions != nil {
		return actions
	}
	if m.call.OnLogOutage == config.RunDuringOutage {
		return m.run(false)
	}
	return m.abandon()
}

// Tick takes the time: it appends again and gives up at the deadline.
func (m *Machine) Tick(now time.Time) []Action {
	if m.state != stateClaiming {
		return nil
	}
	if actions := m.StateAdvanced(now); actions != nil {
		return actions
	}
	if !now.Before(m.call.Deadline) {
		return m.abandon()
	}
	if !m.retryAppend.IsZero() && !now.Before(m.retryAppend) {
		m.retryAppend = time.Time{}
		return []Action{Append{Record: m.record}}
	}
	return nil
}

// NextTick returns when Tick is due, and false when no time matters.
func (m *Machine) NextTick() (time.Time, bool) {
	if m.state != stateClaiming {
		return time.Time{}, false
	}
	if !m.retryAppend.IsZero() && m.retryAppend.Before(m.call.Deadline) {
		return m.retryAppend, true
	}
	return m.call.Deadline, true
}

// Cancel ends a call whose caller went away before it ran.
func (m *Machine) Cancel() []Action {
	switch m.state {
	case stateClaiming:
		m.state = stateDone
		return m.release()
	case stateNew:
		m.state = stateDone
	}
	return nil
}

// RunEnded takes the end of the run. A call that was certainly not run gives its
// claim back, so that the caller may retry with the same key.
func (m *Machine) RunEnded(now time.Time, outcome Outcome) []Action {
	if m.state != stateRunning {
		return nil
	}
	m.state = stateDone
	if outcome.Executed == attempt.ExecutedNo {
		if m.tooOld(now) {
			return nil
		}
		return m.release()
	}
	kept := outcome.LimitBody()
	r := Record{Schema: SchemaVersion, Kind: KindOutcome, Key: m.call.Key, Claim: m.call.Claim, Outcome: &kept}
	return []Action{Append{Record: r, BestEffort: true}}
}

func (m *Machine) won(now time.Time) []Action {
	if m.tooOld(now) || !now.Before(m.call.Deadline) {
		return m.abandon()
	}
	return m.run(true)
}

// tooOld reports whether so much time has passed since the claim that a reader may not see it much longer.
func (m *Machine) tooOld(now time.Time) bool {
	if m.record.At.IsZero() {
		return false
	}
	return now.Sub(m.record.At) >= time.Duration(float64(m.call.Window)*maxDecisionFraction)
}

func (m *Machine) run(claimed bool) []Action {
	m.state, m.ran = stateRunning, true
	return []Action{Run{Claimed: claimed}}
}

// abandon refuses a call whose claim could not be settled. The release keeps a
// claim that takes effect later from blocking the key.
func (m *Machine) abandon() []Action {
	actions := m.answer(Refuse{
		Code:       CodeLogUnavailable,
		Executed:   attempt.ExecutedNo,
		RetryAfter: m.call.OutageRetryAfter,
	})
	return append(actions, m.release()...)
}

func (m *Machine) release() []Action {
	if m.record.Claim == "" {
		return nil
	}
	r := Record{Schema: SchemaVersion, Kind: KindRelease, Key: m.call.Key, Claim: m.call.Claim}
	return []Action{Append{Record: r, BestEffort: true}}
}

func (m *Machine) answer(action Action) []Action {
	m.state = stateDone
	return []Action{action}
}

// judgeHolder answers a call whose key is held by another claim.
func (m *Machine) judgeHolder(now time.Time) ([]Action, bool) {
	if digest, known := m.fold.Digest(m.call.Key); known && digest != m.call.Digest {
		return m.answer(Refuse{Code: CodeKeyConflict, Executed: attempt.ExecutedNo}), true
	}
	holder, held := m.fold.Holder(m.call.Key)
	if !held {
		return nil, false
	}
	if now.Sub(holder.At) > m.call.Window {
		return m.answer(Refuse{Code: CodeKeyExpired, Executed: attempt.ExecutedNo}), true
	}
	if holder.Outcome != nil && holder.Outcome.Status != 0 && !holder.Outcome.BodyDropped {
		return m.answer(Replay{Outcome: *holder.Outcome}), true
	}
	executed := attempt.ExecutedUnknown
	if holder.Outcome != nil {
		executed = holder.Outcome.Executed
	}
	return m.answer(Refuse{Code: CodeOutcomeUnknown, Executed: executed, RetryAfter: m.call.OutageRetryAfter}), true
}
