package configlog

// Entry is one encoded record of the log.
type Entry struct {
	Offset int64
	Data   []byte
}

// ApplyResult is the result of applying a record.
type ApplyResult struct {
	Offset  int64
	ID      string
	Kind    Kind
	Outcome Outcome
	Reason  string
	// Revision is the number of the revision in force after the record.
	Revision int64
}

// Reader decides how a process obtains the configuration and keeps it current.
//
// It follows the log once it has a state from whose next offset on every record
// is still readable. To get one, it scans the log for a checkpoint; a peer's
// checkpoint serves as well. The revision in force never goes back, whatever the
// source of the state.
type Reader struct {
	rules  Rules
	state  *State
	active *Revision
	// nextOffset is the next offset to read.
	nextOffset int64
	// firstReadable is the highest known lower bound of the readable offsets.
	firstReadable int64
	// nothingExpired reports whether all records since offset 0 are readable.
	nothingExpired bool
	// probing reports whether nextOffset is a guess, because the log did not say
	// which offset is the first readable one.
	probing bool
	// candidate is the checkpoint with the highest Next that the scan has found.
	candidate *Record
	// rejected holds the ids of checkpoint records that could not be restored.
	rejected map[string]bool
	// sinceCheckpoint counts the records that the newest checkpoint does not include.
	sinceCheckpoint int
	caughtUp        bool
	// newerSchema reports whether a scanned record or a peer's checkpoint has a
	// newer schema than the program supports.
	newerSchema bool
	conflict    bool
}

// NewReader returns a reader that has no state yet.
func NewReader(rules Rules) *Reader {
	return &Reader{rules: rules, nothingExpired: true}
}

// NextOffset returns the next offset to read.
func (r *Reader) NextOffset() int64 { return r.nextOffset }

// Following reports whether the reader has a state and follows the log without a
// gap.
func (r *Reader) Following() bool { return r.state != nil }

// CaughtUp reports whether the last read reached the end of the log.
func (r *Reader) CaughtUp() bool { return r.state != nil && r.caughtUp }

// State returns the current state, or nil while the reader has none.
func (r *Reader) State() *State { return r.state }

// ActiveRevision returns the highest revision seen, or nil. It is kept while the
// reader has no state.
func (r *Reader) ActiveRevision() *Revision { return r.active }

// NeedsPeers reports whether a peer's checkpoint would help, because there is no
// revision or no state yet. A state that stopped at a record with a newer schema
// waits for a checkpoint in the log instead: those of newer peers are large and
// usually have the newer schema too.
func (r *Reader) NeedsPeers() bool {
	return r.active == nil || r.state == nil
}

// NewerSchema reports whether a record or a peer's checkpoint has a newer schema
// than the program supports. offset is that of the record at which the state
// stopped, or 0.
func (r *Reader) NewerSchema() (offset int64, ok bool) {
	if r.state != nil && r.state.newerSchema {
		return r.state.next, true
	}
	return 0, r.newerSchema
}

// Conflict reports whether another source had a different document under the
// number of the revision in force. It means that the log has lost records.
func (r *Reader) Conflict() bool { return r.conflict }

// SinceCheckpoint returns the number of records that a new process would have to
// apply after the newest checkpoint.
func (r *Reader) SinceCheckpoint() int { return r.sinceCheckpoint }

// OnRecords takes the reply to a read at NextOffset. first is the lowest
// readable offset. No entries means that the read reached the end of the log. It
// returns the results of the records that were applied.
func (r *Reader) OnRecords(first int64, entries []Entry) []ApplyResult {
	if first > r.nextOffset && !r.startsAtOne(first) {
		r.OnExpired(first)
		return nil
	}
	r.firstReadable = max(r.firstReadable, first)
	// Records can expire behind a scan that started at the first one.
	r.nothingExpired = r.nothingExpired && first <= 1
	if r.probing {
		r.probing, r.nextOffset = false, first
		return nil
	}
	r.caughtUp = len(entries) == 0
	if r.state == nil && r.caughtUp {
		r.endScan()
		return nil
	}
	var results []ApplyResult
	for _, e := range entries {
		if e.Offset < r.nextOffset {
			continue
		}
		record := Decode(e.Data, r.rules.Schema)
		if r.state == nil {
			r.scan(record)
		} else {
			results = append(results, r.apply(e.Offset, record))
			if r.skipNewerSchema(record) {
				return results
			}
		}
		r.nextOffset = e.Offset + 1
	}
	return results
}

// startsAtOne reports whether first is 1 only because the log numbers its
// records from 1, and not because record 0 has expired.
func (r *Reader) startsAtOne(first int64) bool {
	return r.nextOffset == 0 && first == 1 && r.nothingExpired
}

