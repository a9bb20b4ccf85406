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

// Each case is a log and the standing that it must give to each claim. A wrong
// standing runs a booking twice or answers with another call's outcome.
func TestFoldStandings(t *testing.T) {
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
		{"teams are apart", []Record{otherTeam("9"), claimOf("1", "d")}, map[string]Status{"1": Won, "9": Absent}, 0},
		{"outcome is kept and not taken over", []Record{claimOf("1", "d"), outcomeOf("1", 201), outcomeOf("1", 500), claimOf("2", "d")},
			map[string]Status{"1": Won, "2": Lost}, 201},
		{"outcome of a loser is ignored", []Record{claimOf("1", "d"), claimOf("2", "d"), outcomeOf("2", 500)},
			map[string]Status{"1": Won, "2": Lost}, 0},
		{"released key is free again", []Record{claimOf("1", "d"), claimOf("2", "d"), releaseOf("1"), claimOf("3", "d")},
			map[string]Status{"1": Released, "2": Lost, "3": Won}, 0},
		{"release of a loser is no release", []Record{claimOf("1", "d"), releaseOf("2"), claimOf("3", "d")},
			map[string]Status{"1": Won, "2": Released, "3": Lost}, 0},
		{"claim after its release never wins", []Record{releaseOf("1"), claimOf("1", "d"), claimOf("2", "d")},
			map[string]Status{"1": Released, "2": Won}, 0},
		{"run claim is not released", []Record{claimOf("1", "d"), outcomeOf("1", 200), releaseOf("1"), claimOf("2", "d")},
			map[string]Status{"1": Won, "2": Lost}, 200},
		{"unknown kind has no effect", []Record{{Schema: 9, Kind: "later", Key: key, Claim: "1"}, claimOf("2", "d")},
			map[string]Status{"1": Absent, "2": Won}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := NewState(5)
			for i, r := range test.log {
				assert.Assert(t, f.Apply(int64(5+i), Batch{Records: []Record{r}}))
			}
			for id, want := range test.want {
				assert.Equal(t, f.Status(key, id), want, id)
			}
			holder, _ := f.Holder(key)
			if test.outcome > 0 {
				assert.Equal(t, holder.Outcome.Status, test.outcome)
			} else {
				assert.Assert(t, holder.Outcome == nil)
			}
		})
	}
}

// A record delivered twice or after a gap must not change the fold, because the
// order of the log decides.
func TestFoldTakesOnlyTheNextOffset(t *testing.T) {
	f := NewState(5)
	for _, offset := range []int64{4, 6, 100} {
		assert.Assert(t, !f.Apply(offset, Batch{Records: []Record{claimOf("1", "d")}}))
	}
	assert.Equal(t, f.Keys(), 0)
	f.Trim(100)
	assert.Assert(t, f.Apply(100, Batch{Records: []Record{claimOf("1", "d")}}))
}

func drawRecord(t *rapid.T) Record {
	id := fmt.Sprint(rapid.IntRange(1, 6).Draw(t, "claim"))
	r := []Record{claimOf(id, "d"), claimOf(id, "d"), outcomeOf(id, 200), releaseOf(id), claimOf("x"+id, "e")}[rapid.IntRange(0, 4).Draw(t, "kind")]
	r.Key.Value = rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
	return r
}

