// Package problem writes the HTTP error responses that clients receive. Each has
// an application/problem+json body with a stable code and says whether the
// request was executed, so that the client can decide whether to retry.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Code identifies the cause of an error response. Clients depend on these values,
// so a code is never renamed.
type Code string

// The codes of error responses.
const (
	Unauthorized     Code = "unauthorized"
	UnknownModel     Code = "unknown_model"
	UnknownService   Code = "unknown_service"
	UnknownRoute     Code = "unknown_route"
	InvalidRequest   Code = "invalid_request"
	BodyTooLarge     Code = "body_too_large"
	HeaderTooLarge   Code = "header_too_large"
	RequestTimeout   Code = "request_timeout"
	MethodNotAllowed Code = "method_not_allowed"
	Overloaded       Code = "overloaded"
	RateLimited      Code = "rate_limited"
	NoBackend        Code = "no_backend"
	Draining         Code = "draining"
	StageLost        Code = "stage_lost"
	DeadlineExceeded Code = "deadline_exceeded"
	BackendFailed    Code = "backend_failed"
	LogUnavailable   Code = "log_unavailable"
	KeyConflict      Code = "key_conflict"
	KeyExpired       Code = "key_expired"
	OutcomeUnknown   Code = "outcome_unknown"
	PromptBlocked    Code = "prompt_blocked"
	RequestBlocked   Code = "request_blocked"
)

// codeInfo describes all error responses with one code.
type codeInfo struct {
	status int
	// retryable is set if the same request may succeed later; the response then
	// always has a Retry-After header.
	retryable bool
}

var codeInfos = map[Code]codeInfo{
	Unauthorized:     {status: http.StatusUnauthorized},
	UnknownModel:     {status: http.StatusNotFound},
	UnknownService:   {status: http.StatusNotFound},
	UnknownRoute:     {status: http.StatusNotFound},
	InvalidRequest:   {status: http.StatusBadRequest},
	BodyTooLarge:     {status: http.StatusRequestEntityTooLarge},
	HeaderTooLarge:   {status: http.StatusRequestHeaderFieldsTooLarge},
	RequestTimeout:   {status: http.StatusRequestTimeout},
	MethodNotAllowed: {status: http.StatusMethodNotAllowed},
	Overloaded:       {status: http.StatusServiceUnavailable, retryable: true},
	RateLimited:      {status: http.StatusTooManyRequests, retryable: true},
	NoBackend:        {status: http.StatusServiceUnavailable, retryable: true},
	Draining:         {status: http.StatusServiceUnavailable, retryable: true},
	StageLost:        {status: http.StatusBadGateway, retryable: true},
	DeadlineExceeded: {status: http.StatusGatewayTimeout},
	BackendFailed:    {status: http.StatusBadGateway},
	LogUnavailable:   {status: http.StatusServiceUnavailable, retryable: true},
	KeyConflict:      {status: http.StatusConflict},
	KeyExpired:       {status: http.StatusGone},
	OutcomeUnknown:   {status: http.StatusBadGateway},
	PromptBlocked:    {status: http.StatusServiceUnavailable, retryable: true},
	RequestBlocked:   {status: http.StatusServiceUnavailable, retryable: true},
}

// Status returns the HTTP status of responses with the code.
func (c Code) Status() int {
	if info, ok := codeInfos[c]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Executed tells the client whether a backend server executed the request. The
// values are those of attempt.Executed.String.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// ContentType is the media type of error responses (RFC 9457).
const ContentType = "application/problem+json"

// defaultRetryAfter is used for retryable codes if RetryAfter is not set.
const defaultRetryAfter = time.Second

// Problem is an error response.
type Problem struct {
	Code   Code
	Detail string
	// Executed is written as unknown if it is empty.
	Executed Executed
	// RetryAfter is rounded up to whole seconds. If FractionalRetryAfter is set,
	// the header has it rounded up to milliseconds.
	RetryAfter time.Duration
	// FractionalRetryAfter is for clients that accept fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// RequestID is the request ID, as in log lines.
	RequestID string
	// Allow is the list of methods in the Allow header of a MethodNotAllowed response.
	Allow []string
}

// NotExecuted returns the error response for a request that certainly was not executed.
func NotExecuted(code Code, detail string) *Problem {
	return &Problem{Code: code, Detail: detail, Executed: ExecutedNo}
}

// Error returns the code and the detail.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

// body is the JSON form. As the type is about:blank, RFC 9457 requires the title
// to be the status text.
type body struct {
	Type       string   `json:"type"`
	Title      string   `json:"title"`
	Status     int      `json:"status"`
	Code       Code     `json:"code"`
	Detail     string   `json:"detail,omitempty"`
	Executed   Executed `json:"executed"`
	RetryAfter int      `json:"retry_after_seconds,omitempty"`
	Request    string   `json:"request,omitempty"`
}

// MarshalJSON returns the response body. It is also used for an error event in a
// stream that has already started.
func (p *Problem) MarshalJSON() ([]byte, error) {
	status := p.Code.Status()
	return json.Marshal(body{
		Type:       "about:blank",
		Title:      http.StatusText(status),
		Status:     status,
		Code:       p.Code,
		Detail:     p.Detail,
		Executed:   p.executed(),
		RetryAfter: p.retryAfterSeconds(),
		Request:    p.RequestID,
	})
}

func (p *Problem) executed() Executed {
	if p.Executed == "" {
		return ExecutedUnknown
	}
	return p.Executed
}

func (p *Problem) retryAfterSeconds() int {
	retryAfter := p.RetryAfter
	if retryAfter <= 0 && codeInfos[p.Code].retryable {
		retryAfter = defaultRetryAfter
	}
	if retryAfter <= 0 {
		return 0
	}
	return int((retryAfter + time.Second - 1) / time.Second)
}

func (p *Problem) retryAfterHeader(seconds int) string {
	if !p.FractionalRetryAfter || p.RetryAfter <= 0 {
		return strconv.Itoa(seconds)
	}
	milliseconds := (p.RetryAfter + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(milliseconds)/1000, 'f', -1, 64)
}

// Write sends the problem as the response.
func (p *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Del("Content-Length")
	if seconds := p.retryAfterSeconds(); seconds > 0 {
		header.Set("Retry-After", p.retryAfterHeader(seconds))
	}
	if p.Code == Unauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if len(p.Allow) > 0 {
		header.Set("Allow", strings.Join(p.Allow, ", "))
	}
	w.WriteHeader(p.Code.Status())
	encoded, err := json.Marshal(p)
	if err != nil {
		return
	}
	// An error here means that the client has disconnected.
	_, _ = w.Write(append(encoded, '\n'))
}
