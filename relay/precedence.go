package relay

import (
	"cmp"
	"slices"

	"github.com/sapphirefield/sapphirefield/config"
)

// precedence orders the streams of a model. The rank that a team states goes before
// the rank of the route, which still orders the requests of teams with the same rank.
type precedence struct {
	rank, routeRank int
}

func (p precedence) compare(o precedence) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(p.routeRank, o.routeRank))
}

// precedences returns the precedences that the streams of each backend can have, in
// their order.
func precedences(c Configuration) map[string][]precedence {
	stated := map[int]bool{}
	unstated := len(c.Document.Teams) == 0
	for _, t := range c.Document.Teams {
		if rank, ok := c.TeamRanks[t.Name]; ok {
			stated[rank] = true
		} else {
			unstated = true
		}
	}
	all := map[string][]precedence{}
	for i := range c.Document.Routes {
		route := &c.Document.Routes[i]
		if route.CallKind != config.CallStream {
			continue
		}
		for _, t := range route.Targets {
			for rank := range stated {
				all[t.Backend] = append(all[t.Backend], precedence{rank, route.Rank})
			}
			if unstated || route.Anonymous {
				all[t.Backend] = append(all[t.Backend], precedence{route.Rank, route.Rank})
			}
		}
	}
	for backend, p := range all {
		slices.SortFunc(p, precedence.compare)
		all[backend] = slices.Compact(p)
	}
	return all
}

// ranked reports whether some streams of a backend go before others.
func (r *revision) ranked(backend string) bool { return len(r.precedences[backend]) > 1 }

// streamRank returns the rank of a stream among all streams of its backend, given the
// rank of its team, or of its route if the team states none. With one rank only, that
// rank stays.
func (r *revision) streamRank(backend string, rank, routeRank int) int {
	if !r.ranked(backend) {
		return rank
	}
	index, _ := slices.BinarySearchFunc(r.precedences[backend], precedence{rank, routeRank}, precedence.compare)
	return index
}
