package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/claim"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/config/configtest"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// start is an arbitrary time; decisions only depend on time differences.
var start = time.Unix(1_700_000_000, 0)

// Sizes at the target scale.
const (
	targetTeams     = 4600
	targetInstances = 3100
	// targetAttempts is the attempts per engine with 57,000 streams of eight stages on 3,100 engines.
	targetAttempts = 147
	// targetConnectedSidecars is the number of sidecars that one entry connects to.
	targetConnectedSidecars = 62
	// targetKeys is the number of idempotency keys after one day in which one request in a hundred has a key.
	targetKeys = 1_000_000
)

var (
	teamSizes     = []int{46, 460, 4600}
	instanceSizes = []int{40, 400, 3100}
)

func benchmarks() []benchmark {
	return []benchmark{
		{"configuration document", "teams", "digest", teamSizes, buildDocument, targetTeams},
		{"configuration change", "teams", "diff and apply of one team", teamSizes, buildChange, targetTeams},
		{"instance view", "instances", "fold of the whole list", instanceSizes, buildViewUpdate, targetInstances},
		{"instance view", "instances", "heartbeat", instanceSizes, buildHeartbeat, targetInstances},
		{"chain choice", "stages", "choose and done", []int{40, 400, 3100}, buildChooser, targetConnectedSidecars},
		{"admission", "teams", "offer and done", teamSizes, buildAdmission, targetTeams},
		{"claims", "keys", "claim and outcome", []int{1000, 10000, 100000}, buildClaims, targetKeys},
		{"step gate and ledger", "attempts", "one step", []int{10, 100, 1000}, buildGate, targetAttempts},
	}
}

func buildDocument(teams int) func(int) {
	doc := configtest.Document(teams)
	return func(int) { doc.Digest() }
}

func buildChange(teams int) func(int) {
	old := configtest.Document(teams)
	changed := configtest.Document(teams)
	changed.Teams[teams/2].Weight = 7
	return func(int) {
		patch, err := config.Diff(old, changed)
		if err != nil {
			panic(err)
		}
		if _, err := config.Apply(old, patch); err != nil {
			panic(err)
		}
	}
}

func makeInstances(n int) []membership.Instance {
	list := make([]membership.Instance, n)
	for i := range list {
		list[i] = membership.Instance{
			ID: fmt.Sprintf("engine-%04d", i), Service: fmt.Sprintf("model-%d", i%9),
			Zone: fmt.Sprintf("zone-%d", i%14), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		}
	}
	return list
}

func buildViewUpdate(n int) func(int) {
	list := makeInstances(n)
	view := membership.New(membership.DefaultOptions())
	return func(i int) { view.ObserveList(start.Add(time.Duration(i)*time.Second), list) }
}

func buildHeartbeat(n int) func(int) {
	list := makeInstances(n)
	view := membership.New(membership.DefaultOptions())
	view.ObserveList(start, list)
	return func(i int) {
		view.Observe(start.Add(time.Duration(i)*time.Millisecond), list[i%n].ID, membership.Heartbeat)
	}
}

// chainStages is the number of layer ranges into which the model is split.
const chainStages = 8

func buildChooser(n int) func(int) {
	const layers = 80
	chooser := pipeline.NewChooser(pipeline.ChooserOptions{Layers: layers, ActivationBytes: 16 << 10})
	stages := make([]pipeline.Stage, n)
	for i := range stages {
		rangeIndex := i % chainStages
		stages[i] = pipeline.Stage{
			Instance: fmt.Sprintf("engine-%04d", i), Address: "10.0.0.1:7000", Zone: fmt.Sprintf("zone-%d", i%14),
			First: rangeIndex * layers / chainStages, Limit: (rangeIndex + 1) * layers / chainStages, Weight: 600,
		}
	}
	chooser.Update(1, stages)
	return func(i int) {
		req := pipeline.Request{At: start.Add(time.Duration(i) * time.Millisecond), Zone: "zone-1", PromptTokens: 500, OutputTokens: 224}
		chain, err := chooser.Choose(req, nil)
		if err != nil {
			panic(err)
		}
		chooser.Done(chain)
	}
}

func buildAdmission(teams int) func(int) {
	controller := admission.New(admission.DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
	controller.SetCapacity(start, admission.Capacity{Units: 57000, Entries: 400})
	operation := func(i int) {
		at := start.Add(time.Duration(i) * time.Millisecond)
		id := fmt.Sprint("r", i)
		controller.Offer(at, admission.Request{
			ID: id, Team: fmt.Sprint("team-", i%teams), Weight: 1, Cost: 1, RatePerSecond: 1000, Deadline: at.Add(time.Second),
		})
		controller.Done(at, id, admission.Outcome{Result: admission.Completed, TimeToFirstToken: 100 * time.Millisecond})
		controller.Tick(at)
	}
	for i := range teams {
		operation(i)
	}
	return func(i int) { operation(teams + i) }
}

func buildClaims(keys int) func(int) {
	state := claim.NewState(0)
	operation := func(i int) {
		key := claim.Key{Team: "team", Service: "orders", Value: fmt.Sprintf("0190b0c0-0000-7000-8000-%012d", i)}
		id := fmt.Sprint("entry-1-", i)
		outcome := &claim.Outcome{Executed: attempt.ExecutedYes, Status: 201, ContentType: "application/json", Body: make([]byte, 200)}
		state.Apply(state.NextOffset(), claim.Batch{Records: []claim.Record{
			{Schema: claim.SchemaVersion, Kind: claim.KindClaim, Key: key, Claim: id, Digest: "d", At: start},
			{Schema: claim.SchemaVersion, Kind: claim.KindOutcome, Key: key, Claim: id, Outcome: outcome},
		}})
	}
	for i := range keys {
		operation(i)
	}
	return func(i int) {
		operation(keys + i)
		// Old records expire at the rate at which new ones arrive, so the size stays constant.
		state.Trim(state.NextOffset() - int64(keys))
	}
}

func buildGate(n int) func(int) {
	gate := pipeline.NewStepGate()
	ledger := attempt.NewLedger("incarnation")
	names := make([]string, n)
	next := make([]uint32, n)
	result := make([]byte, 16<<10)
	for i := range names {
		names[i] = fmt.Sprintf("0123456789abcdef-%08d", i)
		gate.Open(names[i], 1, 0)
		ledger.Open(attempt.Key{Request: names[i], Number: 1}, "incarnation")
	}
	return func(i int) {
		r := i % n
		key := pipeline.StepKey{Request: names[r], Attempt: 1, Index: next[r]}
		if verdict, _ := gate.Offer(key); verdict != pipeline.StepRun {
			panic("the step was not accepted")
		}
		ledger.Begin(attempt.Key{Request: names[r], Number: 1})
		gate.Done(key, result)
		next[r]++
	}
}
