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
	unstated := false
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

// rank returns the place of a request in the order of urgency; team is nil for a
// request without a key.
func (r *revision) rank(route *config.Route, team *config.Team) int {
	pair := rankPair{route.Rank, route.Rank}
	if team != nil {
		if rank, stated := r.TeamRanks[team.Name]; stated {
			pair.team = rank
		}
	}
	return r.ranks[pair]
}

// rankedModels returns the models whose streams can have different ranks.
func (o rankOrder) rankedModels(doc *config.Document) map[string]bool {
	routeRanks := map[string]map[int]bool{}
	for _, route := range doc.Routes {
		if route.CallKind != config.CallStream {
			continue
		}
		for _, target := range route.Targets {
			if routeRanks[target.Backend] == nil {
				routeRanks[target.Backend] = map[int]bool{}
			}
			routeRanks[target.Backend][route.Rank] = true
		}
	}
	ranked := map[string]bool{}
	for model, ranks := range routeRanks {
		pairs := 0
		for pair := range o {
			if ranks[pair.route] {
				pairs++
			}
		}
		ranked[model] = pairs > 1
	}
	return ranked
}

// ranked reports whether some streams of a model go before others.
func (r *revision) ranked(model string) bool { return r.rankedModels[model] }
