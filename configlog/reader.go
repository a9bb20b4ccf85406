package configlog

// Entry is one record as it is read from the log.
type Entry struct {
	Offset int64
	Data   []byte
}

// ApplyResult tells what became of a record.
type ApplyResult struct {
	Offset  int64
	ID      string
	Kind    Kind
	Outcome Outcome
	Reason  string
	// Revision is the revision in force after the record.
	Revision int64
}

// Reader decides how a process gets the configuration and keeps it current.
//
// It follows the log once its state is anchored, which means that every record
// from the state's next offset on is still readable. Otherwise it scans the log
// for a checkpoint that anchors it. A state of a peer anchors it as well. The
// revision in force never goes back, wherever the state comes from.
type Reader struct {
	rules   Rules
	state   *State
	inForce *Revision
	// from is the next offset to read.
	from int64
	// first is the highest known lower bound of the readable offsets.
	first int64
	// complete tells that no record has expired since offset 0.
	complete bool
	// probing tells that from was guessed, because the log did not say where its
	// readable records start.
	probing bool
	// candidate is the checkpoint record that leads furthest among those the scan has met.
	candidate *Record
	// rejected holds the ids of checkpoint records that could not be restored.
	rejected map[string]bool
	// sinceCheckpoint counts records after the newest checkpoint's last folded one.
	sinceCheckpoint int
	caughtUp        bool
	// unjudged tells that the scan met a record, or a peer sent a state, with a
	// newer schema.
	unjudged bool
	conflict bool
}

// NewReader returns the reader of a fresh process.
func NewReader(rules Rules) *Reader {
	return &Reader{rules: rules, complete: true}
}

// NextOffset is the offset to read next.
func (r *Reader) NextOffset() int64 { return r.from }

// Following tells whether the reader follows the log with a gapless state.
func (r *Reader) Following() bool { return r.state != nil }

// CaughtUp tells whether the last read met the end of the log.
func (r *Reader) CaughtUp() bool { return r.state != nil && r.caughtUp }

// State returns the folded state, or nil while the reader is not anchored.
func (r *Reader) State() *State { return r.state }

// ActiveRevision returns the highest revision seen, or nil.
func (r *Reader) ActiveRevision() *Revision { return r.inForce }

// NeedsPeers tells whether peers can help: there is no revision yet, or no state
// that can follow the log. A state that stopped at a newer schema waits for a
// checkpoint in the log instead, because the states of newer peers are large and
// mostly of the newer schema too.
func (r *Reader) NeedsPeers() bool {
	return r.inForce == nil || r.state == nil
}

// NewerSchema tells whether a record or a peer's state has a newer schema, and the
// record's offset if it is a record.
func (r *Reader) NewerSchema() (offset int64, ok bool) {
	if r.state != nil && r.state.unjudged {
		return r.state.next, true
	}
	return 0, r.unjudged
}

// Conflict tells whether another source had a different document under the
// number of the revision in force, which only a log that lost records explains.
func (r *Reader) Conflict() bool { return r.conflict }

// SinceCheckpoint counts the records that a fresh process would have to fold
// after the newest checkpoint.
func (r *Reader) SinceCheckpoint() int { return r.sinceCheckpoint }

// OnRecords takes the answer to a read from offset From. first is the lowest
// readable offset. No records means that the read met the end of the log. It
// returns the judgements of records that were folded.
func (r *Reader) OnRecords(first int64, entries []Entry) []ApplyResult {
	if first > r.from && !r.startsAtOne(first) {
		r.OnExpired(first)
		return nil
	}
	r.first = max(r.first, first)
	// Records may expire behind a scan that started at the first one.
	r.complete = r.complete && first <= 1
	if r.probing {
		r.probing, r.from = false, first
		return nil
	}
	r.caughtUp = len(entries) == 0
	if r.state == nil && r.caughtUp {
		r.endScan()
		return nil
	}
	var judgements []ApplyResult
	for _, e := range entries {
		if e.Offset < r.from {
			continue
		}
		record := Decode(e.Data, r.rules.Schema)
		if r.state == nil {
			r.scan(record)
		} else {
			judgements = append(judgements, r.fold(e.Offset, record))
			if r.passUnjudged(record) {
				return judgements
			}
		}
		r.from = e.Offset + 1
	}
	return judgements
}

// startsAtOne tells whether the log numbers its records from 1: it then answers
// a read from 0 with first 1, although nothing has expired.
func (r *Reader) startsAtOne(first int64) bool {
	return r.from == 0 && first == 1 && r.complete
}

