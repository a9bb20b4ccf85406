package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/config"
)

var start = time.Unix(1_700_000_000, 0)

var key = Key{Team: "a", Service: "orders", Value: "k"}

func claimOf(id, digest string) Record {
	return Record{Schema: SchemaVersion, Kind: KindClaim, Key: key, Claim: id, Digest: digest, At: start}
}

func releaseOf(id string) Record {
	return Record{Kind: KindRelease, Key: key, Claim: id}
}

func outcomeOf(id string, status int) Record {
	return Record{Kind: KindOutcome, Key: key, Claim: id, Outcome: &Outcome{Executed: attempt.ExecutedYes, Status: status}}
}

func otherTeam(id string) Record {
	r := claimOf(id, "other body")
	r.Key.Team = "b"
	return r
}

// Checks the status of each claim after a sequence of records. A wrong status
// would run a call twice or respond with the outcome of another call.
func TestClaimStatuses(t *testing.T) {
	for _, test := range []struct {
		name    string
		log     []Record
		want    map[string]Status
		outcome int
	}{
		{"first claim wins", []Record{claimOf("1", "d"), claimOf("2", "d")}, map[string]Status{"1": Won, "2": Lost}, 0},
		{"copy has no effect", []Record{claimOf("1", "d"), claimOf("2", "d"), claimOf("2", "d"), claimOf("1", "d")},
			map[string]Status{"1": Won, "2": Lost}, 0},
		{"other body conflicts", []Record{claimOf("1", "d"), claimOf("2", "e")}, map[string]Status{"1": Won, "2": Conflicting}, 0},
		{"teams have separate keys", []Record{otherTeam("9"), claimOf("1", "d")}, map[string]Status{"1": Won, "9": Absent}, 0},
		{"first outcome is kept and the key stays held", []Record{claimOf("1", "d"), outcomeOf("1", 201), outcomeOf("1", 500), claimOf("2", "d")},
			map[string]Status{"1": Won, "2": Lost}, 201},
		{"outcome of a lost claim is ignored", []Record{claimOf("1", "d"), claimOf("2", "d"), outcomeOf("2", 500)},
			map[string]Status{"1": Won, "2": Lost}, 0},
		{"released key is free again", []Record{claimOf("1", "d"), claimOf("2", "d"), releaseOf("1"), claimOf("3", "d")},
			map[string]Status{"1": Released, "2": Lost, "3": Won}, 0},
		{"release of another claim does not free the key", []Record{claimOf("1", "d"), releaseOf("2"), claimOf("3", "d")},
			map[string]Status{"1": Won, "2": Released, "3": Lost}, 0},
		{"claim after its release never wins", []Record{releaseOf("1"), claimOf("1", "d"), claimOf("2", "d")},
			map[string]Status{"1": Released, "2": Won}, 0},
		{"claim with an outcome is not released", []Record{claimOf("1", "d"), outcomeOf("1", 200), releaseOf("1"), claimOf("2", "d")},
			map[string]Status{"1": Won, "2": Lost}, 200},
		{"unknown kind has no effect", []Record{{Schema: 9, Kind: "later", Key: key, Claim: "1"}, claimOf("2", "d")},
			map[string]Status{"1": Absent, "2": Won}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewState(5)
			for i, r := range test.log {
				assert.Assert(t, s.Apply(int64(5+i), Batch{Records: []Record{r}}))
			}
			for id, want := range test.want {
				assert.Equal(t, s.Status(key, id), want, id)
			}
			holder, _ := s.Holder(key)
			if test.outcome > 0 {
				assert.Equal(t, holder.Outcome.Status, test.outcome)
			} else {
				assert.Assert(t, holder.Outcome == nil)
			}
		})
	}
}

// A record that is delivered twice or after a gap must be rejected, because the
// order of the log decides which claim wins.
func TestApplyRequiresNextOffset(t *testing.T) {
	s := NewState(5)
	for _, offset := range []int64{4, 6, 100} {
		assert.Assert(t, !s.Apply(offset, Batch{Records: []Record{claimOf("1", "d")}}))
	}
	assert.Equal(t, s.Keys(), 0)
	s.Trim(100)
	assert.Assert(t, s.Apply(100, Batch{Records: []Record{claimOf("1", "d")}}))
}

func drawRecord(t *rapid.T) Record {
	id := fmt.Sprint(rapid.IntRange(1, 6).Draw(t, "claim"))
	r := []Record{claimOf(id, "d"), claimOf(id, "d"), outcomeOf(id, 200), releaseOf(id), claimOf("x"+id, "e")}[rapid.IntRange(0, 4).Draw(t, "kind")]
	r.Key.Value = rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
	return r
}

