package claim

import (
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
)

// Call is a call with an idempotency key.
type Call struct {
	// Claim is a unique id made of the entry's incarnation and the request id.
	Claim  string
	Key    Key
	Digest string
	// Window is how long the key is valid after its first use.
	Window time.Duration
	// OnLogOutage is the policy while the log service is down.
	OnLogOutage config.LogOutagePolicy
	// Deadline is when the call is refused if its claim is still undecided.
	Deadline time.Time
	// OutageRetryAfter is the RetryAfter of refusals while the log service is down
	// or the outcome of the first call is unknown.
	OutageRetryAfter time.Duration
}

// Code is the stable code of a refusal.
type Code string

// The codes. They equal the codes in problem responses to clients.
const (
	CodeKeyConflict    Code = "key_conflict"
	CodeKeyExpired     Code = "key_expired"
	CodeInvalidRequest Code = "invalid_request"
	CodeLogUnavailable Code = "log_unavailable"
	CodeOutcomeUnknown Code = "outcome_unknown"
)

// Action is something that the entry must do next.
type Action interface{ isAction() }

// Append appends a record to the claims stream, possibly in a batch with others.
// The entry reports the result with AppendSucceeded or AppendUnconfirmed. A
// BestEffort record is not retried and its result is not reported.
type Append struct {
	Record     Record
	BestEffort bool
}

// Run runs the call. Claimed is false if the log service was down and the
// service's configuration allows running without a claim.
type Run struct{ Claimed bool }

// Replay responds with the outcome of the first call with the key.
type Replay struct{ Outcome Outcome }

// Refuse responds with an error and does not run the call.
type Refuse struct {
	Code     Code
	Executed attempt.Executed
	// RetryAfter is 0 if a retry does not help.
	RetryAfter time.Duration
}

func (Append) isAction() {}
func (Run) isAction()    {}
func (Replay) isAction() {}
func (Refuse) isAction() {}

// phase is the progress of a Machine.
type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseRunning
	phaseDone
)

// appendRetryDelay is the delay before an unconfirmed claim is appended again.
const appendRetryDelay = 100 * time.Millisecond

// maxClaimAgeFraction bounds the age, as a fraction of the window, at which the
// owner of a claim may still run the call or release the claim. The log retains
// records for longer than the window, so the claim is still visible to every
// reader when the call starts. An owner that was paused cannot run the call
// after its claim has expired from the log.
const maxClaimAgeFraction = 0.5

// Machine is the state machine of one call: append the claim, read it back from
// the log, run the call, append the outcome. It decides only by the State,
// because a successful append does not show whether an earlier claim exists. A
// machine that has refused a call never runs it.
type Machine struct {
	call   Call
	state  *State
	phase  phase
	record Record
	// appendRetryAt is when the claim is appended again, or zero if no retry is due.
	appendRetryAt time.Time
	// ran reports whether Run was returned.
	ran bool
}

// NewMachine returns the machine of a call. All machines of an entry share one
// State.
func NewMachine(call Call, state *State) *Machine {
	return &Machine{call: call, state: state}
}

// Done reports whether the machine has reached its final state.
func (m *Machine) Done() bool {
	return m.phase == phaseDone
}

