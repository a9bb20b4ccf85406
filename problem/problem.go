// Package problem writes the error answers that callers receive. Each answer is
// an application/problem+json body with a stable code and says whether the
// request was executed, so that a caller can decide if it may try again.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Code names the cause of an error answer. Callers' programs depend on these
// values, so a code is never renamed.
type Code string

// The codes of error answers.
const (
	Unauthorized     Code = "unauthorized"
	UnknownModel     Code = "unknown_model"
	UnknownService   Code = "unknown_service"
	UnknownRoute     Code = "unknown_route"
	InvalidRequest   Code = "invalid_request"
	BodyTooLarge     Code = "body_too_large"
	HeaderTooLarge   Code = "header_too_large"
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
)

// kind holds what all answers with one code have in common.
type kind struct {
	status int
	// retry is set when the same request may succeed later, so that the answer
	// always carries a time to come back.
	retry bool
}

var kinds = map[Code]kind{
	Unauthorized:     {status: http.StatusUnauthorized},
	UnknownModel:     {status: http.StatusNotFound},
	UnknownService:   {status: http.StatusNotFound},
	UnknownRoute:     {status: http.StatusNotFound},
	InvalidRequest:   {status: http.StatusBadRequest},
	BodyTooLarge:     {status: http.StatusRequestEntityTooLarge},
	HeaderTooLarge:   {status: http.StatusRequestHeaderFieldsTooLarge},
	MethodNotAllowed: {status: http.StatusMethodNotAllowed},
	Overloaded:       {status: http.StatusServiceUnavailable, retry: true},
	RateLimited:      {status: http.StatusTooManyRequests, retry: true},
	NoBackend:        {status: http.StatusServiceUnavailable, retry: true},
	Draining:         {status: http.StatusServiceUnavailable, retry: true},
	StageLost:        {status: http.StatusBadGateway, retry: true},
	DeadlineExceeded: {status: http.StatusGatewayTimeout},
	BackendFailed:    {status: http.StatusBadGateway},
	LogUnavailable:   {status: http.StatusServiceUnavailable, retry: true},
	KeyConflict:      {status: http.StatusConflict},
	KeyExpired:       {status: http.StatusGone},
	OutcomeUnknown:   {status: http.StatusBadGateway},
}

// Status returns the HTTP status of answers with the code.
func (c Code) Status() int {
	if k, ok := kinds[c]; ok {
		return k.status
	}
	return http.StatusInternalServerError
}

// Executed tells the caller whether a backend server ran the request. The
// values are those of attempt.Executed.String.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// ContentType is the media type of error answers (RFC 9457).
const ContentType = "application/problem+json"

// defaultRetryAfter is used when an answer needs a time to come back and its
// maker knows no better one.
const defaultRetryAfter = time.Second

// Problem is one error answer.
type Problem struct {
	Code   Code
	Detail string
	// Executed counts as unknown when it is empty.
	Executed Executed
	// RetryAfter is rounded up to whole seconds, or to milliseconds when Precise is set.
	RetryAfter time.Duration
	// FractionalRetryAfter is for callers that understand fractions of a second.
	FractionalRetryAfter bool
	// RequestID is the identity of the request in log lines.
	RequestID string
	// Allow lists the methods that a MethodNotAllowed answer names.
	Allow []string
}

// NotExecuted makes the answer for a request that certainly was not run.
func NotExecuted(code Code, detail string) *Problem {
	return &Problem{Code: code, Detail: detail, Executed: ExecutedNo}
}

// Error returns the code and the detail.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

// body is the JSON form. The type is about:blank, so the title is the status text, as RFC 9457 asks.
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

// MarshalJSON gives the body of the answer, also for an event in a stream that
// has already begun.
func (p *Problem) MarshalJSON() ([]byte, error) {
	status := p.Code.Status()
	return json.Marshal(body{
		Type:       "about:blank",
		Title:      http.StatusText(status),
		Status:     status,
		Code:       p.Code,
		Detail:     p.Detail,
		Executed:   p.executed(),
		RetryAfter: p.retrySeconds(),
		Request:    p.RequestID,
	})
}

func (p *Problem) executed() Executed {
	if p.Executed == "" {
		return ExecutedUnknown
	}
	return p.Executed
}

func (p *Problem) retrySeconds() int {
	after := p.RetryAfter
	if after <= 0 && kinds[p.Code].retry {
		after = defaultRetryAfter
	}
	if after <= 0 {
		return 0
	}
	return int((after + time.Second - 1) / time.Second)
}

func (p *Problem) retryText(seconds int) string {
	if !p.FractionalRetryAfter || p.RetryAfter <= 0 {
		return strconv.Itoa(seconds)
	}
	milliseconds := (p.RetryAfter + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(milliseconds)/1000, 'f', -1, 64)
}

// Write sends the answer.
func (p *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Del("Content-Length")
	if seconds := p.retrySeconds(); seconds > 0 {
		header.Set("Retry-After", p.retryText(seconds))
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
	// An error here means that the caller is gone.
	_, _ = w.Write(append(encoded, '\n'))
}