// A process that starts after records have expired must see the same holders as
// one that has trimmed them; otherwise each of them could run a call.
func TestTrimmedStateEqualsFreshState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := NewState(0)
		var log []Batch
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			b := Batch{Records: []Record{drawRecord(t), drawRecord(t)}}
			log = append(log, b)
			old.Apply(int64(i), b)
		}
		first := rapid.IntRange(0, len(log)).Draw(t, "first")
		fresh := NewState(int64(first))
		for i := first; i < len(log); i++ {
			fresh.Apply(int64(i), log[i])
		}
		old.Trim(int64(first))
		assert.Equal(t, old.Keys(), fresh.Keys())
		for _, value := range []string{"k", "l"} {
			k := Key{Team: "a", Service: "orders", Value: value}
			a, okA := old.Holder(k)
			b, okB := fresh.Holder(k)
			assert.Equal(t, okA, okB)
			assert.DeepEqual(t, a, b)
		}
	})
}

// Encoding must preserve the records, and decoding a damaged batch must fail.
func TestBatchRoundTrip(t *testing.T) {
	in := Batch{Records: []Record{claimOf("1", Digest("POST", "/a", []byte("b"))), outcomeOf("1", 200), releaseOf("2")}}
	data, err := in.Encode()
	assert.NilError(t, err)
	out, err := DecodeBatch(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, in.Records[1:], out.Records[1:])
	assert.Assert(t, out.Records[0].At.Equal(start))
	_, err = DecodeBatch(data[:len(data)-1])
	assert.ErrorContains(t, err, "decode claim batch")
	assert.Assert(t, Digest("POST", "/a", []byte("b")) != Digest("POST", "/ab", nil))
}

// Only a well-formed UUID version 7 carries a time. Taking another key for one
// could refuse it as expired.
func TestKeyTime(t *testing.T) {
	at, ok := KeyTime("018bcfe5-6800-7000-8000-000000000000")
	assert.Assert(t, ok && at.Equal(start))
	for _, k := range []string{"", "k", "018bcfe5-6800-4000-8000-000000000000", "018bcfe5-6800-7000-c000-000000000000",
		"018bcfe5x6800-7000-8000-000000000000", "018bcfe5-6800-7000-8000-00000000000g", "018bcfe5-68-0-7000-8000-00000000000-"} {
		_, ok := KeyTime(k)
		assert.Assert(t, !ok, k)
	}
}

func newCall(id string, policy config.LogOutagePolicy) Call {
	return Call{
		Claim: id, Key: key, Digest: "d", Window: time.Hour, OnLogOutage: policy,
		Deadline: start.Add(5 * time.Second), OutageRetryAfter: 2 * time.Second,
	}
}

func appendedRecord(t *testing.T, actions []Action) Record {
	t.Helper()
	a, ok := actions[len(actions)-1].(Append)
	assert.Assert(t, ok, "%v", actions)
	return a.Record
}

func refusal(t *testing.T, actions []Action) Refuse {
	t.Helper()
	r, ok := actions[0].(Refuse)
	assert.Assert(t, ok, "%v", actions)
	return r
}

// A call whose append was not confirmed must run once its claim is read back,
// append the claim again until then, and never run after the client was told
// that it did not run.
func TestMachineUnconfirmedAppend(t *testing.T) {
	s := NewState(0)
	m := NewMachine(newCall("1", config.RefuseDuringOutage), s)
	r := appendedRecord(t, m.Start(start, true))
	assert.Assert(t, m.AppendUnconfirmed(start.Add(time.Second)) == nil)
	next, ok := m.NextTick()
	assert.Assert(t, ok && next.Equal(start.Add(time.Second+appendRetryDelay)))
	assert.DeepEqual(t, appendedRecord(t, m.Tick(next)), r)
	s.Apply(0, Batch{Records: []Record{r, r}})
	assert.DeepEqual(t, m.StateAdvanced(next), []Action{Run{Claimed: true}})

	late := NewMachine(newCall("2", config.RefuseDuringOutage), NewState(0))
	late.Start(start, true)
	actions := late.Tick(start.Add(5 * time.Second))
	assert.DeepEqual(t, refusal(t, actions), Refuse{Code: CodeLogUnavailable, Executed: attempt.ExecutedNo, RetryAfter: 2 * time.Second})
	assert.Equal(t, appendedRecord(t, actions).Kind, KindRelease)
	late.state.Apply(0, Batch{Records: []Record{claimOf("2", "d")}})
	assert.Assert(t, late.StateAdvanced(start.Add(6*time.Second)) == nil)
	assert.Assert(t, late.Done())
}

