// Package config defines the configuration document that operators publish:
// its types, its validation, and diffs and patches between two documents.
package config

import "time"

// SchemaVersion is the version of the document's schema that this program writes and validates.
const SchemaVersion = 1

// Document is a complete configuration. Its lists are called sections and their
// elements entries. A published document is immutable.
type Document struct {
	Schema       int           `yaml:"schema" json:"schema"`
	Regions      []Region      `yaml:"regions" json:"regions"`
	Accelerators []Accelerator `yaml:"accelerators" json:"accelerators"`
	Links        []Link        `yaml:"links" json:"links"`
	Models       []Model       `yaml:"models" json:"models"`
	Services     []Service     `yaml:"services" json:"services"`
	Servers      []Server      `yaml:"servers" json:"servers"`
	Teams        []Team        `yaml:"teams" json:"teams"`
	Objectives   []Objective   `yaml:"objectives" json:"objectives"`
	Routes       []Route       `yaml:"routes,omitempty" json:"routes,omitempty"`
}

// Region groups availability zones.
type Region struct {
	Name  string   `yaml:"name" json:"name"`
	Zones []string `yaml:"zones" json:"zones"`
}

// Accelerator is a kind of hardware.
type Accelerator struct {
	Kind string `yaml:"kind" json:"kind"`
	// MemoryBytes is the memory for weights and KV cache together.
	MemoryBytes int64 `yaml:"memory_bytes" json:"memory_bytes"`
	// LayerTokensPerSecond is the decode rate for one layer; an engine that
	// runs n layers generates LayerTokensPerSecond/n tokens per second.
	LayerTokensPerSecond float64 `yaml:"layer_tokens_per_second" json:"layer_tokens_per_second"`
	// PrefillSpeedup is the prefill rate divided by the decode rate.
	PrefillSpeedup float64 `yaml:"prefill_speedup" json:"prefill_speedup"`
	// StepFactor multiplies the model's decode step times on this hardware, and
	// PromptFactor multiplies the time for prompt tokens; 0 means 1.
	StepFactor   float64 `yaml:"step_factor,omitempty" json:"step_factor,omitempty"`
	PromptFactor float64 `yaml:"prompt_factor,omitempty" json:"prompt_factor,omitempty"`
}

// Link is a directed network path between two availability zones. A link from
// a zone to itself describes traffic inside the zone.
type Link struct {
	From           string        `yaml:"from" json:"from"`
	To             string        `yaml:"to" json:"to"`
	BytesPerSecond float64       `yaml:"bytes_per_second" json:"bytes_per_second"`
	Latency        time.Duration `yaml:"latency" json:"latency"`
}

// Model is a model and its versions.
type Model struct {
	Name string `yaml:"name" json:"name"`
	// Versions are ordered from oldest to newest; ServingVersion is the one in use.
	Versions       []string `yaml:"versions" json:"versions"`
	ServingVersion string   `yaml:"serving" json:"serving"`
	Adapters       []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Layers         int      `yaml:"layers" json:"layers"`
	// BytesPerLayer is the size of one layer's weights.
	BytesPerLayer int64 `yaml:"bytes_per_layer" json:"bytes_per_layer"`
	// ActivationBytes is the size of one token's activations that a pipeline
	// stage sends to the next one.
	ActivationBytes int64 `yaml:"activation_bytes" json:"activation_bytes"`
	// KVBytesPerTokenLayer is the size of one token's KV cache in one layer.
	KVBytesPerTokenLayer int64 `yaml:"kv_bytes_per_token_layer" json:"kv_bytes_per_token_layer"`
	ContextTokens        int   `yaml:"context_tokens" json:"context_tokens"`
	// The members below describe engines that forward activations to the next
	// stage directly. They are optional; times are for all layers together on
	// an accelerator with factor 1.
	//
	// Slots is the number of concurrent requests for which an engine can be the
	// first stage.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// StepTime is the base time of one decode step. RequestStepTime is added for
	// each request in the batch, and ContextStepTime for each 1,000 tokens of
	// their context.
	StepTime        time.Duration `yaml:"step_time,omitempty" json:"step_time,omitempty"`
	RequestStepTime time.Duration `yaml:"request_step_time,omitempty" json:"request_step_time,omitempty"`
	ContextStepTime time.Duration `yaml:"context_step_time,omitempty" json:"context_step_time,omitempty"`
	// PromptTokensPerSecond is the prefill rate.
	PromptTokensPerSecond float64 `yaml:"prompt_tokens_per_second,omitempty" json:"prompt_tokens_per_second,omitempty"`
	// LoadTime is the time to load the weights of all layers.
	LoadTime time.Duration `yaml:"load_time,omitempty" json:"load_time,omitempty"`
	// ConcurrentLoads is the number of concurrent loads that the weight store serves at full speed.
	ConcurrentLoads int `yaml:"concurrent_loads,omitempty" json:"concurrent_loads,omitempty"`
	// PromptTokens and AnswerTokens are the mean prompt and answer lengths of requests.
	PromptTokens float64 `yaml:"prompt_tokens,omitempty" json:"prompt_tokens,omitempty"`
	AnswerTokens float64 `yaml:"answer_tokens,omitempty" json:"answer_tokens,omitempty"`
}

// LogOutagePolicy says what happens to a non-idempotent call with an
// idempotency key while the log service is down.
type LogOutagePolicy string

// The policies during a log outage.
const (
	RefuseDuringOutage LogOutagePolicy = "refuse"
	RunDuringOutage    LogOutagePolicy = "run"
)

