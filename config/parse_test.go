package config

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func mustParse(t testing.TB, text []byte) *Document {
	t.Helper()
	doc, findings := Parse("test.yaml", text)
	assert.NilError(t, findings.Err())
	return doc
}

// Guards against invalid examples, and against a Marshal whose output Parse
// turns into a different document.
func TestExamplesRoundTripThroughMarshal(t *testing.T) {
	assert.Equal(t, len(Examples()), 2)
	for name, text := range Examples() {
		doc := mustParse(t, text)
		again, err := doc.Marshal()
		assert.NilError(t, err, name)
		assert.DeepEqual(t, doc, mustParse(t, again))
		assert.Equal(t, doc.Digest(), mustParse(t, again).Digest())
	}
}

const invalidDocument = `schema: 1
regions:
  - name: r
    zones: [a, a]
accelerators:
  - {kind: k, memory_bytes: many, layer_tokens_per_second: .nan}
services:
  - name: v1
    timeout: 30
    retries: 3
servers:
  - {id: s1, zone: b, service: nowhere}
  - {id: s1, zone: a}
teams:
  - name: t
    key_hashes: [abc]
    weight: 0
    weight: 2
`

// Guards against reporting only the first problem, and against positions that
// do not point at the member.
func TestParseReportsAllFindingsWithPositions(t *testing.T) {
	_, findings := Parse("f.yaml", []byte(invalidDocument))
	want := []string{
		`f.yaml:4:16: regions[0].zones[1]: "a" is already used at regions[0].zones[0]`,
		`f.yaml:6:29: accelerators[0].memory_bytes: "many" is not allowed; must be a whole number`,
		`f.yaml:6:60: accelerators[0].layer_tokens_per_second: ".nan" is not allowed; must be a finite number`,
		`f.yaml:8:11: services[0].name: "v1" is a path of the callers' interface; choose another name`,
		`f.yaml:9:14: services[0].timeout: "30" is not allowed; must be a duration with a unit, such as "30s" or "250us"`,
		`f.yaml:10:5: services[0].retries: unknown member; the members here are name, idempotent, timeout, key_window, on_log_outage, max_body_bytes, max_connections`,
		`f.yaml:12:20: servers[0].zone: there is no availability zone "b"`,
		`f.yaml:12:32: servers[0].service: there is no service "nowhere"`,
		`f.yaml:13:5: servers[1]: must name a model or a service`,
		`f.yaml:13:10: servers[1].id: "s1" is already used at servers[0].id`,
		`f.yaml:16:18: teams[0].key_hashes[0]: must be the SHA-256 hash of a key as 64 lower-case hexadecimal digits`,
		`f.yaml:18:5: teams[0].weight: member is given twice`,
	}
	assert.Equal(t, findings.Err().Error(), strings.Join(want, "\n"))
}

// Guards against decoding a text that is not a single YAML mapping.
func TestParseRejectsInvalidTexts(t *testing.T) {
	for text, want := range map[string]string{
		"":                      "x:1:1: the document is empty",
		"[1]":                   "x:1:1: the document must be a mapping of members",
		"schema: 1\n--- \na: 1": "x:2:1: the text holds a second YAML document; one is allowed",
		"schema: 1\n\tb: 2":     "x:2:1: invalid YAML: found a tab character that violates indentation",
	} {
		_, findings := Parse("x", []byte(text))
		assert.ErrorContains(t, findings.Err(), want)
	}
}

// Guards against a member that lacks its documented default.
func TestParseFillsInDefaults(t *testing.T) {
	doc, _ := Parse("x", []byte("services: [{name: s}]\nteams: [{name: t}]\nservers: [{id: e, model: m}]"))
	assert.DeepEqual(t, doc.Services[0], Service{Name: "s", Timeout: 30 * time.Second, IdempotencyKeyTTL: 24 * time.Hour, OnLogOutage: RefuseDuringOutage, MaxBodyBytes: 1 << 20})
	assert.DeepEqual(t, doc.Teams[0], Team{Name: "t", Weight: 1})
	assert.Equal(t, doc.Servers[0].Fencing, FencingIgnores)
}

// Guards against a digest that depends on the order of entries, or that does
// not depend on a value.
func TestDigestIgnoresOrderOfEntriesOnly(t *testing.T) {
	doc := mustParse(t, Examples()["orderbook.yaml"])
	rapid.Check(t, func(t *rapid.T) {
		shuffled := *doc
		shuffled.Teams = rapid.Permutation(doc.Teams).Draw(t, "teams")
		shuffled.Links = rapid.Permutation(doc.Links).Draw(t, "links")
		assert.Equal(t, shuffled.Digest(), doc.Digest())
		shuffled.Teams[0].Weight += 0.5
		assert.Assert(t, shuffled.Digest() != doc.Digest())
	})
}

// Guards against texts on which Parse fails without a finding or panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(invalidDocument))
	f.Add([]byte("a: &a [*a]"))
	for _, text := range Examples() {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, findings := Parse("fuzz", text)
		if doc == nil && len(findings) == 0 {
			t.Fatal("neither a document nor a finding")
		}
		if len(findings) == 0 {
			_ = doc.Digest()
		}
	})
}
