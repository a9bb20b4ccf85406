// Package relay implements the entry, the router process, for engines that
// pass activations between the stages of a pipeline themselves. An entry
// forwards requests unchanged: it determines the route and the team, sends a
// unary request to one server or a stream request along a path of engines, and
// forwards the response as it arrives. The interfaces Wire, Engines and Store
// hide the protocols spoken with clients, engines and the store.
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

// Settings are the validated settings of one entry.
type Settings struct {
	Instance, Zone string
	// Callers accepts client requests, Ready serves health checks of the load
	// balancer, and Metrics serves metrics to operators.
	Callers, Ready, Metrics netip.AddrPort
	// Peers receives datagrams from other entries.
	Peers netip.AddrPort
	// Heartbeat is the interval at which servers renew their records.
	Heartbeat time.Duration
	// Grace is the time between the request to shut down and forced termination.
	Grace time.Duration
	// RetryRatio and RetryExtra bound the retries of all entries in RetryWindow:
	// RetryRatio relative to the requests to a service, RetryExtra as a fixed
	// number in addition.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
}

// Configuration is one revision of the operators' configuration.
type Configuration struct {
	// Revision increases with each change, not necessarily by one.
	Revision int64
	Document *config.Document
	Limits   Limits
}

// Limits bound the size of client requests and the time that clients may take
// or stay idle; 0 means that no limit is configured.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTime is for reading a request header, IdleTime between two requests.
	HeaderTime, IdleTime time.Duration
}

// Server is a backend server as described by its record in the store.
type Server struct {
	membership.Instance
	// Born is the start time of the server in Unix milliseconds; it changes with
	// each restart.
	Born int64
	// Beat is the number of records that the server has written since its start.
	Beat  int64
	Slots int
	// Accelerator and Holds, the range of loaded layers, are set for engines only.
	Accelerator string
	Holds       placement.Range
	// Loading is set while the engine loads layers.
	Loading bool
}

// Call holds the parsed header of a client request.
type Call struct {
	// ID identifies this attempt of the client.
	ID string
	// Key is the client's API key.
	Key string
	// Budget is how long the client waits; 0 if it is not stated.
	Budget time.Duration
	// PromptTokens and MaxAnswerTokens are 0 if not stated; LikelyAnswerTokens is
	// the client's estimate.
	PromptTokens, MaxAnswerTokens, LikelyAnswerTokens int
	// LastEvent is the ID of the last stream event that the client has received, or
	// -1.
	LastEvent int64
}

// Send holds what an entry adds to a forwarded request.
type Send struct {
	// Left is the time until the request's deadline; 0 means no deadline.
	Left time.Duration
	// Instance is the ID of the server that must execute the request.
	Instance string
	// Team is the client's team, or empty.
	Team string
	// Path lists the engines; it is empty for a unary request.
	Path []pipeline.Hop
	// LastEvent is the ID of the last event delivered to the client, or -1.
	LastEvent int64
}

// Answer holds the parsed header of a server's response.
type Answer struct {
	// ID is the ID of the request that the server responds to.
	ID string
	// NotRun is set if the server promises that it has not executed the request
	// and never will.
	NotRun bool
	// Culprit is the address of the engine on the path that caused the failure.
	Culprit string
	// Signed reports whether the response carries a server's signature.
	Signed bool
}

// Wire translates between the platform's headers and the types of this
// package.
type Wire interface {
	// Call parses a client's request header.
	Call(h http.Header) Call
	// Prepare turns a client's header into the one that a server receives.
	Prepare(h http.Header, info Send)
	// Answer parses a server's response header.
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

// Record is a keyed record; a nil value means that the key was deleted.
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
	// ErrUnknownOutcome means that an append may have taken effect or may still do
	// so.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrExpired means that the records at the requested offset no longer exist.
	ErrExpired = errors.New("records at this offset have expired")
	// ErrConflict means that the topic does not end at the offset given to Append.
	ErrConflict = errors.New("topic does not end at the given offset")
)

// AnyOffset makes Append write at the end of the topic, whatever its offset.
const AnyOffset int64 = -1

// Store is the platform's record store.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic Topic) (Changes, error)
	// Read returns the records from an offset on and waits for the first one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Changes, error)
	// Append writes a record if the topic ends at offset at, and returns the next
	// offset.
	Append(ctx context.Context, topic Topic, r Record, at int64) (int64, error)
	// Configuration and Server decode record values in the platform's formats.
	Configuration(value []byte) (Configuration, error)
	Server(id string, value []byte) (Server, error)
}

// Report is an engine's recent status.
type Report struct {
	Holds placement.Range
	// Orders is the number of orders that the engine has started since its process
	// start.
	Orders int64
	Busy   bool
	// Waiting and Running count requests.
	Waiting, Running int
	// UsedTokens and TotalTokens are in tokens times layers.
	UsedTokens, TotalTokens float64
	// Slowdown is the measured step time divided by the expected one.
	Slowdown float64
	// Stalled are the requests that started at this engine and wait for another
	// one.
	Stalled []Stall
}

// Stall is a request that waits for an engine on its path.
type Stall struct {
	Request string
	// Address is the address of the engine that the request waits for.
	Address string
}

// OrderOutcome is the result of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderBegun    OrderOutcome = "begun"
	OrderHolds    OrderOutcome = "holds"
	OrderConflict OrderOutcome = "conflict"
	OrderRefused  OrderOutcome = "refused"
	// OrderBusy means that the order was not sent because another one is in
	// progress.
	OrderBusy    OrderOutcome = "busy"
	OrderUnknown OrderOutcome = "unknown"
)

// PartMissingError names an engine that cannot run its stage of a path.
type PartMissingError struct{ Address string }

func (e *PartMissingError) Error() string { return "engine " + e.Address + " cannot run its stage" }

// Engines is the client for the control requests of engines.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	// Place orders an engine to hold a range of layers, provided that it has
	// started the given number of orders.
	Place(ctx context.Context, server Server, r placement.Range, orders int64) (OrderOutcome, error)
	// Reroute changes the path of a request in progress at its first engine. The
	// error is a PartMissingError if an engine of the path cannot run its stage.
	Reroute(ctx context.Context, head Server, id string, path []pipeline.Hop) (OrderOutcome, error)
}
