package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/sapphirefield/sapphirefield/condition"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/explain"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// Explain says what this entry would do with a request now. It sends, reserves and
// counts nothing.
func (e *Entry) Explain(now time.Time, q explain.Query) explain.Answer {
	a := explain.Answer{Process: e.settings.Instance, Revision: e.Revision()}
	rev := e.current.Load()
	if rev == nil {
		a.Refused = "no configuration is in force yet"
		return a
	}
	route := rev.routes.Find(q.Host, q.Path)
	if route == nil {
		a.Refused = "no route leads to this host and path"
		return a
	}
	team := rev.team(q.Team)
	a.Route, a.Rank = route.Name, rev.rank(route, team)
	switch {
	case q.Team != "" && team == nil:
		a.Refused = "the configuration has no such team"
		return a
	case team == nil && !route.Anonymous:
		a.Refused = "the route needs the key of a team"
		return a
	}
	for _, target := range route.Targets {
		t := explain.Target{Name: target.Backend, Weight: target.Weight, RetriesLeft: int(e.budget(target.Backend).Left(now))}
		if route.CallKind == config.CallStream {
			e.explainStream(now, rev, route, a.Rank, q, &t)
		} else {
			e.fleet.explainCall(now, &t)
		}
		a.Targets = append(a.Targets, t)
	}
	return a
}

// team returns the team with a name, or nil.
func (rev *revision) team(name string) *config.Team {
	i := slices.IndexFunc(rev.Document.Teams, func(t config.Team) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &rev.Document.Teams[i]
}

// explainStream explains which path a new stream would get.
func (e *Entry) explainStream(now time.Time, rev *revision, route *config.Route, rank int, q explain.Query, t *explain.Target) {
	tokens := expectedAnswerTokens(rev.models[t.Name], q.AnswerTokens, 0)
	r := pipeline.RelayRequest{PromptTokens: float64(q.PromptTokens), AnswerTokens: tokens}
	s := &streamRequest{request: &request{
		Entry: e, revision: rev, route: route, rank: rank, team: q.Team, started: now, deadline: now.Add(route.Timeout),
	}}
	terms := s.waitTerms(r.PromptTokens + r.AnswerTokens)
	mayWait := terms.StartBy().Sub(now)
	outlook := e.waitRoom(t.Name).outlook(now, rank, maxNoCapacityRetryAfter)
	t.Waiting, t.ExpectedWaitMillis = outlook.waiting, outlook.expected.Milliseconds()
	err := e.fleet.explainPath(now, rev, r, t)
	switch {
	case err == nil && outlook.waiting == 0:
		t.Decision, t.Reason = explain.Send, "the fastest path that has room"
	case outlook.expected > mayWait:
		t.Decision, t.Reason = explain.Refuse, fmt.Sprintf("others wait for a path, and it may wait for %v at most", mayWait)
	case err != nil:
		t.Decision, t.Reason = explain.Wait, fmt.Sprintf("no path has room, it may wait for %v: %v", mayWait, err)
	default:
		t.Decision, t.Reason = explain.Wait, fmt.Sprintf("a path has room, but others wait for one; it may wait for %v", mayWait)
	}
}

// explainPath sets the path that a request would get, and the engines that are not
// considered.
func (f *fleet) explainPath(now time.Time, rev *revision, r pipeline.RelayRequest, t *explain.Target) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	considered := map[string]bool{}
	for _, engine := range f.engines(now, rev, t.Name) {
		considered[engine.Name] = true
	}
	t.LeftOut = f.leftOut(now, t.Name, condition.Stage, considered)
	hops, expected, err := f.findPath(now, rev, t.Name, r)
	if err != nil {
		return err
	}
	t.ExpectedMillis = expected.Milliseconds()
	for _, h := range hops {
		t.Stages = append(t.Stages, explain.Stage{
			Server: h.Engine, Zone: h.Zone, First: h.First, Limit: h.Limit, PromptMillis: h.PromptTime.Milliseconds(),
			Load: f.inProgress(now, h.Engine).requests,
		})
	}
	return nil
}

// explainCall explains which server a call would get.
func (f *fleet) explainCall(now time.Time, t *explain.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := f.usableServers(now, t.Name, nil, maxLimitWait, func() float64 { return 0 })
	slices.SortFunc(usable, usableServer.compare)
	considered := map[string]bool{}
	for _, u := range usable {
		considered[u.ID] = true
		t.Stages = append(t.Stages, explain.Stage{Server: u.ID, Zone: u.Zone, Load: f.inProgress(now, u.ID).requests})
	}
	t.LeftOut = f.leftOut(now, t.Name, condition.Call, considered)
	switch {
	case len(usable) == 0:
		t.Decision, t.Reason = explain.Refuse, "no server of the service takes requests now"
	case usable[0].wait > 0:
		t.Decision, t.Reason = explain.Wait, fmt.Sprintf("the servers' rate limits leave room in %v", usable[0].wait)
	default:
		t.Decision, t.Reason = explain.Send, "the first of the servers in the order of load, weight and slowness; similar ones by chance"
	}
}

// maxLeftOut bounds the names of servers that are listed for one reason.
const maxLeftOut = 20

// leftOut returns the servers of a service that are not considered, by reason.
func (f *fleet) leftOut(now time.Time, service string, use condition.Use, considered map[string]bool) map[string][]string {
	reasons := map[string][]string{}
	for _, id := range f.byService[service] {
		if considered[id] {
			continue
		}
		reason := f.leftOutBecause(now, id, use)
		if len(reasons[reason]) < maxLeftOut {
			reasons[reason] = append(reasons[reason], id)
		}
	}
	for _, ids := range reasons {
		slices.Sort(ids)
	}
	return reasons
}

func (f *fleet) leftOutBecause(now time.Time, id string, use condition.Use) string {
	s := f.servers[id]
	switch against := f.conditions.Against(now, id, use); {
	case against != condition.None:
		return string(against)
	case use == condition.Call || f.conditions.IsLeaving(id):
		return f.unavailableBecause(now, id, nil)
	case s.Layers.Limit <= s.Layers.First:
		return "it holds no layers"
	default:
		return "it is left out after failures, or the configuration does not name its kind"
	}
}

// explainInterval is the least time between two queries.
const explainInterval = 200 * time.Millisecond

// ExplainHandler answers queries for operators, a few in a second: the search for a path
// takes processor time from requests.
func (e *Entry) ExplainHandler() http.Handler {
	limiter := rate.NewLimiter(rate.Every(explainInterval), 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := explain.ParseQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !limiter.Allow() {
			http.Error(w, "too many queries", http.StatusTooManyRequests)
			return
		}
		answer := e.Explain(time.Now(), q)
		logevent.Write(e.logger, logevent.RequestExplained).Str("host", q.Host).Str("path", q.Path).Str("team", q.Team).Str("route", answer.Route).Msg("")
		w.Header().Set("Content-Type", "application/json")
		// An error means that the operator has disconnected.
		_ = json.NewEncoder(w).Encode(answer)
	})
}
