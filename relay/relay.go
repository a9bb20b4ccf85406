// Package relay implements the entry, the router process, for engines that
// pass activations between the stages of a pipeline themselves. An entry
// forwards requests unchanged: it determines the route and the team, sends a
// unary request to one server or a stream request along a path of engines, and
// forwards the response as it arrives. The interfaces HeaderCodec, EngineClient
// and Store hide the protocols spoken with clients, engines and the store.
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
	// ClientAddr accepts client requests, ReadyAddr serves health checks of the
	// load balancer, and MetricsAddr serves metrics to operators.
	ClientAddr, ReadyAddr, MetricsAddr netip.AddrPort
	// PeerAddr receives datagrams from other entries.
	PeerAddr netip.AddrPort
	// Heartbeat is the interval at which servers renew their records.
	Heartbeat time.Duration
	// GracePeriod is the time between the request to shut down and forced
	// termination.
	GracePeriod time.Duration
	// RetryRatio and RetryExtra bound the retries of all entries in RetryWindow:
	// RetryRatio relative to the requests to a service, RetryExtra as a fixed
	// number in addition.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// BodyMemory is the memory in bytes for all request bodies together; 0 leaves it to
	// the entry.
	BodyMemory int64
	// IdleServerConns is the number of idle connections to servers; 0 is no limit.
	IdleServerConns int
}

// Configuration is one revision of the operators' configuration.
type Configuration struct {
	// Revision increases with each change, not necessarily by one.
	Revision int64
	Document *config.Document
	Limits   Limits
	// TeamRanks are the ranks of teams that state one. They take precedence over those
	// of routes, which order the requests of teams of one rank.
	TeamRanks map[string]int
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
	// StartTimeMillis is the start time of the server in Unix milliseconds; it
	// changes with each restart.
	StartTimeMillis int64
	// HeartbeatCount is the number of records that the server has written since
	// its start.
	HeartbeatCount int64
	Slots          int
	// Accelerator and Layers, the range of loaded layers, are set for engines only.
	Accelerator string
	Layers      placement.Range
	// Loading is set while the engine loads layers.
	Loading bool
}

// isOlderThan reports whether the record was written before another one of the same
// server.
func (s Server) isOlderThan(other Server) bool {
	if s.StartTimeMillis != other.StartTimeMillis {
		return s.StartTimeMillis < other.StartTimeMillis
	}
	return s.HeartbeatCount < other.HeartbeatCount
}

// RequestInfo holds the parsed header of a client request.
type RequestInfo struct {
	// ID identifies this attempt of the client.
	ID string
	// Key is the client's API key.
	Key string
	// Timeout is how long the client waits; 0 if it is not stated.
	Timeout time.Duration
	// PromptTokens and MaxAnswerTokens are 0 if not stated; ExpectedAnswerTokens is
	// the client's estimate.
	PromptTokens, MaxAnswerTokens, ExpectedAnswerTokens int
	// LastEvent is the ID of the last stream event that the client has received, or
	// -1.
	LastEvent int64
	// PromptParts are the IDs of the parts of the prompt that other requests may
	// share, in their order.
	PromptParts []string
}

// ForwardInfo holds what an entry adds to a forwarded request.
type ForwardInfo struct {
	// TimeLeft is the time until the request's deadline; 0 means no deadline.
	TimeLeft time.Duration
	// Instance is the ID of the server that must execute the request.
	Instance string
	// Team is the client's team, or empty.
	Team string
	// Rank orders the request among others on a server if HasRank is set; 0 is
	// served first.
	Rank    int
	HasRank bool
	// Path lists the engines; it is empty for a unary request.
	Path []pipeline.Hop
	// LastEvent is the ID of the last event delivered to the client, or -1.
	LastEvent int64
}

// ResponseInfo holds the parsed header of a server's response.
type ResponseInfo struct {
	// ID is the ID of the request that the server responds to.
	ID string
	// NotExecuted is set if the server promises that it has not executed the
	// request and never will.
	NotExecuted bool
	// FailedAddress is the address of the engine on the path that caused the
	// failure.
	FailedAddress string
	// Signed reports whether the response carries a server's signature.
	Signed bool
	// Leaving is set if the server is about to stop.
	Leaving bool
	// RetryAfter is the header of that name as sent: a number of seconds or a date.
	RetryAfter string
	// RateLimit is the number of requests per second that the server takes from all
	// entries together, as sent; it is empty while the server states no limit.
	RateLimit string
	// Load is the number of requests that the server executes or holds in its queue, if
	// StatesLoad is set.
	Load       int
	StatesLoad bool
}

// HeaderCodec translates between the platform's headers and the types of this
// package.
type HeaderCodec interface {
	// ParseRequest parses a client's request header.
	ParseRequest(h http.Header) RequestInfo
	// EncodeRequest turns a client's header into the one that a server receives.
	EncodeRequest(h http.Header, info ForwardInfo)
	// ParseResponse parses a server's response header.
	ParseResponse(h http.Header) ResponseInfo
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
	// TopicBlockedParts holds the prompt parts that crash engines.
	TopicBlockedParts
)

// Record is a keyed record; a nil value means that the key was deleted.
type Record struct {
	Key   string
	Value []byte
}