// Start checks the key against the State and claims it if no other call holds
// it. logUp is false while the log service is known to be down.
func (m *Machine) Start(now time.Time, logUp bool) []Action {
	if m.phase != phaseNew {
		return nil
	}
	if refusal, refused := checkKeyTime(m.call.Key.Value, m.call.Window, now); refused {
		return m.finish(refusal)
	}
	if actions, held := m.answerFromHolder(now); held {
		return actions
	}
	m.phase = phaseClaiming
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

// AppendSucceeded reports that the log service confirmed the append of the
// claim.
func (m *Machine) AppendSucceeded(now time.Time) []Action {
	m.appendRetryAt = time.Time{}
	return m.StateAdvanced(now)
}

// AppendUnconfirmed reports that the append of the claim failed or got no reply.
// It may have succeeded all the same, so the record is appended again unless it
// shows up in the State. A second copy has no effect.
func (m *Machine) AppendUnconfirmed(now time.Time) []Action {
	if m.phase != phaseClaiming {
		return nil
	}
	if actions := m.StateAdvanced(now); actions != nil {
		return actions
	}
	m.appendRetryAt = now.Add(appendRetryDelay)
	return nil
}

// StateAdvanced reports that records were applied to the State.
func (m *Machine) StateAdvanced(now time.Time) []Action {
	if m.phase != phaseClaiming {
		return nil
	}
	switch m.state.Status(m.call.Key, m.call.Claim) {
	case Won:
		return m.onWon(now)
	case Lost, Conflicting:
		if actions, held := m.answerFromHolder(now); held {
			return actions
		}
		// The holder has released the key since, but a claim that lost stays lost.
		return m.finish(Refuse{Code: CodeOutcomeUnknown, Executed: attempt.ExecutedNo, RetryAfter: m.call.OutageRetryAfter})
	default:
		return nil
	}
}

// LogUnavailable reports that the log service is down.
func (m *Machine) LogUnavailable(now time.Time) []Action {
	if m.phase != phaseClaiming {
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

// Tick retries the append when it is due and refuses the call at the deadline.
func (m *Machine) Tick(now time.Time) []Action {
	if m.phase != phaseClaiming {
		return nil
	}
	if actions := m.StateAdvanced(now); actions != nil {
		return actions
	}
	if !now.Before(m.call.Deadline) {
		return m.abandon()
	}
	if !m.appendRetryAt.IsZero() && !now.Before(m.appendRetryAt) {
		m.appendRetryAt = time.Time{}
		return []Action{Append{Record: m.record}}
	}
	return nil
}

// NextTick returns when Tick is due, or false if it is not needed.
func (m *Machine) NextTick() (time.Time, bool) {
	if m.phase != phaseClaiming {
		return time.Time{}, false
	}
	if !m.appendRetryAt.IsZero() && m.appendRetryAt.Before(m.call.Deadline) {
		return m.appendRetryAt, true
	}
	return m.call.Deadline, true
}

// Cancel reports that the client disconnected before the call ran.
func (m *Machine) Cancel() []Action {
	switch m.phase {
	case phaseClaiming:
		m.phase = phaseDone
		return m.release()
	case phaseNew:
		m.phase = phaseDone
	}
	return nil
}

// RunEnded reports the outcome of the run. If the call certainly did not run,
// its claim is released, so that the client can retry with the same key.
func (m *Machine) RunEnded(now time.Time, outcome Outcome) []Action {
	if m.phase != phaseRunning {
		return nil
	}
	m.phase = phaseDone
	if outcome.Executed == attempt.ExecutedNo {
		if m.claimTooOld(now) {
			return nil
		}
		return m.release()
	}
	kept := outcome.LimitBody()
	r := Record{Schema: SchemaVersion, Kind: KindOutcome, Key: m.call.Key, Claim: m.call.Claim, Outcome: &kept}
	return []Action{Append{Record: r, BestEffort: true}}
}

func (m *Machine) onWon(now time.Time) []Action {
	if m.claimTooOld(now) || !now.Before(m.call.Deadline) {
		return m.abandon()
	}
	return m.run(true)
}

// claimTooOld reports whether the claim may soon expire from the log.
func (m *Machine) claimTooOld(now time.Time) bool {
	if m.record.At.IsZero() {
		return false
	}
	return now.Sub(m.record.At) >= time.Duration(float64(m.call.Window)*maxClaimAgeFraction)
}

func (m *Machine) run(claimed bool) []Action {
	m.phase, m.ran = phaseRunning, true
	return []Action{Run{Claimed: claimed}}
}

// abandon refuses a call whose claim was not decided in time. The release keeps
// a claim that takes effect later from blocking the key.
func (m *Machine) abandon() []Action {
	actions := m.finish(Refuse{
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

func (m *Machine) finish(action Action) []Action {
	m.phase = phaseDone
	return []Action{action}
}

// answerFromHolder replays or refuses a call whose key is held by another claim.
// It returns false if the key is free.
func (m *Machine) answerFromHolder(now time.Time) ([]Action, bool) {
	if digest, known := m.state.Digest(m.call.Key); known && digest != m.call.Digest {
		return m.finish(Refuse{Code: CodeKeyConflict, Executed: attempt.ExecutedNo}), true
	}
	holder, held := m.state.Holder(m.call.Key)
	if !held {
		return nil, false
	}
	if now.Sub(holder.At) > m.call.Window {
		return m.finish(Refuse{Code: CodeKeyExpired, Executed: attempt.ExecutedNo}), true
	}
	if holder.Outcome != nil && holder.Outcome.Status != 0 && !holder.Outcome.BodyDropped {
		return m.finish(Replay{Outcome: *holder.Outcome}), true
	}
	executed := attempt.ExecutedUnknown
	if holder.Outcome != nil {
		executed = holder.Outcome.Executed
	}
	return m.finish(Refuse{Code: CodeOutcomeUnknown, Executed: executed, RetryAfter: m.call.OutageRetryAfter}), true
}
