package entry

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/claim"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// idempotencyKeyHeader is the header with a client's idempotency key.
const idempotencyKeyHeader = "Idempotency-Key"

const (
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// claimTimeout limits the wait until a claim is decided on the log.
	claimTimeout = 2 * time.Second
	// logOutageRetryAfter is the Retry-After time of a refusal during a log outage.
	logOutageRetryAfter = 5 * time.Second
	// defaultKeyWindow is how long a key is remembered if the service sets no time.
	defaultKeyWindow = 24 * time.Hour
)

// keyedCall is a call with an idempotency key.
type keyedCall struct {
	spec    claim.Call
	machine *claim.Machine
	timer   *time.Timer
	// decision receives the state machine's only decision: run, replay or refuse.
	decision chan claim.Action
}

// newKeyedCall returns nil for a call that needs no claim: one without a key,
// or one that may be retried anyway.
func (c *unaryCall) newKeyedCall(team, key string) (*keyedCall, *problem.Problem) {
	if key == "" || c.idempotent {
		return nil, nil
	}
	if len(key) > maxKeyBytes {
		return nil, problem.NotExecuted(problem.InvalidRequest, "the idempotency key is longer than 255 bytes")
	}
	window := c.service.IdempotencyKeyTTL
	if window <= 0 {
		window = defaultKeyWindow
	}
	return &keyedCall{
		decision: make(chan claim.Action, 1),
		spec: claim.Call{
			Claim: c.id, Key: claim.Key{Team: team, Service: c.service.Name, Value: key},
			Digest: claim.Digest(c.method, c.path, c.body), Window: window, OnLogOutage: c.service.OnLogOutage,
			Deadline: now().Add(claimTimeout), OutageRetryAfter: logOutageRetryAfter,
		},
	}, nil
}

// runKeyed runs the call if its claim wins. Otherwise it returns the outcome of
// the first call with the key, or a refusal.
func (c *unaryCall) runKeyed(ctx context.Context, keyed *keyedCall) (*unaryResponse, *problem.Problem) {
	claims := c.server.claims
	if claims == nil {
		return nil, problem.NotExecuted(problem.LogUnavailable, "idempotency keys need the log service")
	}
	claims.start(keyed)
	var decision claim.Action
	select {
	case decision = <-keyed.decision:
	case <-ctx.Done():
		claims.cancel(keyed)
		return nil, problem.NotExecuted(problem.DeadlineExceeded, "the call ended before its claim was settled")
	}
	switch d := decision.(type) {
	case claim.Replay:
		return replayedResponse(d.Outcome)
	case claim.Refuse:
		return nil, claimProblem(d)
	default:
		return c.runClaimed(ctx, keyed)
	}
}

func (c *unaryCall) runClaimed(ctx context.Context, keyed *keyedCall) (*unaryResponse, *problem.Problem) {
	response, prob := c.admitAndRun(ctx)
	c.server.claims.runEnded(keyed, claimOutcome(response, prob))
	return response, prob
}

func claimOutcome(response *unaryResponse, prob *problem.Problem) claim.Outcome {
	if response == nil {
		return claim.Outcome{Executed: attempt.ParseExecuted(string(prob.Executed))}
	}
	return claim.Outcome{
		Executed: attempt.ExecutedYes, Status: int(response.head.Status),
		ContentType: response.header("Content-Type"), Body: response.body,
	}
}

func (resp *unaryResponse) header(name string) string {
	for _, h := range resp.head.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// replayedResponse returns the response of the first call with the key, with a
// header that says so.
func replayedResponse(o claim.Outcome) (*unaryResponse, *problem.Problem) {
	if o.Status == 0 || o.BodyDropped {
		p := problem.NotExecuted(problem.OutcomeUnknown, "a call with this key was sent before and its answer is not kept")
		p.Executed = problem.Executed(o.Executed.String())
		return nil, p
	}
	headers := []*wire.Header{{Name: "Idempotency-Replayed", Value: "true"}}
	if o.ContentType != "" {
		headers = append(headers, &wire.Header{Name: "Content-Type", Value: o.ContentType})
	}
	return &unaryResponse{head: &wire.CallHead{Status: int32(o.Status), Headers: headers}, body: o.Body}, nil
}

func claimProblem(d claim.Refuse) *problem.Problem {
	details := map[claim.Code]string{
		claim.CodeKeyConflict:    "the idempotency key was used with another request",
		claim.CodeKeyExpired:     "the idempotency key is older than the time for which keys are remembered",
		claim.CodeInvalidRequest: "the idempotency key is not valid",
		claim.CodeLogUnavailable: "the claim on the idempotency key could not be settled; nothing was run",
		claim.CodeOutcomeUnknown: "a call with this key was sent before and its outcome is not known",
	}
	p := problem.NotExecuted(problem.Code(d.Code), details[d.Code])
	p.Executed = problem.Executed(d.Executed.String())
	p.RetryAfter = d.RetryAfter
	return p
}