// Position is a position in a topic. The store may come back from an older copy: a
// new era then begins, in which offsets are given out again for other records.
type Position struct {
	Era, Offset int64
}

// AnyPosition makes Append write at the end of the topic, whatever its position.
var AnyPosition = Position{Offset: -1}

// RecordBatch holds records in the order in which they were written.
type RecordBatch struct {
	Records []Record
	// Next is the position after the last record.
	Next Position
	// Left is the number of records after Next that the topic had.
	Left int64
}

// Errors of the store.
var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNoResponse means that a server did not respond at all.
	ErrNoResponse = errors.New("no response")
	// ErrUnknownOutcome means that an append may have taken effect or may still do
	// so.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrExpired means that the records at the requested offset no longer exist.
	ErrExpired = errors.New("records at this offset have expired")
	// ErrInterrupted means that a read was interrupted before its response began.
	ErrInterrupted = errors.New("read interrupted")
	// ErrConflict means that the topic does not end at the position given to Append.
	ErrConflict = errors.New("topic does not end at the given position")
	// ErrRestored means that the era of the position is over. A record may have been
	// appended all the same, on top of other records than the caller knows.
	ErrRestored = errors.New("the store was restored from an older copy")
)

// ReadWait is how a read waits for records.
type ReadWait struct {
	// Time is how long the store waits for the first record.
	Time time.Duration
	// Interrupt ends the wait when it is closed. It does not end a response that has begun
	// to arrive: reading that again from the beginning would take longer.
	Interrupt <-chan struct{}
}

// Store is the platform's record store.
type Store interface {
	// ReadLatest returns the newest record of each key.
	ReadLatest(ctx context.Context, topic Topic) (RecordBatch, error)
	// Read returns the records from a position on and waits for the first one. The error
	// is ErrInterrupted if the wait was interrupted.
	Read(ctx context.Context, topic Topic, from Position, wait ReadWait) (RecordBatch, error)
	// Append writes a record if the topic ends at position at, and returns the next
	// position.
	Append(ctx context.Context, topic Topic, r Record, at Position) (Position, error)
	// Era returns the newest era seen in any answer of the store.
	Era() int64
	// OnNewEra sets a function that is called when an answer shows that a new era has
	// begun. It is called once for each era and must not block.
	OnNewEra(notify func())
	// DecodeConfiguration and DecodeServer decode record values in the platform's
	// formats.
	DecodeConfiguration(value []byte) (Configuration, error)
	DecodeServer(id string, value []byte) (Server, error)
}

// EngineStatus is an engine's recent status.
type EngineStatus struct {
	// StartTimeMillis is the engine's start time in Unix milliseconds.
	StartTimeMillis int64
	Layers          placement.Range
	// OrdersStarted is the number of orders that the engine has started since its
	// process start.
	OrdersStarted int64
	Busy          bool
	// Leaving is set if the engine is about to stop.
	Leaving bool
	// RateLimit is that of the response, as in ResponseInfo.
	RateLimit string
	// Waiting and Running count requests.
	Waiting, Running int
	// UsedTokens and TotalTokens are in tokens times layers.
	UsedTokens, TotalTokens float64
	// Slowdown is the measured step time divided by the expected one.
	Slowdown float64
	// Stalled are the requests that started at this engine and wait for another
	// one.
	Stalled []StalledRequest
}

// StalledRequest is a request that waits for an engine on its path.
type StalledRequest struct {
	RequestID string
	// BlockedOn is the address of the engine that the request waits for.
	BlockedOn string
}

// OrderOutcome is the result of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderStarted        OrderOutcome = "begun"
	OrderAlreadyApplied OrderOutcome = "holds"
	OrderConflict       OrderOutcome = "conflict"
	OrderRefused        OrderOutcome = "refused"
	// OrderBusy means that the order was not sent because another one is in
	// progress.
	OrderBusy OrderOutcome = "busy"
	// OrderNotSent means that the order was not sent because the sender no longer
	// holds the lease.
	OrderNotSent OrderOutcome = "lease_lost"
	// OrderPaused means that the order was not sent because the engine has asked for a
	// pause.
	OrderPaused OrderOutcome = "paused"
	// OrderOutdated means that the order was not sent because the engine holds other
	// layers than its record says.
	OrderOutdated OrderOutcome = "record_outdated"
	OrderUnknown  OrderOutcome = "unknown"
)

// StageUnavailableError names an engine that cannot run its stage of a path.
type StageUnavailableError struct{ Address string }

func (e *StageUnavailableError) Error() string {
	return "engine " + e.Address + " cannot run its stage"
}

// EngineClient is the client for the control requests of engines.
type EngineClient interface {
	// Status returns an engine's status. The error wraps ErrNoResponse if the
	// engine did not respond.
	Status(ctx context.Context, address string) (EngineStatus, error)
	// AssignLayers orders an engine to hold a range of layers, provided that it has
	// started the given number of orders.
	AssignLayers(ctx context.Context, server Server, r placement.Range, orders int64) (OrderOutcome, error)
	// Reroute changes the path of a request in progress at its first engine. The
	// error is a StageUnavailableError if an engine of the path cannot run its
	// stage.
	Reroute(ctx context.Context, head Server, id string, path []pipeline.Hop) (OrderOutcome, error)
}
