package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/config/configtest"
)

// applyRandomEdit makes a random change after which the document is still valid.
func applyRandomEdit(t *rapid.T, doc *config.Document) {
	switch rapid.IntRange(0, 5).Draw(t, "edit") {
	case 0:
		i := rapid.IntRange(0, len(doc.Teams)-1).Draw(t, "team")
		doc.Teams[i].Weight += 1
		doc.Teams[i].Models = nil
	case 1:
		team := config.NewTeam()
		team.Name = fmt.Sprintf("new-%d-%d", len(doc.Teams), rapid.Uint32().Draw(t, "name"))
		doc.Teams = append(doc.Teams, team)
	case 2:
		i := rapid.IntRange(0, len(doc.Servers)-1).Draw(t, "server")
		doc.Servers = append(doc.Servers[:i:i], doc.Servers[i+1:]...)
	case 3:
		i := rapid.IntRange(0, len(doc.Links)-1).Draw(t, "link")
		doc.Links[i].Latency += time.Microsecond
	case 4:
		doc.Services[0].Idempotent = []config.CallRule{{Method: "PUT", PathPrefix: fmt.Sprint("/", rapid.Byte().Draw(t, "prefix"))}}
	case 5:
		doc.Models[0].ServingVersion = "v2"
	}
}

// Guards against a patch that does not produce the new document, that modifies
// the old one, or that is changed by encoding to JSON and back.
func TestApplyOfDiffGivesNewDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := configtest.Document(46)
		digest := old.Digest()
		changed := old.Canonical()
		for range rapid.IntRange(0, 6).Draw(t, "edits") {
			applyRandomEdit(t, changed)
		}
		patch, err := config.Diff(old, changed)
		assert.NilError(t, err)
		text, err := json.Marshal(patch)
		assert.NilError(t, err)
		var decoded config.Patch
		assert.NilError(t, json.Unmarshal(text, &decoded))
		result, err := config.Apply(old, decoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, result, changed.Canonical())
		assert.Equal(t, result.Digest(), changed.Digest())
		assert.Equal(t, old.Digest(), digest)
		assert.NilError(t, result.Validate().Err())
		remaining, err := config.Diff(result, changed)
		assert.NilError(t, err)
		assert.Equal(t, len(remaining), 0)
	})
}

// Guards against applying a patch to a document that it was not made for.
func TestApplyRejectsMismatchedPatches(t *testing.T) {
	old := configtest.Document(46)
	for want, op := range map[string]config.Op{
		"there is no such entry":  {Section: "teams", Entry: "nobody", Member: "weight", Value: json.RawMessage("2")},
		"the entry exists":        {Section: "teams", Entry: "team-0001", Value: json.RawMessage(`{"name":"team-0001"}`)},
		"unknown section":         {Section: "tenants", Entry: "x", Remove: true},
		"unknown member":          {Section: "teams", Entry: "team-0001", Member: "wieght", Value: json.RawMessage("2")},
		"name cannot change":      {Section: "teams", Entry: "team-0001", Member: "name", Value: json.RawMessage(`"x"`)},
		`value is named "y"`:      {Section: "teams", Entry: "x", Value: json.RawMessage(`{"name":"y"}`)},
		"unknown field":           {Section: "teams", Entry: "x", Value: json.RawMessage(`{"name":"x","z":1}`)},
		"text after the JSON":     {Section: "teams", Entry: "team-0001", Member: "weight", Value: json.RawMessage("2 3")},
		"value: EOF":              {Section: "teams", Entry: "team-0001", Member: "weight"},
		"teams/team-0001/weight:": {Section: "teams", Entry: "team-0001", Member: "weight", Value: json.RawMessage(`"a"`)},
	} {
		_, err := config.Apply(old, config.Patch{op})
		assert.ErrorContains(t, err, want)
	}
}

// Guards against diffing a document with a duplicate name, in which a name does
// not identify an entry.
func TestDiffRejectsDuplicateNames(t *testing.T) {
	old := configtest.Document(46)
	duplicated := old.Canonical()
	duplicated.Teams = append(duplicated.Teams, duplicated.Teams[0])
	_, err := config.Diff(old, duplicated)
	assert.ErrorContains(t, err, "teams: an entry's name is used twice")
}

// Guards against a summary that omits a change or contains whole key hashes.
func TestSummaryListsEachChange(t *testing.T) {
	old := configtest.Document(46)
	changed := old.Canonical()
	changed.Teams[3].Weight = 7.5
	changed.Teams[4].KeyHashes = nil
	changed.Services[0].Timeout = time.Minute
	changed.Servers = changed.Servers[1:]
	lines, err := config.Summary(old, changed)
	assert.NilError(t, err)
	assert.DeepEqual(t, lines, []string{
		"services: orders: timeout: 30s -> 1m0s",
		"servers: removed engine-0000",
		"teams: team-0003: weight: 4 -> 7.5",
		"teams: team-0004: key_hashes: [5ef4f0c3...] -> []",
	})
}

// BenchmarkChange reports the size of a patch that changes one team, changes one
// engine or adds a team, and the size of the whole document.
func BenchmarkChange(b *testing.B) {
	for _, teams := range configtest.TeamCounts {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			old := configtest.Document(teams)
			changed := old.Canonical()
			random := rand.New(rand.NewPCG(1, 2))
			changed.Teams[random.IntN(teams)].Weight = 9.5
			team := patchBytes(b, old, changed)
			changed = old.Canonical()
			changed.Servers[random.IntN(len(changed.Servers))].Zone = "region-0-a"
			engine := patchBytes(b, old, changed)
			changed = old.Canonical()
			changed.Teams = changed.Teams[1:]
			added := patchBytes(b, changed, old)
			whole, err := json.Marshal(old)
			assert.NilError(b, err)
			for b.Loop() {
				patchBytes(b, old, changed)
			}
			b.ReportMetric(float64(team), "team-bytes")
			b.ReportMetric(float64(engine), "engine-bytes")
			b.ReportMetric(float64(added), "new-team-bytes")
			b.ReportMetric(float64(len(whole)), "document-bytes")
		})
	}
}

func patchBytes(b *testing.B, old, changed *config.Document) int {
	patch, err := config.Diff(old, changed)
	assert.NilError(b, err)
	text, err := json.Marshal(patch)
	assert.NilError(b, err)
	return len(text)
}

func BenchmarkValidate(b *testing.B) {
	for _, teams := range configtest.TeamCounts {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			doc := configtest.Document(teams)
			for b.Loop() {
				assert.Equal(b, len(doc.Validate()), 0)
			}
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, teams := range configtest.TeamCounts {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			doc := configtest.Document(teams)
			for b.Loop() {
				doc.Digest()
			}
		})
	}
}
