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

// String returns the form that the console shows.
func (t RouteTarget) String() string { return fmt.Sprintf("%s %s", t.Backend, plain(t.Weight)) }

func (c *checker) routes() {
	seen, places := names{}, names{}
	for i, r := range c.doc.Routes {
		path := entryPath("routes", i)
		c.newName(seen, path.in("name"), r.Name)
		c.routePlace(path, r)
		c.unique(places, path, r.Host+r.PathPrefix)
		c.targets(path.in("targets"), r.Targets)
		oneOf(c, path.in("call"), r.CallKind, CallIdempotent, CallAtMostOnce, CallStream)
		if r.Resumable && r.CallKind != CallStream {
			c.add(path.in("resumable"), "applies to streams only")
		}
		c.duration(path.in("timeout"), r.Timeout, minTimeout, maxTimeout)
		c.duration(path.in("target_latency"), r.TargetLatency, 0, maxThreshold)
		c.duration(path.in("target_pause"), r.TargetEventInterval, 0, maxThreshold)
		c.whole(path.in("rank"), int64(r.Rank), 0, maxRank)
		c.whole(path.in("max_attempts"), int64(r.MaxAttempts), 1, maxAttempts)
	}
}

func (c *checker) routePlace(path docPath, r Route) {
	if r.Host == "" || len(r.Host) > maxHostBytes {
		c.add(path.in("host"), "must have 1 to %d bytes", maxHostBytes)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathBytes {
		c.add(path.in("path_prefix"), "%q must start and end with '/' and have at most %d bytes", r.PathPrefix, maxPathBytes)
	}
}

func (c *checker) targets(path docPath, targets []RouteTarget) {
	if len(targets) == 0 {
		c.add(path, "must name at least one model or service")
	}
	seen := names{}
	for i, t := range targets {
		at := path.at(i)
		c.known(at.in("backend"), "model or service", t.Backend, c.model[t.Backend] != nil || c.serviceNames[t.Backend])
		c.unique(seen, at, t.Backend)
		c.number(at.in("weight"), t.Weight, 0, maxWeight)
	}
}

// RouteTable finds the route of a request. It is immutable.
type RouteTable struct {
	// byHost holds each host's routes, longest prefix first.
	byHost map[string][]*Route
}

// NewRouteTable returns the table of a document's routes.
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

// Find returns the route with the longest prefix of path at host, or nil. A
// port in host is ignored.
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

// PickTarget returns the target at a point in [0, 1) of the weights.
func (r *Route) PickTarget(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := point * total
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Backend
		}
		rest -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Backend
}

// EffectiveTimeout returns the time that a request may be kept: the route's timeout, or
// the caller's own limit when that is shorter.
func (r *Route) EffectiveTimeout(caller time.Duration) time.Duration {
	if caller > 0 && (r.Timeout <= 0 || caller < r.Timeout) {
		return caller
	}
	return r.Timeout
}
