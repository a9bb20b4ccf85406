package relay

import (
	"cmp"
	"slices"
	"time"

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

// differ reports whether requests on routes of some ranks can have different places.
func (o rankOrder) differ(routeRanks map[int]bool) bool {
	places := 0
	for pair := range o {
		if routeRanks[pair.route] {
			places++
		}
	}
	return places > 1
}

// streamRanks is what the ranks of a configuration's stream routes say of waiting.
type streamRanks struct {
	// differ is set if streams can have different ranks, whatever their models, which
	// wait for paths of their own. differByModel tells it for each model.
	differ        bool
	differByModel map[string]bool
	// lessUrgentTarget is the longest target for a first event among the routes that are
	// less urgent than those of a rank.
	lessUrgentTarget map[int]time.Duration
}

func newStreamRanks(doc *config.Document, order rankOrder) streamRanks {
	all, byModel, targets := map[int]bool{}, map[string]map[int]bool{}, map[int]time.Duration{}
	for i := range doc.Routes {
		route := &doc.Routes[i]
		if route.CallKind != config.CallStream {
			continue
		}
		all[route.Rank] = true
		targets[route.Rank] = max(targets[route.Rank], firstEventTarget(route))
		for _, target := range route.Targets {
			if byModel[target.Backend] == nil {
				byModel[target.Backend] = map[int]bool{}
			}
			byModel[target.Backend][route.Rank] = true
		}
	}
	r := streamRanks{differ: order.differ(all), differByModel: map[string]bool{}, lessUrgentTarget: map[int]time.Duration{}}
	for model, ranks := range byModel {
		r.differByModel[model] = order.differ(ranks)
	}
	for rank := range all {
		for other, target := range targets {
			if other > rank {
				r.lessUrgentTarget[rank] = max(r.lessUrgentTarget[rank], target)
			}
		}
	}
	return r
}

// ranked reports whether some streams of a model go before others.
func (r *revision) ranked(model string) bool { return r.streamRanks.differByModel[model] }

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
