package config

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

const (
	maxHostBytes = 253
	maxPathBytes = 1024
	maxRank      = 1000
	maxAttempts  = 100
)

// String formats the target as "backend weight", as the console shows it.
func (t RouteTarget) String() string { return fmt.Sprintf("%s %s", t.Backend, formatNumber(t.Weight)) }

func (c *checker) routes() {
	seen, matches := firstUses{}, firstUses{}
	for i, r := range c.doc.Routes {
		path := entryPath("routes", i)
		c.uniqueName(seen, path.field("name"), r.Name)
		c.routeMatch(path, r)
		c.unique(matches, path, r.Host+r.PathPrefix)
		c.targets(path.field("targets"), r.Targets)
		oneOf(c, path.field("call"), r.CallKind, CallIdempotent, CallAtMostOnce, CallStream)
		if r.Resumable && r.CallKind != CallStream {
			c.add(path.field("resumable"), "applies to streams only")
		}
		c.duration(path.field("timeout"), r.Timeout, minTimeout, maxTimeout)
		c.duration(path.field("target_latency"), r.TargetLatency, 0, maxThreshold)
		c.duration(path.field("target_pause"), r.TargetEventInterval, 0, maxThreshold)
		c.integer(path.field("rank"), int64(r.Rank), 0, maxRank)
		c.integer(path.field("max_attempts"), int64(r.MaxAttempts), 1, maxAttempts)
	}
}

// routeMatch checks the host and path prefix that select a route's requests.
func (c *checker) routeMatch(path docPath, r Route) {
	if r.Host == "" || len(r.Host) > maxHostBytes {
		c.add(path.field("host"), "must have 1 to %d bytes", maxHostBytes)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathBytes {
		c.add(path.field("path_prefix"), "%q must start and end with '/' and have at most %d bytes", r.PathPrefix, maxPathBytes)
	}
}

func (c *checker) targets(path docPath, targets []RouteTarget) {
	if len(targets) == 0 {
		c.add(path, "must name at least one model or service")
	}
	seen := firstUses{}
	for i, t := range targets {
		elemPath := path.elem(i)
		c.reference(elemPath.field("backend"), "model or service", t.Backend, c.modelByName[t.Backend] != nil || c.serviceNames[t.Backend])
		c.unique(seen, elemPath, t.Backend)
		c.number(elemPath.field("weight"), t.Weight, 0, maxWeight)
	}
}

// RouteTable looks up the route of a request. It is immutable.
type RouteTable struct {
	// byHost lists the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// NewRouteTable returns a table of all routes in doc.
func NewRouteTable(doc *Document) *RouteTable {
	table := &RouteTable{byHost: map[string][]*Route{}}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		table.byHost[r.Host] = append(table.byHost[r.Host], r)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return table
}

// Find returns the host's route with the longest prefix of path, or nil if none
// matches. A port in host is ignored.
func (t *RouteTable) Find(host, path string) *Route {
	routes, known := t.byHost[host]
	if !known {
		name, _, _ := strings.Cut(host, ":")
		routes = t.byHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// PickTarget returns the backend of the target that point, in [0, 1), selects
// when the weights divide that interval among the targets.
func (r *Route) PickTarget(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Backend
		}
		remaining -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Backend
}

// EffectiveTimeout returns the maximum duration of a request: the route's
// timeout, or the client's own limit if it is shorter.
func (r *Route) EffectiveTimeout(clientLimit time.Duration) time.Duration {
	if clientLimit > 0 && (r.Timeout <= 0 || clientLimit < r.Timeout) {
		return clientLimit
	}
	return r.Timeout
}