// A process that was paused past the deadline must not run the call.
func TestMachineResumedAfterDeadline(t *testing.T) {
	m := NewMachine(newCall("1", config.RefuseDuringOutage), NewState(0))
	r := appendedRecord(t, m.Start(start, true))
	m.state.Apply(0, Batch{Records: []Record{r}})
	assert.Equal(t, refusal(t, m.StateAdvanced(start.Add(10*time.Hour))).Executed, attempt.ExecutedNo)
}

// While the log service is down, only the policy RunDuringOutage may run a call.
func TestMachineOutage(t *testing.T) {
	m := NewMachine(newCall("1", config.RefuseDuringOutage), NewState(0))
	assert.Equal(t, refusal(t, m.Start(start, false)).Code, CodeLogUnavailable)
	m = NewMachine(newCall("1", config.RunDuringOutage), NewState(0))
	m.Start(start, true)
	assert.DeepEqual(t, m.LogUnavailable(start), []Action{Run{}})
}

// A call whose key is held by another claim must get that claim's outcome, or a
// refusal that says whether the first call ran, and never run.
func TestMachineHeldKey(t *testing.T) {
	for _, test := range []struct {
		name  string
		log   []Record
		after time.Duration
		want  Action
	}{
		{"outcome", []Record{claimOf("0", "d"), outcomeOf("0", 201)}, 0, Replay{Outcome{Executed: attempt.ExecutedYes, Status: 201}}},
		{"no outcome", []Record{claimOf("0", "d")}, 0, Refuse{CodeOutcomeUnknown, attempt.ExecutedUnknown, 2 * time.Second}},
		{"lost answer", []Record{claimOf("0", "d"), outcomeOf("0", 0)}, 0, Refuse{CodeOutcomeUnknown, attempt.ExecutedYes, 2 * time.Second}},
		{"other body", []Record{claimOf("0", "e")}, 0, Refuse{CodeKeyConflict, attempt.ExecutedNo, 0}},
		{"past the window", []Record{claimOf("0", "d"), outcomeOf("0", 201)}, 2 * time.Hour, Refuse{CodeKeyExpired, attempt.ExecutedNo, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHolder := NewState(0)
			withHolder.Apply(0, Batch{Records: test.log})
			call := newCall("1", config.RefuseDuringOutage)
			call.Deadline = start.Add(24 * time.Hour)
			m := NewMachine(call, withHolder)
			assert.DeepEqual(t, m.Start(start.Add(test.after), true), []Action{test.want})

			racing := NewMachine(call, NewState(0))
			racing.Start(start.Add(test.after), true)
			racing.state.Apply(0, Batch{Records: append(test.log, claimOf("1", "d"))})
			assert.DeepEqual(t, racing.StateAdvanced(start.Add(test.after)), []Action{test.want})
		})
	}
}

// A UUID version 7 key must be refused by its own time, because its record may
// have expired from the log.
func TestMachineKeyTime(t *testing.T) {
	for after, want := range map[time.Duration]Code{2 * time.Hour: CodeKeyExpired, -2 * time.Minute: CodeInvalidRequest} {
		call := newCall("1", config.RefuseDuringOutage)
		call.Key.Value = "018bcfe5-6800-7000-8000-000000000000"
		assert.Equal(t, refusal(t, NewMachine(call, NewState(0)).Start(start.Add(after), true)).Code, want)
	}
}

// A call that certainly did not run must release the key; one that may have run
// must not.
func TestMachineRecordsOutcome(t *testing.T) {
	for executed, want := range map[attempt.Executed]Kind{
		attempt.ExecutedNo: KindRelease, attempt.ExecutedYes: KindOutcome, attempt.ExecutedUnknown: KindOutcome,
	} {
		m := NewMachine(newCall("1", config.RefuseDuringOutage), NewState(0))
		m.state.Apply(0, Batch{Records: []Record{appendedRecord(t, m.Start(start, true))}})
		m.StateAdvanced(start)
		r := appendedRecord(t, m.RunEnded(start, Outcome{Executed: executed, Body: make([]byte, MaxStoredBody+1)}))
		assert.Equal(t, r.Kind, want)
		assert.Assert(t, r.Outcome == nil || r.Outcome.BodyDropped)
		assert.Assert(t, m.RunEnded(start, Outcome{}) == nil)
	}
}
