package configlog

// Result is what a publisher may report about its record.
type Result int

// The results. Pending is the only one that changes.
const (
	Pending Result = iota
	// ResultAccepted means that the revision is in force, or was until a later
	// one replaced it.
	ResultAccepted
	// ResultSuperseded means that another revision was accepted on the same base;
	// the record has no effect, also if it arrives later.
	ResultSuperseded
	// ResultInvalid means that the fold refused the document.
	ResultInvalid
	// ResultNotSent means that no append reached the log.
	ResultNotSent
	// ResultUnknown means that the record may still take effect.
	ResultUnknown
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"pending", "accepted", "overtaken", "invalid", "not sent", "unknown"}[r]
}

// Step is what a publisher needs next.
type Step int

// The steps.
const (
	// StepRead asks to read the log on, and to report judgements and the end of the log.
	StepRead Step = iota
	// StepAppend asks to append the record.
	StepAppend
	// StepDone means that Result is final.
	StepDone
)

// Publisher decides how a record is brought to the log and what is reported.
// Its reader must not have read past the first append when it starts, so that
// no judgement is missed. Repeated appends carry the same id; the fold lets a
// second copy have no effect.
type Publisher struct {
	id      string
	base    int64
	result  Result
	reason  string
	number  int64
	step    Step
	appends int
	// sent tells that an append may have reached the log.
	sent bool
}

// maxAppends bounds the copies of one record in the log.
const maxAppends = 4

// NewPublisher returns the publisher of a revision record. state is the state
// of the reader that will judge the record.
func NewPublisher(record Record, state *State) *Publisher {
	p := &Publisher{id: record.ID, base: record.Base, step: StepAppend}
	if state.unjudged {
		p.finish(ResultNotSent, 0, "the log holds a record with a newer schema; publish with a newer program")
	}
	p.OnStateReplaced(state)
	return p
}

// Step returns what is needed next.
func (p *Publisher) Step() Step { return p.step }

// Result returns the result, the number of the accepted or overtaking revision,
// and the reason.
func (p *Publisher) Result() (result Result, number int64, reason string) {
	return p.result, p.number, p.reason
}

func (p *Publisher) finish(result Result, number int64, reason string) {
	if p.step == StepDone {
		return
	}
	p.step, p.result, p.number, p.reason = StepDone, result, number, reason
}

// OnAppendSucceeded takes a positive answer to an append. The record is not yet judged.
func (p *Publisher) OnAppendSucceeded() {
	p.appends++
	p.sent = true
	p.readBack()
}

// OnAppendUnconfirmed takes an append whose outcome is unknown.
func (p *Publisher) OnAppendUnconfirmed() { p.OnAppendSucceeded() }

// OnAppendFailed takes an append that certainly did not reach the log.
func (p *Publisher) OnAppendFailed() {
	p.appends++
	p.readBack()
}

func (p *Publisher) readBack() {
	if p.step != StepDone {
		p.step = StepRead
	}
}

// OnApplied takes the judgement of every record that the reader folds.
func (p *Publisher) OnApplied(j ApplyResult) {
	switch {
	case j.ID == p.id && (j.Outcome == Accepted || j.Outcome == Duplicate):
		p.finish(ResultAccepted, j.Revision, j.Reason)
	case j.Revision > p.base:
		p.finish(ResultSuperseded, j.Revision, j.Reason)
	case j.ID == p.id && j.Outcome == Invalid:
		p.finish(ResultInvalid, j.Revision, j.Reason)
	case j.Outcome == NewerSchema:
		p.finish(p.undecided(), j.Revision, j.Reason)
	}
}

// OnStateReplaced takes the state of a reader that lost its place and was anchored
// again, so that it did not judge the records between.
func (p *Publisher) OnStateReplaced(state *State) {
	if state == nil || state.Number() <= p.base {
		return
	}
	for _, a := range state.recent {
		switch {
		case a.ID == p.id:
			p.finish(ResultAccepted, a.Number, "accepted before")
		case a.Number == p.base+1:
			p.finish(ResultSuperseded, state.Number(), "another revision was accepted on the same base")
		}
	}
	if !p.sent {
		p.finish(ResultSuperseded, state.Number(), "the base is no longer in force")
	}
	p.finish(ResultUnknown, state.Number(), "the records that tell the outcome have expired")
}

// OnCaughtUp takes a read that began after the last append ended and met the
// end of the log. A record that is not there may still arrive, so it is
// appended again with the same id.
func (p *Publisher) OnCaughtUp() {
	if p.step != StepRead {
		return
	}
	if p.appends < maxAppends {
		p.step = StepAppend
		return
	}
	p.finish(p.undecided(), 0, "the record was not found in the log")
}

// OnDeadline ends the publisher.
func (p *Publisher) OnDeadline() {
	p.finish(p.undecided(), 0, "the deadline passed")
}

func (p *Publisher) undecided() Result {
	if p.sent {
		return ResultUnknown
	}
	return ResultNotSent
}
