package relay

import (
	"cmp"
	"slices"

	"github.com/sapphirefield/sapphirefield/config"
)

// rankPair holds the two ranks that order a request. A team that states no rank has
// that of the route.
type rankPair struct{ team, route int }

// rankOrder numbers the pairs of ranks that occur in a configuration by urgency, from
// 0 without gaps. The team's rank comes first; the route's decides between
// requests of teams of the same rank, because most teams share one rank and use
// routes of all kinds.
type rankOrder map[rankPair]int

func newRankOrder(doc *config.Document, teamRanks map[string]int) rankOrder {
	stated := map[int]bool{}
	unstated := len(doc.Teams) == 0
	for _, team := range doc.Teams {
		rank, ok := teamRanks[team.Name]
		if ok {
			stated[rank] = true
		}
		unstated = unstated || !ok
	}
	order := rankOrder{}
	for _, route := range doc.Routes {
		if unstated || route.Anonymous {
			order[rankPair{route.Rank, route.Rank}] = 0
		}
		for rank := range stated {
			order[rankPair{rank, route.Rank}] = 0
		}
	}
	order.number()
	return order
}

func (o rankOrder) number() {
	pairs := make([]rankPair, 0, len(o))
	for p := range o {
		pairs = append(pairs, p)
	}
	slices.SortFunc(pairs, func(a, b rankPair) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route))
	})
	for i, p := range pairs {
		o[p] = i
	}
}

// streamRanksDiffer reports whether streams of different ranks can come.
func (o rankOrder) streamRanksDiffer(doc *config.Document) bool {
	routes := map[int]bool{}
	for _, route := range doc.Routes {
		if route.CallKind == config.CallStream {
			routes[route.Rank] = true
		}
	}
	places := 0
	for pair := range o {
		if routes[pair.route] {
			places++
		}
	}
	return places > 1
}

// rank returns the place of a request in the order of urgency; team is nil for a
// request without a key.
func (r *revision) rank(route *config.Route, team *config.Team) int {
	pair := rankPair{route.Rank, route.Rank}
	if team != nil {
		if rank, stated := r.TeamRanks[team.Name]; stated {
			pair.team = rank
		}
	}
	if place, known := r.ranks[pair]; known {
		return place
	}
	return len(r.ranks)
}