// A process that started late must see the same holders as one that has run for
// long and forgot the expired records; otherwise both let a call run.
func TestTrimmedFoldEqualsFreshFold(t *testing.T) {
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

// Encoding must keep everything that the fold judges, and a damaged record must give an error.
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

// Only a well-formed version 7 key carries a time; misreading another key would refuse it wrongly.
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

func appended(t *testing.T, actions []Action) Record {
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

// A claim whose append was not answered must run when the log shows it, be
// appended again when it does not, and never run once the caller was told "no".
func TestMachineLostAppend(t *testing.T) {
	f := NewState(0)
	m := NewMachine(newCall("1", config.RefuseDuringOutage), f)
	r := appended(t, m.Start(start, true))
	assert.Assert(t, m.AppendUnconfirmed(start.Add(time.Second)) == nil)
	next, ok := m.NextTick()
	assert.Assert(t, ok && next.Equal(start.Add(time.Second+appendPause)))
	assert.DeepEqual(t, appended(t, m.Tick(next)), r)
	f.Apply(0, Batch{Records: []Record{r, r}})
	assert.DeepEqual(t, m.StateAdvanced(next), []Action{Run{Claimed: true}})

	late := NewMachine(newCall("2", config.RefuseDuringOutage), NewState(0))
	late.Start(start, true)
	actions := late.Tick(start.Add(5 * time.Second))
	assert.DeepEqual(t, refusal(t, actions), Refuse{Code: CodeLogUnavailable, Executed: attempt.ExecutedNo, RetryAfter: 2 * time.Second})
	assert.Equal(t, appended(t, actions).Kind, KindRelease)
	late.fold.Apply(0, Batch{Records: []Record{claimOf("2", "d")}})
	assert.Assert(t, late.StateAdvanced(start.Add(6*time.Second)) == nil)
	assert.Assert(t, late.Done())
}

// The owner of a claim that was paused past its deadline must not run it.
func TestMachineResumesTooLate(t *testing.T) {
	m := NewMachine(newCall("1", config.RefuseDuringOutage), NewState(0))
	r := appended(t, m.Start(start, true))
	m.fold.Apply(0, Batch{Records: []Record{r}})
	assert.Equal(t, refusal(t, m.StateAdvanced(start.Add(10*time.Hour))).Executed, attempt.ExecutedNo)
}

// During an outage the configuration decides; only the second policy may run.
func TestMachineOutage(t *testing.T) {
	m := NewMachine(newCall("1", config.RefuseDuringOutage), NewState(0))
	assert.Equal(t, refusal(t, m.Start(start, false)).Code, CodeLogUnavailable)
	m = NewMachine(newCall("1", config.RunDuringOutage), NewState(0))
	m.Start(start, true)
	assert.DeepEqual(t, m.LogUnavailable(start), []Action{Run{}})
}

// A call with a key that is held must get the first outcome, an honest "unknown",
// or a refusal, and never run.
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
			known := NewState(0)
			known.Apply(0, Batch{Records: test.log})
			call := newCall("1", config.RefuseDuringOutage)
			call.Deadline = start.Add(24 * time.Hour)
			m := NewMachine(call, known)
			assert.DeepEqual(t, m.Start(start.Add(test.after), true), []Action{test.want})

			unseen := NewMachine(call, NewState(0))
			unseen.Start(start.Add(test.after), true)
			unseen.fold.Apply(0, Batch{Records: append(test.log, claimOf("1", "d"))})
			assert.DeepEqual(t, unseen.StateAdvanced(start.Add(test.after)), []Action{test.want})
		})
	}
}

// A version 7 key must be refused by its own time, since its record may have left the log.
func TestMachineKeyTime(t *testing.T) {
	for after, want := range map[time.Duration]Code{2 * time.Hour: CodeKeyExpired, -2 * time.Minute: CodeInvalidRequest} {
		call := newCall("1", config.RefuseDuringOutage)
		call.Key.Value = "018bcfe5-6800-7000-8000-000000000000"
		assert.Equal(t, refusal(t, NewMachine(call, NewState(0)).Start(start.Add(after), true)).Code, want)
	}
}

// A call that was certainly not run must leave the key free; one that may have run must not.
func TestMachineRecordsEnd(t *testing.T) {
	for executed, want := range map[attempt.Executed]Kind{
		attempt.ExecutedNo: KindRelease, attempt.ExecutedYes: KindOutcome, attempt.ExecutedUnknown: KindOutcome,
	} {
		m := NewMachine(newCall("1", config.RefuseDuringOutage), NewState(0))
		m.fold.Apply(0, Batch{Records: []Record{appended(t, m.Start(start, true))}})
		m.StateAdvanced(start)
		r := appended(t, m.RunEnded(start, Outcome{Executed: executed, Body: make([]byte, MaxStoredBody+1)}))
		assert.Equal(t, r.Kind, want)
		assert.Assert(t, r.Outcome == nil || r.Outcome.BodyDropped)
		assert.Assert(t, m.RunEnded(start, Outcome{}) == nil)
	}
}
