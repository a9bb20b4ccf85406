package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// Guards against routes whose ranks have no effect because all teams state the same
// rank, and against a route that lifts a team above a more urgent one.
func TestRoutesOrderRequestsOfTeamsWithOneRank(t *testing.T) {
	urgent, usual, low := &config.Route{Name: "urgent"}, &config.Route{Name: "usual", Rank: 1}, &config.Route{Name: "low", Rank: 2}
	first, second, unranked := &config.Team{Name: "first"}, &config.Team{Name: "second"}, &config.Team{Name: "unranked"}
	rev := newRevision(Configuration{
		Document: &config.Document{
			Routes: []config.Route{*urgent, *usual, *low}, Teams: []config.Team{*first, *second},
		},
		TeamRanks: map[string]int{"first": 0, "second": 4},
	})
	var ranks []int
	for _, team := range []*config.Team{first, second} {
		for _, route := range []*config.Route{urgent, usual, low} {
			ranks = append(ranks, rev.rank(route, team))
		}
	}
	assert.DeepEqual(t, ranks, []int{0, 1, 2, 3, 4, 5})

	rev = newRevision(Configuration{Document: &config.Document{
		Routes: []config.Route{*urgent, *low}, Teams: []config.Team{*unranked},
	}})
	assert.Equal(t, rev.rank(urgent, unranked), 0)
	assert.Equal(t, rev.rank(low, unranked), 1)
	assert.Equal(t, rev.rank(low, nil), 1)
}

// Guards against requests that reach servers with the rank of their team or route alone.
func TestRequestGetsPlaceOfItsRanks(t *testing.T) {
	b := newBackend(t, respond(200, "answer"))
	route := unaryRoute(config.CallIdempotent)
	route.Rank = 2
	e := newTestEntry(t, route, b)
	c := e.current.Load().Configuration
	urgent := route
	urgent.Name, urgent.PathPrefix, urgent.Rank = "urgent", "/urgent/", 1
	c.Document.Routes = append(c.Document.Routes, urgent)
	c.TeamRanks = map[string]int{"team": 5}
	e.current.Store(newRevision(c))
	_, _, err := e.send(t, http.MethodGet)
	assert.NilError(t, err)
	assert.Equal(t, b.requests[0].Header.Get("Rank"), "1")
}
