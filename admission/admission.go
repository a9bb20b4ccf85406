// Package admission implements admission control for one entry (a router
// process): it decides which requests to run, queue or shed. It performs no I/O
// and reads no clock; callers pass in events and the current time.
//
// Requests are ordered by priority, then by weighted fair share between teams,
// then by earliest deadline. A request that cannot produce its first token by
// its deadline is shed as soon as that is known, with a retry delay.
//
// Capacity is measured in concurrent cost units. Each entry limits the cost of
// its own running requests. It derives this limit from its recent demand and
// from the load that sidecars report, so entries do not message each other.
package admission

import "time"

// Request describes a request to be admitted.
type Request struct {
	// ID is unique among the requests that are queued or running.
	ID   string
	Team string
	// Weight is the team's share relative to other teams of the same priority; values of 0 or less count as 1.
	Weight float64
	// Priority orders requests under load; higher is served first.
	Priority int
	// Deadline is the latest useful time of the first token (or of the response's
	// first byte). The zero value means no deadline.
	Deadline time.Time
	// Cost is the number of capacity units that the request occupies while it runs; values of 0 or less count as 1.
	Cost float64
	// RatePerSecond and Concurrency limit the team across all entries; 0 means no limit.
	RatePerSecond float64
	Concurrency   int
}

// Verdict tells the caller what to do with a request.
type Verdict int

// The possible verdicts on a request.
const (
	Admit Verdict = iota + 1
	Queue
	Shed
)

// String returns the verdict's name, or "none" for an unknown value.
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

// Reason is the cause of a shed request.
type Reason int

// The reasons for shedding.
const (
	// NoReason is set on requests that were not shed.
	NoReason Reason = iota
	// RateLimited means that the team exceeds its request rate.
	RateLimited
	// ConcurrencyLimited means that the team's concurrency limit, rather than
	// the shared capacity, would delay the request past its deadline.
	ConcurrencyLimited
	// Overloaded means that the shared capacity cannot serve the request by its deadline.
	Overloaded
	// NoCapacity means that there is no capacity at all.
	NoCapacity
	// DuplicateID means that a request with the same ID is queued or running.
	DuplicateID
)

// String returns the reason's name, or an empty string for NoReason.
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

// Result is how an admitted request ended.
type Result int

// The possible results of an admitted request.
const (
	// Completed means success; the controller learns the service time from these requests.
	Completed Result = iota + 1
	// Failed means that the request ended early for a reason other than load.
	Failed
	// RefusedOverloaded means that an overloaded backend server refused the
	// request, so the limit is too high.
	RefusedOverloaded
)

// Outcome describes the end of an admitted request.
type Outcome struct {
	Result Result
	// TimeToFirstToken is the time from admission to the first token or byte; 0 means that none arrived.
	TimeToFirstToken time.Duration
}

// Capacity is the total capacity that all entries share.
type Capacity struct {
	// Units is the number of cost units that the backend servers can run concurrently.
	Units float64
	// Entries is the number of entries that share the capacity; values below 1 count as 1.
	Entries int
}

// Load is the sum of the latest load reports of all sidecars, in cost units and across all entries.
type Load struct {
	Running float64
	// Queued is work that backend servers have accepted but not started.
	Queued float64
}
