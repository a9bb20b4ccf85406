// Package explain holds the answer to the question where a process would send a request
// now, and why: what the process returns and what the operators' tool prints.
package explain

import (
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Path is the path at which a process answers queries.
const Path = "/explain"

// Query describes a request that is not sent.
type Query struct {
	// Host and Path select the route.
	Host, Path string
	// Team is the name of the client's team, or empty for a client without a key.
	Team string
	// PromptTokens and AnswerTokens are the lengths of the prompt and of the expected
	// answer, or 0 if they are not known.
	PromptTokens, AnswerTokens int
}

// Values returns the query as URL parameters.
func (q Query) Values() url.Values {
	return url.Values{
		"host": {q.Host}, "path": {q.Path}, "team": {q.Team},
		"prompt_tokens": {strconv.Itoa(q.PromptTokens)}, "answer_tokens": {strconv.Itoa(q.AnswerTokens)},
	}
}

// maxTokens bounds the lengths in a query.
const maxTokens = 10_000_000

// ParseQuery returns the query of URL parameters.
func ParseQuery(v url.Values) (Query, error) {
	q := Query{Host: v.Get("host"), Path: v.Get("path"), Team: v.Get("team")}
	if q.Host == "" || q.Path == "" || q.Path[0] != '/' {
		return Query{}, errors.New("host and path must be given, and the path must begin with a slash")
	}
	for name, target := range map[string]*int{"prompt_tokens": &q.PromptTokens, "answer_tokens": &q.AnswerTokens} {
		text := v.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxTokens {
			return Query{}, errors.Errorf("%s is %q; must be a number from 0 to %d", name, text, maxTokens)
		}
		*target = n
	}
	return q, nil
}

// Decision is what a process would do with a request.
type Decision string

// The decisions.
const (
	Send   Decision = "send"
	Wait   Decision = "wait"
	Refuse Decision = "refuse"
)

// Answer says what a process would do with a request now.
type Answer struct {
	Process  string `json:"process"`
	Revision int64  `json:"revision"`
	// Route is empty if none leads to the request. Rank orders it under load; 0 is first.
	Route string `json:"route,omitempty"`
	Rank  int    `json:"rank"`
	// Refused is the reason if the request is refused whatever its target.
	Refused string `json:"refused,omitempty"`
	// Targets are the models or services that the route may choose.
	Targets []Target `json:"targets,omitempty"`
}

// Target is what a process would do for one target of the route.
type Target struct {
	Name string `json:"name"`
	// Weight is its part among the route's targets.
	Weight   float64  `json:"weight"`
	Decision Decision `json:"decision"`
	Reason   string   `json:"reason"`
	// Stages are the engines of the path, or the server of a call, in order.
	Stages []Stage `json:"stages,omitempty"`
	// ExpectedMillis is the expected time of the whole answer, 0 if it is not known.
	ExpectedMillis int64 `json:"expected_ms,omitempty"`
	// Waiting is the number of requests that wait for this target here, and
	// ExpectedWaitMillis the time until the ones before this request have begun.
	Waiting            int   `json:"waiting"`
	ExpectedWaitMillis int64 `json:"expected_wait_ms"`
	// RetriesLeft is the number of retries that this process may make now.
	RetriesLeft int `json:"retries_left"`
	// LeftOut are the servers that are not considered, by reason.
	LeftOut map[string][]string `json:"left_out,omitempty"`
}

// Stage is a server that would get the request, or pass it on.
type Stage struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	// First and Limit bound the layers [First, Limit) of an engine.
	First int `json:"first,omitempty"`
	Limit int `json:"limit,omitempty"`
	// PromptMillis is the time that the engine takes for the prompt. Load is the number
	// of requests in progress on the server, as far as this process knows.
	PromptMillis int64 `json:"prompt_ms,omitempty"`
	Load         int   `json:"load"`
}

// Print writes the answer as text.
func (a Answer) Print(out io.Writer) error {
	fmt.Fprintf(out, "%s, configuration %d\n", a.Process, a.Revision)
	if a.Route != "" {
		fmt.Fprintf(out, "route %s, rank %d\n", a.Route, a.Rank)
	}
	if a.Refused != "" {
		fmt.Fprintf(out, "refused: %s\n", a.Refused)
	}
	for _, t := range a.Targets {
		if err := t.print(out); err != nil {
			return err
		}
	}
	return nil
}

func (t Target) print(out io.Writer) error {
	fmt.Fprintf(out, "\ntarget %s, weight %g: %s: %s\n", t.Name, t.Weight, t.Decision, t.Reason)
	fmt.Fprintf(out, "  %d requests wait here, for %v; %d retries are left\n", t.Waiting, time.Duration(t.ExpectedWaitMillis)*time.Millisecond, t.RetriesLeft)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, s := range t.Stages {
		if i == 0 {
			fmt.Fprintln(w, "  SERVER\tZONE\tLAYERS\tPROMPT\tLOAD")
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%v\t%d\n", s.Server, s.Zone, s.layers(), time.Duration(s.PromptMillis)*time.Millisecond, s.Load)
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if t.ExpectedMillis > 0 {
		fmt.Fprintf(out, "  expected time of the whole answer: %v\n", time.Duration(t.ExpectedMillis)*time.Millisecond)
	}
	for _, reason := range sortedReasons(t.LeftOut) {
		fmt.Fprintf(out, "  not considered because %s: %v\n", reason, t.LeftOut[reason])
	}
	return nil
}

func (s Stage) layers() string {
	if s.Limit == 0 {
		return "-"
	}
	return fmt.Sprintf("%d-%d", s.First, s.Limit)
}

func sortedReasons(leftOut map[string][]string) []string {
	reasons := make([]string, 0, len(leftOut))
	for reason := range leftOut {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	return reasons
}