// OnExpired takes the answer that From has expired. first is the lowest
// readable offset, or 0 when the log did not say; the reader then probes upward.
func (r *Reader) OnExpired(first int64) {
	r.probing = first <= r.from
	if r.probing {
		first = max(2*r.from, 1)
	} else {
		r.first = max(r.first, first)
	}
	r.state, r.candidate = nil, nil
	r.complete, r.caughtUp = false, false
	r.from = first
}

// scan looks for a checkpoint without folding, because folding from the first
// record can take minutes where folding from a checkpoint takes seconds.
func (r *Reader) scan(record Record) {
	r.unjudged = r.unjudged || record.Schema > r.rules.Schema
	if !r.usable(record) {
		return
	}
	if r.candidate == nil || record.Checkpoint.Next > r.candidate.Checkpoint.Next {
		r.candidate = &record
	}
}

// usable tells whether a record is a checkpoint after which nothing has
// expired. Any other checkpoint, such as one that a paused process wrote late,
// could bring back an old revision.
func (r *Reader) usable(record Record) bool {
	return record.malformed == nil && record.Checkpoint != nil &&
		record.Checkpoint.Next >= r.first && !r.rejected[record.ID]
}

// endScan anchors the reader to the newest usable checkpoint, or to the first
// record when none has expired. Otherwise the scan goes on from the end: another
// process will write a checkpoint.
func (r *Reader) endScan() {
	candidate := r.candidate
	r.candidate = nil
	switch {
	case candidate != nil && !r.usable(*candidate):
		r.from = r.first
	case candidate != nil:
		r.restore(*candidate)
	case r.complete:
		r.anchor(New(r.rules))
	}
}

// restore anchors the reader to a checkpoint record. After a damaged one it
// scans again, for an older one.
func (r *Reader) restore(record Record) {
	s, err := Restore(r.rules, *record.Checkpoint)
	if err == nil {
		r.anchor(s)
		return
	}
	if r.rejected == nil {
		r.rejected = map[string]bool{}
	}
	r.rejected[record.ID] = true
	if r.state == nil {
		r.from = r.first
	}
}

func (r *Reader) anchor(s *State) {
	r.state, r.from, r.candidate = s, s.next, nil
	r.sinceCheckpoint = 0
	r.caughtUp, r.unjudged = false, false
	r.raise(s.current)
}

// raise puts a revision in force unless it is a lower one.
func (r *Reader) raise(revision *Revision) {
	switch {
	case revision == nil:
	case r.inForce == nil || revision.Number > r.inForce.Number:
		r.inForce = revision
	case revision.Number == r.inForce.Number && revision.Digest != r.inForce.Digest:
		r.conflict = true
	}
}

func (r *Reader) fold(offset int64, record Record) ApplyResult {
	outcome := r.state.Apply(offset, record)
	r.raise(r.state.current)
	if record.Kind == KindCheckpoint && record.Checkpoint != nil {
		// Records between the checkpoint's state and its own offset are few.
		r.sinceCheckpoint = min(r.sinceCheckpoint, int(max(offset-record.Checkpoint.Next, 0)))
	} else {
		r.sinceCheckpoint++
	}
	return ApplyResult{
		Offset: offset, ID: record.ID, Kind: record.Kind, Outcome: outcome,
		Reason: r.state.Reason(), Revision: r.state.Number(),
	}
}

// passUnjudged anchors a state that stopped before a record with a newer schema
// to a later checkpoint with a known schema, which shows that the record was
// judged elsewhere and left a document that this program can judge.
func (r *Reader) passUnjudged(record Record) bool {
	before := r.state
	if before.unjudged && r.usable(record) && record.Checkpoint.Next > before.next {
		r.restore(record)
	}
	return r.state != before
}

// OnPeer takes the encoded checkpoint of a peer. It returns an error for one
// that is damaged or that this program cannot judge.
func (r *Reader) OnPeer(data []byte) error {
	c, err := DecodeCheckpoint(data, r.rules.Schema)
	if err == nil && !r.useful(c) {
		return nil
	}
	var s *State
	if err == nil {
		s, err = Restore(r.rules, c)
	}
	if err != nil {
		r.unjudged = r.unjudged || err == ErrNewerSchema
		return err
	}
	r.raise(s.current)
	if s.next >= r.first && (r.state == nil || s.next > r.state.next) {
		r.anchor(s)
	}
	return nil
}

// useful tells whether a peer's state is further than this reader, so that the
// costly check of the document is left out for most answers.
func (r *Reader) useful(c Checkpoint) bool {
	if r.inForce == nil || c.Number > r.inForce.Number {
		return true
	}
	return r.state == nil || c.Next > r.state.next
}
