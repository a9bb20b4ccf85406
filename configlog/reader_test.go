package configlog

import (
	"testing"

	"gotest.tools/v3/assert"
)

func entryOf(t *testing.T, offset int64, r Record) Entry {
	data, err := r.Encode()
	assert.NilError(t, err)
	return Entry{Offset: offset, Data: data}
}

// A log whose record 0 has expired must not be taken for one that numbers its
// records from 1, where nothing has expired.
func TestExpiredFirstRecordIsNotAFreshLog(t *testing.T) {
	expired := NewReader(versionRules(1))
	expired.OnExpired(1)
	expired.OnRecords(1, []Entry{entryOf(t, 1, revision(t, "a", nil, 1))})
	expired.OnRecords(1, nil)
	assert.Assert(t, !expired.Following())

	fresh := NewReader(versionRules(1))
	fresh.OnRecords(1, []Entry{entryOf(t, 1, revision(t, "a", nil, 1))})
	fresh.OnRecords(1, nil)
	fresh.OnRecords(1, []Entry{entryOf(t, 1, revision(t, "a", nil, 1))})
	assert.Equal(t, fresh.ActiveRevision().Number, int64(1))
}

// follower returns a reader that has applied the given records from offset 0 on.
func follower(t *testing.T, records ...Record) *Reader {
	r := NewReader(versionRules(1))
	r.OnRecords(0, nil)
	for i, record := range records {
		r.OnRecords(0, []Entry{entryOf(t, int64(i), record)})
	}
	return r
}

// A peer may have read another log. Its checkpoint must not replace a state that
// is ahead, and another document under the same number must be reported.
func TestPeerOfAnotherLog(t *testing.T) {
	first := revision(t, "a", nil, 1)
	base := &Revision{Number: 1, Document: document(1)}
	mine := follower(t, first, revision(t, "x", nil, 9), revision(t, "y", nil, 9), revision(t, "b", base, 2))
	other := follower(t, first, revision(t, "c", base, 3), revision(t, "d", &Revision{Number: 2, Document: document(3)}, 4))
	data, err := other.State().Checkpoint().Encode()
	assert.NilError(t, err)
	state := mine.State()
	assert.NilError(t, mine.OnPeer(data))
	assert.Assert(t, mine.State() == state, "the state was replaced by one that is behind")

	same := follower(t, first, revision(t, "e", base, 5))
	assert.Equal(t, same.ActiveRevision().Number, int64(2))
	conflicting := follower(t, first, revision(t, "x", nil, 9), revision(t, "f", base, 6))
	data, err = conflicting.State().Checkpoint().Encode()
	assert.NilError(t, err)
	assert.NilError(t, same.OnPeer(data))
	assert.Assert(t, same.Conflict())
}
