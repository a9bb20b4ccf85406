package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func routeDocument() *Document {
	return &Document{
		Schema:  SchemaVersion,
		Regions: []Region{{Name: "r", Zones: []string{"a"}}},
		Services: []Service{
			{Name: "stock", Timeout: time.Second, IdempotencyKeyTTL: time.Hour, OnLogOutage: RefuseDuringOutage, MaxBodyBytes: 1},
		},
		Routes: []Route{
			{Name: "wide", Host: "shop.example", PathPrefix: "/a/", Targets: []RouteTarget{{Backend: "stock", Weight: 1}}, CallKind: CallIdempotent, Timeout: time.Second, MaxAttempts: 2},
			{Name: "narrow", Host: "shop.example", PathPrefix: "/a/b/", Targets: []RouteTarget{{Backend: "stock", Weight: 1}}, CallKind: CallAtMostOnce, Timeout: time.Second, MaxAttempts: 1},
		},
	}
}

// Guards against routing a request by a prefix that is not the longest match,
// or by one that ends inside a path segment.
func TestLongestPrefixWins(t *testing.T) {
	doc := routeDocument()
	assert.Equal(t, len(doc.Validate()), 0)
	table := NewRouteTable(doc)
	for path, want := range map[string]string{"/a/x": "wide", "/a/b/": "narrow", "/a/b/c": "narrow", "/a/bc": "wide"} {
		r := table.Find("shop.example", path)
		assert.Assert(t, r != nil, path)
		assert.Equal(t, r.Name, want, path)
	}
	assert.Assert(t, table.Find("shop.example", "/a") == nil)
	assert.Assert(t, table.Find("other.example", "/a/x") == nil)
	assert.Equal(t, table.Find("shop.example:8443", "/a/x").Name, "wide")
}

// Guards against sending requests to a target with weight 0.
func TestPickTargetFollowsWeights(t *testing.T) {
	r := Route{Targets: []RouteTarget{{"a", 90}, {"none", 0}, {"b", 10}}}
	assert.Equal(t, r.PickTarget(0), "a")
	assert.Equal(t, r.PickTarget(0.899), "a")
	assert.Equal(t, r.PickTarget(0.901), "b")
	assert.Equal(t, r.PickTarget(0.9999), "b")
	assert.Equal(t, (&Route{}).PickTarget(0.5), "")
}

// Guards against accepting routes with an unknown backend, or with resumption
// for calls that are not streams.
func TestRoutesAreChecked(t *testing.T) {
	doc := routeDocument()
	doc.Routes[0].Targets[0].Backend = "nowhere"
	doc.Routes[0].Resumable = true
	doc.Routes[1].PathPrefix = "/a"
	doc.Routes[1].MaxAttempts = 0
	findings := doc.Validate()
	paths := make([]string, len(findings))
	for i, f := range findings {
		paths[i] = f.Path
	}
	assert.DeepEqual(t, paths, []string{
		"routes[0].targets[0].backend", "routes[0].resumable", "routes[1].path_prefix", "routes[1].max_attempts",
	})
}

// Guards against a changed digest of documents without routes, which processes
// of different program versions compare.
func TestDigestWithoutRoutesIsStable(t *testing.T) {
	doc := routeDocument()
	with := doc.Digest()
	doc.Routes = nil
	without := doc.Digest()
	assert.Assert(t, with != without)
	doc.Routes = []Route{}
	assert.Equal(t, doc.Digest(), without)
}
