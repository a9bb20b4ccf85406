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
	// ClientAddr takes requests, Ready answers the load balancer, Metrics serves
	// metrics to operators.
	ClientAddr, ReadyAddr, MetricsAddr netip.AddrPort
	// PeerAddr takes datagrams of other entries.
	PeerAddr netip.AddrPort
	// Heartbeat is the interval at which servers renew their records.
	Heartbeat time.Duration
	// GracePeriod is the time between the request to stop and the end by force.
	GracePeriod time.Duration
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
	// StartTimeMillis is when the server started, in Unix milliseconds; it tells a restart
	// from the same server.
	StartTimeMillis int64
	// HeartbeatCount counts the records that the server wrote since its start.
	HeartbeatCount int64
	Slots          int
	// Accelerator and Holds are set for engines.
	Accelerator string
	Layers      placement.Range
	// Loading is set while the engine takes layers.
	Loading bool
}

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// ID names this attempt of the caller.
	ID string
	// Key is the caller's secret.
	Key string
	// Timeout is how long the caller waits; 0 means that it does not say.
	Timeout time.Duration
	// PromptTokens and MaxAnswerTokens are 0 when the request does not say them;
	// ExpectedAnswerTokens is the caller's estimate.
	PromptTokens, MaxAnswerTokens, ExpectedAnswerTokens int
	// LastEvent is the last event that the caller has of a stream, or -1.
	LastEvent int64
}

// ForwardInfo is what an entry adds to a request for a server.
type ForwardInfo struct {
	// TimeLeft is the time that is left of the caller's budget; 0 means no limit.
	TimeLeft time.Duration
	// Instance is the server that must run the request.
	Instance string
	// Team is the caller's team, or empty.
	Team string
	// Path names the engines; it is empty for a plain call.
	Path []pipeline.Hop
	// LastEvent is the last event that is delivered, or -1.
	LastEvent int64
}

// ResponseInfo is what the header of a server's answer says.
type ResponseInfo struct {
	// ID is the request that the server answers.
	ID string
	// NotExecuted is the server's promise that it has not run the request and never will.
	NotExecuted bool
	// FailedAddress is the address of the engine on the path that is at fault.
	FailedAddress string
	// Signed tells whether the answer carries a server's signature.
	Signed bool
}

// HeaderCodec translates headers between the platform and the product.
type HeaderCodec interface {
	// ParseRequest reads a caller's request header.
	ParseRequest(h http.Header) RequestInfo
	// EncodeRequest turns a caller's header into the one that a server receives.
	EncodeRequest(h http.Header, send ForwardInfo)
	// ParseResponse reads the header of a server's answer.
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
)

// Record is a keyed record; a nil value means that the key is dropped.
type Record struct {
	Key   string
	Value []byte
}

// RecordBatch are records in the order in which they were written.
type RecordBatch struct {
	Records []Record
	// NextOffset is the offset after the last record.
	NextOffset int64
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
	// ReadLatest returns the newest record of each key.
	ReadLatest(ctx context.Context, topic Topic) (RecordBatch, error)
	// Read returns the records from an offset on, waiting for the first one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (RecordBatch, error)
	// Append writes a record if the topic ends at an offset, and returns the next offset.
	Append(ctx context.Context, topic Topic, r Record, at int64) (int64, error)
	// DecodeConfiguration and Server decode the values of the platform's own records.
	DecodeConfiguration(value []byte) (Configuration, error)
	DecodeServer(id string, value []byte) (Server, error)
}

// EngineStatus is an engine's own account of its state, a short time ago.
type EngineStatus struct {
	Layers placement.Range
	// OrdersStarted counts the orders that the engine has begun since its start.
	OrdersStarted int64
	Busy          bool
	// Waiting and Running count requests.
	Waiting, Running int
	// UsedTokens and TotalTokens are tokens times layers.
	UsedTokens, TotalTokens float64
	// Slowdown is the measured time of a step divided by the expected one.
	Slowdown float64
	// Stalled are the requests that began at this engine and wait for another one.
	Stalled []StalledRequest
}

// StalledRequest is a request that waits for an engine on its path.
type StalledRequest struct {
	RequestID string
	// BlockedOn is that of the engine for which the request waits.
	BlockedOn string
}

// OrderOutcome says what became of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderStarted        OrderOutcome = "begun"
	OrderAlreadyApplied OrderOutcome = "holds"
	OrderConflict       OrderOutcome = "conflict"
	OrderRefused        OrderOutcome = "refused"
	// OrderBusy means that the order was not given, because another one is in progress.
	OrderBusy    OrderOutcome = "busy"
	OrderUnknown OrderOutcome = "unknown"
)

// StageUnavailableError says which engine cannot run its part of a path.
type StageUnavailableError struct{ Address string }

func (e *StageUnavailableError) Error() string { return "engine " + e.Address + " cannot run its part" }

// EngineClient is how engines take orders and report.
type EngineClient interface {
	Status(ctx context.Context, address string) (EngineStatus, error)
	// AssignLayers orders an engine to hold a range if it has begun a number of orders.
	AssignLayers(ctx context.Context, server Server, r placement.Range, orders int64) (OrderOutcome, error)
	// Reroute changes the path of a request in progress at its first engine. When an
	// engine of the path cannot run its part the error is a StageUnavailableError.
	Reroute(ctx context.Context, head Server, id string, path []pipeline.Hop) (OrderOutcome, error)
}
