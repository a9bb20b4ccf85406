// Package admission decides which requests an entry runs now, keeps waiting or
// sheds. It performs no I/O and reads no clock: events and the time go in,
// decisions come out.
//
// Requests are ordered by priority, then by weighted fair share between teams,
// then by earliest deadline. A request that cannot produce its first token by
// its deadline is shed as soon as that is known, with a time to come back.
//
// Capacity is counted in cost units that run at once. Each entry holds a limit
// on its own running cost and derives it from its recent demand and from the
// load that sidecars report, so entries need no messages between each other.
package admission

import "time"

// Request is one request that asks for admission.
type Request struct {
	// ID is unique among the requests that are queued or running.
	ID   string
	Team string
	// Weight is the team's share relative to other teams of the same priority; values of 0 or less count as 1.
	Weight float64
	// Priority orders requests under load; higher is served first.
	Priority int
	// Deadline is the latest useful time of the first token (or of the answer's
	// first byte). The zero value means that the request may wait without limit.
	Deadline time.Time
	// Cost is the number of capacity units that the request holds while it runs; values of 0 or less count as 1.
	Cost float64
	// RatePerSecond and Concurrency limit the team over all entries; 0 means no limit.
	RatePerSecond float64
	Concurrency   int
}

// Verdict says what happens to a request.
type Verdict int

// The verdicts.
const (
	Admit Verdict = iota + 1
	Queue
	Shed
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Queue:
		return "queue"
	case Shed:
		return "shed"
	default:
		return "none"
	}
}

// Reason says why a request was shed.
type Reason int

// The reasons for shedding.
const (
	// NoReason belongs to requests that were not shed.
	NoReason Reason = iota
	// RateLimited means that the team is over its rate.
	RateLimited
	// ConcurrencyLimited means that the team's concurrency limit, not the
	// shared capacity, keeps the request from meeting its deadline.
	ConcurrencyLimited
	// Overloaded means that the shared capacity cannot serve the request by its deadline.
	Overloaded
	// NoCapacity means that there is no capacity at all.
	NoCapacity
	// DuplicateID means that a request with the same ID is queued or running.
	DuplicateID
)

// String returns the reason's name.
func (r Reason) String() string {
	switch r {
	case RateLimited:
		return "rate_limited"
	case ConcurrencyLimited:
		return "concurrency_limited"
	case Overloaded:
		return "overloaded"
	case NoCapacity:
		return "no_capacity"
	case DuplicateID:
		return "duplicate_id"
	default:
		return ""
	}
}

// Decision is the verdict on one request.
type Decision struct {
	ID      string
	Verdict Verdict
	// Reason and RetryAfter are set when the request is shed.
	Reason     Reason
	RetryAfter time.Duration
}

// Result says how a request that was admitted ended.
type Result int

// The results.
const (
	// Completed requests teach the controller how long requests hold capacity.
	Completed Result = iota + 1
	// Failed requests ended early for a reason other than load.
	Failed
	// RefusedOverloaded requests were refused by an overloaded backend server,
	// which is direct evidence that the limit is too high.
	RefusedOverloaded
)

// Outcome describes the end of an admitted request.
type Outcome struct {
	Result Result
	// TimeToFirstToken is the time from admission to the first token or byte; 0 means that there was none.
	TimeToFirstToken time.Duration
}

// Capacity is what all entries together may use.
type Capacity struct {
	// Units is the number of cost units that the backend servers can run at once.
	Units float64
	// Entries is the number of entries that share the capacity; values below 1 count as 1.
	Entries int
}

// Load is the sum of the latest load reports of all sidecars, in cost units and over all entries.
type Load struct {
	Running float64
	// Queued is work that backend servers have accepted and not started.
	Queued float64
}