// Service is a plain service: its backend servers run no model, and HTTP calls
// are forwarded to them unchanged.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Idempotent lists the calls that may be retried; all others run at most once.
	Idempotent []CallRule `yaml:"idempotent" json:"idempotent"`
	// Timeout is the maximum duration of one call.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// IdempotencyKeyTTL is how long an idempotency key is remembered.
	IdempotencyKeyTTL time.Duration   `yaml:"key_window" json:"key_window"`
	OnLogOutage       LogOutagePolicy `yaml:"on_log_outage" json:"on_log_outage"`
	MaxBodyBytes      int64           `yaml:"max_body_bytes" json:"max_body_bytes"`
	// MaxConnections is the number of connections that a server accepts from all clients; 0 means no limit.
	MaxConnections int `yaml:"max_connections,omitempty" json:"max_connections,omitempty"`
}

// CallRule matches calls by method and path prefix below the service's name.
type CallRule struct {
	Method     string `yaml:"method" json:"method"`
	PathPrefix string `yaml:"path_prefix" json:"path_prefix"`
}

// Fencing says whether a backend server checks the fencing number of an order
// to load layers.
type Fencing string

// The values of Fencing. An empty value means FencingIgnores.
const (
	FencingChecks  Fencing = "checks"
	FencingIgnores Fencing = "ignores"
)

// Server is a backend server: an engine when Model is set, otherwise an instance of a plain service.
type Server struct {
	ID          string  `yaml:"id" json:"id"`
	Zone        string  `yaml:"zone" json:"zone"`
	Model       string  `yaml:"model,omitempty" json:"model,omitempty"`
	Service     string  `yaml:"service,omitempty" json:"service,omitempty"`
	Accelerator string  `yaml:"accelerator,omitempty" json:"accelerator,omitempty"`
	Fencing     Fencing `yaml:"fencing,omitempty" json:"fencing,omitempty"`
}

// Team is a tenant.
type Team struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes are the hexadecimal SHA-256 hashes of the team's API keys (bearer tokens).
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// Weight is the team's share of the capacity relative to other teams of the same priority.
	Weight float64 `yaml:"weight" json:"weight"`
	// Priority orders teams under load; higher values are served first.
	Priority int      `yaml:"priority" json:"priority"`
	Models   []string `yaml:"models" json:"models"`
	Services []string `yaml:"services" json:"services"`
	// RequestsPerSecond and Concurrency limit the team; 0 means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	Concurrency       int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
}

// Measure is the quantity that an objective is about.
type Measure string

// The measures of objectives.
const (
	MeasureTimeToFirstToken  Measure = "first_token"
	MeasureInterTokenLatency Measure = "between_tokens"
	MeasureAvailability      Measure = "availability"
	MeasureLatency           Measure = "latency"
)

// Objective is a service-level objective. Target is the required fraction of good events, below 1.
type Objective struct {
	Name    string  `yaml:"name" json:"name"`
	Model   string  `yaml:"model,omitempty" json:"model,omitempty"`
	Service string  `yaml:"service,omitempty" json:"service,omitempty"`
	Team    string  `yaml:"team,omitempty" json:"team,omitempty"`
	Measure Measure `yaml:"measure" json:"measure"`
	// Threshold is the longest time that counts as good; it is unused for availability.
	Threshold time.Duration `yaml:"threshold,omitempty" json:"threshold,omitempty"`
	Target    float64       `yaml:"target" json:"target"`
}

// CallKind says how often a request may be executed and whether its response is a stream.
type CallKind string

// The values of CallKind.
const (
	// CallIdempotent requests may be executed more than once.
	CallIdempotent CallKind = "idempotent"
	// CallAtMostOnce requests are executed at most once.
	CallAtMostOnce CallKind = "at_most_once"
	// CallStream requests get a stream of events in response.
	CallStream CallKind = "stream"
)

// Route maps requests to the backend servers of models or services. It is used
// by entry processes that forward requests unchanged.
type Route struct {
	Name string `yaml:"name" json:"name"`
	// Host and PathPrefix select the requests; of a host's routes, the longest matching prefix wins.
	Host       string        `yaml:"host" json:"host"`
	PathPrefix string        `yaml:"path_prefix" json:"path_prefix"`
	Targets    []RouteTarget `yaml:"targets" json:"targets"`
	CallKind   CallKind      `yaml:"call" json:"call"`
	// Resumable streams can continue on another backend server after the last event.
	Resumable bool `yaml:"resumable,omitempty" json:"resumable,omitempty"`
	// Anonymous routes accept requests without an API key.
	Anonymous bool `yaml:"anonymous,omitempty" json:"anonymous,omitempty"`
	// Timeout is the maximum duration of a request.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// TargetLatency is the latency target for a response or the first event of a
	// stream, and TargetEventInterval the one for the time between events.
	TargetLatency       time.Duration `yaml:"target_latency,omitempty" json:"target_latency,omitempty"`
	TargetEventInterval time.Duration `yaml:"target_pause,omitempty" json:"target_pause,omitempty"`
	// Rank orders routes under load; lower values are served first, 0 before all others.
	Rank int `yaml:"rank" json:"rank"`
	// MaxAttempts is the maximum number of backend servers to which one request is sent.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
}

// RouteTarget is a model or service with its weight among a route's targets.
type RouteTarget struct {
	Backend string  `yaml:"backend" json:"backend"`
	Weight  float64 `yaml:"weight" json:"weight"`
}