// OnExpired takes the reply that the record at NextOffset has expired. first is
// the lowest readable offset, or 0 if the log did not say; the reader then
// probes upward.
func (r *Reader) OnExpired(first int64) {
	r.probing = first <= r.nextOffset
	if r.probing {
		first = max(2*r.nextOffset, 1)
	} else {
		r.firstReadable = max(r.firstReadable, first)
	}
	r.state, r.candidate = nil, nil
	r.nothingExpired, r.caughtUp = false, false
	r.nextOffset = first
}

// scan looks for a checkpoint without applying records, because applying them
// from the first one can take minutes, and from a checkpoint seconds.
func (r *Reader) scan(record Record) {
	r.newerSchema = r.newerSchema || record.Schema > r.rules.Schema
	if !r.usable(record) {
		return
	}
	if r.candidate == nil || record.Checkpoint.Next > r.candidate.Checkpoint.Next {
		r.candidate = &record
	}
}

// usable reports whether a record is a checkpoint after which nothing has
// expired. Any other checkpoint, such as one that a paused process wrote late,
// could bring back an old revision.
func (r *Reader) usable(record Record) bool {
	return record.malformed == nil && record.Checkpoint != nil &&
		record.Checkpoint.Next >= r.firstReadable && !r.rejected[record.ID]
}

// endScan starts following the log from the newest usable checkpoint, or from
// the first record if none has expired. Otherwise the scan continues at the end
// of the log, until another process writes a checkpoint.
func (r *Reader) endScan() {
	candidate := r.candidate
	r.candidate = nil
	switch {
	case candidate != nil && !r.usable(*candidate):
		r.nextOffset = r.firstReadable
	case candidate != nil:
		r.restore(*candidate)
	case r.nothingExpired:
		r.follow(New(r.rules))
	}
}

// restore starts following the log from a checkpoint record. If that one is
// damaged, it scans again for an older one.
func (r *Reader) restore(record Record) {
	s, err := Restore(r.rules, *record.Checkpoint)
	if err == nil {
		r.follow(s)
		return
	}
	if r.rejected == nil {
		r.rejected = map[string]bool{}
	}
	r.rejected[record.ID] = true
	if r.state == nil {
		r.nextOffset = r.firstReadable
	}
}

// follow starts following the log from a state.
func (r *Reader) follow(s *State) {
	r.state, r.nextOffset, r.candidate = s, s.next, nil
	r.sinceCheckpoint = 0
	r.caughtUp, r.newerSchema = false, false
	r.activate(s.current)
}

// activate makes a revision the one in force unless its number is lower.
func (r *Reader) activate(revision *Revision) {
	switch {
	case revision == nil:
	case r.active == nil || revision.Number > r.active.Number:
		r.active = revision
	case revision.Number == r.active.Number && revision.Digest != r.active.Digest:
		r.conflict = true
	}
}

func (r *Reader) apply(offset int64, record Record) ApplyResult {
	outcome := r.state.Apply(offset, record)
	r.activate(r.state.current)
	if record.Kind == KindCheckpoint && record.Checkpoint != nil {
		// The checkpoint lacks the few records between Next and its own offset.
		r.sinceCheckpoint = min(r.sinceCheckpoint, int(max(offset-record.Checkpoint.Next, 0)))
	} else {
		r.sinceCheckpoint++
	}
	return ApplyResult{
		Offset: offset, ID: record.ID, Kind: record.Kind, Outcome: outcome,
		Reason: r.state.Reason(), Revision: r.state.Number(),
	}
}

// skipNewerSchema lets a state that stopped at a record with a newer schema
// continue from a later checkpoint with a supported schema. Such a checkpoint
// shows that another process applied the record and that the result is a
// document that this program supports. It reports whether the state was
// replaced.
func (r *Reader) skipNewerSchema(record Record) bool {
	before := r.state
	if before.newerSchema && r.usable(record) && record.Checkpoint.Next > before.next {
		r.restore(record)
	}
	return r.state != before
}

// OnPeer takes a peer's encoded checkpoint. It returns an error if the
// checkpoint is damaged or has a newer schema.
func (r *Reader) OnPeer(data []byte) error {
	c, err := DecodeCheckpoint(data, r.rules.Schema)
	if err == nil && !r.isAhead(c) {
		return nil
	}
	var s *State
	if err == nil {
		s, err = Restore(r.rules, c)
	}
	if err != nil {
		r.newerSchema = r.newerSchema || err == ErrNewerSchema
		return err
	}
	r.activate(s.current)
	if s.next >= r.firstReadable && (r.state == nil || s.next > r.state.next) {
		r.follow(s)
	}
	return nil
}

// isAhead reports whether a peer's checkpoint is ahead of this reader. It avoids
// the costly validation of the document for most replies.
func (r *Reader) isAhead(c Checkpoint) bool {
	if r.active == nil || c.Number > r.active.Number {
		return true
	}
	return r.state == nil || c.Next > r.state.next
}
