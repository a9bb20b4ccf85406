package configlog

// Result is the outcome of publishing a record.
type Result int

// The results. All but Pending are final.
const (
	Pending Result = iota
	// ResultAccepted means that the revision came into force. A later one may have
	// replaced it since.
	ResultAccepted
	// ResultSuperseded means that another revision was accepted on the same base.
	// The record has no effect, even if it still arrives in the log.
	ResultSuperseded
	// ResultInvalid means that the record or its document was rejected as invalid.
	ResultInvalid
	// ResultNotSent means that no append reached the log.
	ResultNotSent
	// ResultUnknown means that the record may still take effect.
	ResultUnknown
)

// String returns the result in lower-case words.
func (r Result) String() string {
	return [...]string{"pending", "accepted", "overtaken", "invalid", "not sent", "unknown"}[r]
}

// Step is what the caller of a Publisher must do next.
type Step int

// The steps.
const (
	// StepRead means reading on in the log and reporting the outcome of each record
	// and the end of the log.
	StepRead Step = iota
	// StepAppend means appending the record.
	StepAppend
	// StepDone means that Result is final.
	StepDone
)

// Publisher decides when to append a record to the log and determines the result
// from the records that are read back. The reader must not have read past the
// offset of the first append, so that it sees the outcome of the record.
// Repeated appends carry the same id, so a second copy has no effect.
type Publisher struct {
	id      string
	base    int64
	result  Result
	reason  string
	number  int64
	step    Step
	appends int
	// sent reports whether an append may have reached the log.
	sent bool
}

// maxAppends bounds the copies of one record in the log.
const maxAppends = 4

// NewPublisher returns the publisher of a revision record. state is that of the
// reader that will read the record back.
func NewPublisher(record Record, state *State) *Publisher {
	p := &Publisher{id: record.ID, base: record.Base, step: StepAppend}
	if state.newerSchema {
		p.finish(ResultNotSent, 0, "the log holds a record with a newer schema; publish with a newer program")
	}
	p.OnStateReplaced(state)
	return p
}

// Step returns what the caller must do next.
func (p *Publisher) Step() Step { return p.step }

// Result returns the result, the number of the accepted or superseding revision,
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

// OnAppendSucceeded reports that an append succeeded. The record may still be
// rejected.
func (p *Publisher) OnAppendSucceeded() {
	p.appends++
	p.sent = true
	p.readBack()
}

// OnAppendUnconfirmed reports an append whose outcome is unknown.
func (p *Publisher) OnAppendUnconfirmed() { p.OnAppendSucceeded() }

// OnAppendFailed reports an append that certainly did not reach the log.
func (p *Publisher) OnAppendFailed() {
	p.appends++
	p.readBack()
}

func (p *Publisher) readBack() {
	if p.step != StepDone {
		p.step = StepRead
	}
}

// OnApplied must be called for every record that the reader applies.
func (p *Publisher) OnApplied(result ApplyResult) {
	switch {
	case result.ID == p.id && (result.Outcome == Accepted || result.Outcome == Duplicate):
		p.finish(ResultAccepted, result.Revision, result.Reason)
	case result.Revision > p.base:
		p.finish(ResultSuperseded, result.Revision, result.Reason)
	case result.ID == p.id && result.Outcome == Invalid:
		p.finish(ResultInvalid, result.Revision, result.Reason)
	case result.Outcome == NewerSchema:
		p.finish(p.undecidedResult(), result.Revision, result.Reason)
	}
}

// OnStateReplaced takes the reader's new state after it had to restart from a
// checkpoint, because it did not apply the records in between.
func (p *Publisher) OnStateReplaced(state *State) {
	if state == nil || state.Number() <= p.base {
		return
	}
	for _, ref := range state.recent {
		switch {
		case ref.ID == p.id:
			p.finish(ResultAccepted, ref.Number, "accepted before")
		case ref.Number == p.base+1:
			p.finish(ResultSuperseded, state.Number(), "another revision was accepted on the same base")
		}
	}
	if !p.sent {
		p.finish(ResultSuperseded, state.Number(), "the base is no longer in force")
	}
	p.finish(ResultUnknown, state.Number(), "the records that tell the outcome have expired")
}

// OnCaughtUp reports that a read that began after the last append ended reached
// the end of the log. A record that was not found may still arrive, so it is
// appended again with the same id.
func (p *Publisher) OnCaughtUp() {
	if p.step != StepRead {
		return
	}
	if p.appends < maxAppends {
		p.step = StepAppend
		return
	}
	p.finish(p.undecidedResult(), 0, "the record was not found in the log")
}

// OnDeadline makes the result final when the deadline has passed.
func (p *Publisher) OnDeadline() {
	p.finish(p.undecidedResult(), 0, "the deadline passed")
}

// undecidedResult returns the result for a record that was not found in the log.
func (p *Publisher) undecidedResult() Result {
	if p.sent {
		return ResultUnknown
	}
	return ResultNotSent
}
