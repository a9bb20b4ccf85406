package relay

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// Guards against a team's rank that hides the ranks of routes: where all teams state
// the same rank, all kinds of streams would be equal.
func TestRouteRankOrdersStreamsOfTeamsWithTheSameRank(t *testing.T) {
	target := []config.RouteTarget{{Backend: "llm"}}
	document := &config.Document{
		Teams:  []config.Team{{Name: "a"}, {Name: "b"}},
		Routes: []config.Route{{Targets: target, CallKind: config.CallStream, Rank: 2}, {Targets: target, CallKind: config.CallStream}},
	}
	same := newRevision(Configuration{Document: document, TeamRanks: map[string]int{"a": 1, "b": 1}})
	assert.Assert(t, same.streamRank("llm", 1, 0) < same.streamRank("llm", 1, 2))

	urgent := newRevision(Configuration{Document: document, TeamRanks: map[string]int{"a": 1}})
	// Team b states no rank, so its streams have those of the routes, 0 and 2.
	assert.Assert(t, slices.Equal(urgent.precedences["llm"], []precedence{{0, 0}, {1, 0}, {1, 2}, {2, 2}}))

	document.Routes[0].Rank = 0
	one := newRevision(Configuration{Document: document, TeamRanks: map[string]int{"a": 1, "b": 1}})
	assert.Assert(t, !one.ranked("llm"))
	assert.Equal(t, one.streamRank("llm", 1, 0), 1)
}
