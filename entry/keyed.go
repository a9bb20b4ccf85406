package entry

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/claim"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

// keyHeader is the header with which a caller names a call that it may repeat.
const keyHeader = "Idempotency-Key"

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// claimTimeout bounds the wait for a claim to be settled on the log.
	claimTimeout = 2 * time.Second
	// outageRetryAfter is the time to come back that a refusal during a log outage names.
	outageRetryAfter = 5 * time.Second
	// defaultKeyWindow is how long a key is remembered where the service states nothing.
	defaultKeyWindow = 24 * time.Hour
)

// keyedCall is a call with an idempotency key.
type keyedCall struct {
	spec    claim.Call
	machine *claim.Machine
	timer   *time.Timer
	// decided receives the machine's one decision: run, replay or refuse.
	decided chan claim.Action
}

// newKeyedCall returns nil for a call that needs no claim: one without a key,
// or one that may be repeated anyway.
func (c *plainCall) newKeyedCall(team, key string) (*keyedCall, *problem.Problem) {
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
		decided: make(chan claim.Action, 1),
		spec: claim.Call{
			Claim: c.id, Key: claim.Key{Team: team, Service: c.service.Name, Value: key},
			Digest: claim.Digest(c.method, c.path, c.body), Window: window, OnLogOutage: c.service.OnLogOutage,
			Deadline: now().Add(claimTimeout), OutageRetryAfter: outageRetryAfter,
		},
	}, nil
}

// runKeyed runs a call if its claim wins, otherwise it answers with the first
// call's outcome or with a refusal.
func (c *plainCall) runKeyed(ctx context.Context, keyed *keyedCall) (*plainAnswer, *problem.Problem) {
	claims := c.server.claims
	if claims == nil {
		return nil, problem.NotExecuted(problem.LogUnavailable, "idempotency keys need the log service")
	}
	claims.start(keyed)
	var decision claim.Action
	select {
	case decision = <-keyed.decided:
	case <-ctx.Done():
		claims.cancel(keyed)
		return nil, problem.NotExecuted(problem.DeadlineExceeded, "the call ended before its claim was settled")
	}
	switch d := decision.(type) {
	case claim.Replay:
		return replayedAnswer(d.Outcome)
	case claim.Refuse:
		return nil, claimProblem(d)
	default:
		return c.runClaimed(ctx, keyed)
	}
}

func (c *plainCall) runClaimed(ctx context.Context, keyed *keyedCall) (*plainAnswer, *problem.Problem) {
	answer, refused := c.admitAndRun(ctx)
	c.server.claims.ended(keyed, claimOutcome(answer, refused))
	return answer, refused
}

func claimOutcome(answer *plainAnswer, refused *problem.Problem) claim.Outcome {
	if answer == nil {
		return claim.Outcome{Executed: attempt.ParseExecuted(string(refused.Executed))}
	}
	return claim.Outcome{
		Executed: attempt.ExecutedYes, Status: int(answer.head.Status),
		ContentType: answer.header("Content-Type"), Body: answer.body,
	}
}

func (a *plainAnswer) header(name string) string {
	for _, h := range a.head.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// replayedAnswer repeats the first call's answer. Its header tells that the call did not run again.
func replayedAnswer(o claim.Outcome) (*plainAnswer, *problem.Problem) {
	if o.Status == 0 || o.BodyDropped {
		p := problem.NotExecuted(problem.OutcomeUnknown, "a call with this key was sent before and its answer is not kept")
		p.Executed = problem.Executed(o.Executed.String())
		return nil, p
	}
	headers := []*wire.Header{{Name: "Idempotency-Replayed", Value: "true"}}
	if o.ContentType != "" {
		headers = append(headers, &wire.Header{Name: "Content-Type", Value: o.ContentType})
	}
	return &plainAnswer{head: &wire.CallHead{Status: int32(o.Status), Headers: headers}, body: o.Body}, nil
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
