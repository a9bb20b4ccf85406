// Package relay is the entry for engines that relay between stages by
// themselves. It passes requests through unchanged: it finds the route and the
// team, sends a plain call to one server or a stream along a path of engines,
// and passes the answer on as it arrives. What it speaks with callers, engines
// and the store is hidden behind the interfaces Wire, Engines and Store.
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/placement"
)

// Settings are the checked settings of one entry.
type Settings struct {
	Instance, Zone string
	// Callers takes requests, Ready answers the load balancer, Metrics serves
	// metrics to operators.
	Callers, Ready, Metrics netip.AddrPort
	// Peers takes datagrams of other entries.
	Peers netip.AddrPort
	// Heartbeat is the interval at which servers renew their records.
	Heartbeat time.Duration
	// Grace is the time between the request to stop and the end by force.
	Grace time.Duration
	// RetryRatio and RetryExtra bound the repeats of all entries in RetryWindow:
	// the ratio to a service's requests, and a number on top.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
}

// Configuration is one revision of what operators configure.
type Configuration struct {
	// Revision grows with each change, in uneven steps.
	Revision int64
	Document *config.Document
	Limits   Limits
}

// Limits bound what a caller may send, and how long it may take or stay idle; 0
// means no bound of the operators'.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTime is for the header of a request, IdleTime between two requests.
	HeaderTime, IdleTime time.Duration
}

// Server is a backend server as its record in the store describes it.
type Server struct {
	membership.Instance
	// Born is when the server started, in Unix milliseconds; it tells a restart
	// from the same server.
	Born int64
	// Beat counts the records that the server wrote since its start.
	Beat  int64
	Slots int
	// Accelerator and Holds are set for engines.
	Accelerator string
	Holds       placement.Range
	// Loading is set while the engine takes layers.
	Loading bool
}

// Call is what a caller's request says of itself.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Key is the caller's secret.
	Key string
	// Budget is how long the caller waits; 0 means that it does not say.
	Budget time.Duration
	// PromptTokens and MaxAnswerTokens are 0 when the request does not say them;
	// LikelyAnswerTokens is the caller's estimate.
	PromptTokens, MaxAnswerTokens, LikelyAnswerTokens int
	// LastEvent is the last event that the caller has of a stream, or -1.
	LastEvent int64
}

// Send is what an entry adds to a request for a server.
type Send struct {
	// Left is the time that is left of the caller's budget; 0 means no limit.
	Left time.Duration
	// Instance is the server that must run the request.
	Instance string
	// Team is the caller's team, or empty.
	Team string
	// Path names the engines; it is empty for a plain call.
	Path []pipeline.Hop
	// LastEvent is the last event that is delivered, or -1.
	LastEvent int64
}

// Answer is what the header of a server's answer says.
type Answer struct {
	// ID is the request that the server answers.
	ID string
	// NotRun is the server's promise that it has not run the request and never will.
	NotRun bool
	// Culprit is the address of the engine on the path that is at fault.
	Culprit string
	// Signed tells whether the answer carries a server's signature.
	Signed bool
}

// Wire translates headers between the platform and the product.
type Wire interface {
	// Call reads a caller's request header.
	Call(h http.Header) Call
	// Prepare turns a caller's header into the one that a server receives.
	Prepare(h http.Header, send Send)
	// Answer reads the header of a server's answer.
	Answer(h http.Header) Answer
}

// Topic is a set of keyed records in the store.
type Topic int

// The topics.
const (
	// TopicConfiguration holds the operators' configuration.
	TopicConfiguration Topic = iota + 1
	// TopicServers holds a record for each backend server.
	TopicServers
	// TopicEntries holds a record for each entry.
	TopicEntries
	// TopicLease holds the lease of the entry that places layers.
	TopicLease
)

// Record is a keyed record; a nil value means that the key is dropped.
type Record struct {
	Key   string
	Value []byte
}

// Changes are records in the order in which they were written.
type Changes struct {
	Records []Record
	// Next is the offset after the last record.
	Next int64
}

// Errors of the store.
var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome means that an append may have taken effect or still may.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrExpired means that the records at the wanted offset are gone.
	ErrExpired = errors.New("records expired")
	// ErrConflict means that the topic does not end at the offset that the append names.
	ErrConflict = errors.New("topic has another end")
)

// AnyOffset lets an append go to whatever offset the topic ends at.
const AnyOffset int64 = -1

// Store is the platform's store.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic Topic) (Changes, error)
	// Read returns the records from an offset on, waiting for the first one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Changes, error)
	// Append writes a record if the topic ends at an offset, and returns the next offset.
	Append(ctx context.Context, topic Topic, r Record, at int64) (int64, error)
	// Configuration and Server decode the values of the platform's own records.
	Configuration(value []byte) (Configuration, error)
	Server(id string, value []byte) (Server, error)
}

// Report is an engine's own account of its state, a short time ago.
type Report struct {
	Holds placement.Range
	// Orders counts the orders that the engine has begun since its start.
	Orders int64
	Busy   bool
	// Waiting and Running count requests.
	Waiting, Running int
	// UsedTokens and TotalTokens are tokens times layers.
	UsedTokens, TotalTokens float64
	// Slowdown is the measured time of a step divided by the expected one.
	Slowdown float64
	// Stalled are the requests that began at this engine and wait for another one.
	Stalled []Stall
}

// Stall is a request that waits for an engine on its path.
type Stall struct {
	Request string
	// Address is that of the engine for which the request waits.
	Address string
}

// OrderOutcome says what became of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderBegun    OrderOutcome = "begun"
	OrderHolds    OrderOutcome = "holds"
	OrderConflict OrderOutcome = "conflict"
	OrderRefused  OrderOutcome = "refused"
	// OrderBusy means that the order was not given, because another one is in progress.
	OrderBusy    OrderOutcome = "busy"
	OrderUnknown OrderOutcome = "unknown"
)

// PartMissingError says which engine cannot run its part of a path.
type PartMissingError struct{ Address string }

func (e *PartMissingError) Error() string { return "engine " + e.Address + " cannot run its part" }

// Engines is how engines take orders and report.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	// Place orders an engine to hold a range if it has begun a number of orders.
	Place(ctx context.Context, server Server, r placement.Range, orders int64) (OrderOutcome, error)
	// Reroute changes the path of a request in progress at its first engine. When an
	// engine of the path cannot run its part the error is a PartMissingError.
	Reroute(ctx context.Context, head Server, id string, path []pipeline.Hop) (OrderOutcome, error)
}
