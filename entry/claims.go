package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/claim"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// claimStream is the log stream that holds the claims on idempotency keys.
const claimStream = "claims"

const (
	// claimPollTimeout is the duration of one long poll for claims.
	claimPollTimeout = 20 * time.Second
	// minClaimBackoff and maxClaimBackoff bound the backoff after a failed read of the log.
	minClaimBackoff = 50 * time.Millisecond
	maxClaimBackoff = 2 * time.Second
	// maxBatchClaims is the maximum number of records in one append.
	maxBatchClaims = 512
	// maxQueuedClaims is the maximum number of records waiting for an append.
	maxQueuedClaims = 1 << 14
)

// ClaimLog is the subset of the log service that claims use. *logservice.Log
// implements it.
type ClaimLog interface {
	// Append adds a record and returns its offset. After an error the record may
	// still have been appended.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records starting at an offset and waits up to wait for the
	// first one. It returns a *logservice.ExpiredError if records have expired.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Batch, error)
}

// claimManager runs the claims of all calls with an idempotency key: it keeps
// the replicated claim state up to date, appends records in batches, and passes
// events to the state machines of the calls.
type claimManager struct {
	server *Server
	log    ClaimLog
	queue  *link.Queue[claimAppend]

	mu           sync.Mutex
	state        *claim.State
	logAvailable bool
	calls        map[*keyedCall]bool
}

// claimAppend is a record or a suspicion to be appended; call is nil for a best-effort
// record, whose result is not needed.
type claimAppend struct {
	record    claim.Record
	call      *keyedCall
	suspicion *claim.Suspicion
}

func newClaims(ctx context.Context, server *Server, log ClaimLog) *claimManager {
	c := &claimManager{
		server: server, log: log, queue: link.NewQueue[claimAppend](maxQueuedClaims),
		state: claim.NewState(0), calls: make(map[*keyedCall]bool),
	}
	go c.readLoop(ctx)
	go c.appendLoop(ctx)
	return c
}

// readLoop applies the stream to the state until ctx is done.
func (c *claimManager) readLoop(ctx context.Context) {
	backoff := minClaimBackoff
	for ctx.Err() == nil {
		from, wait := c.nextRead()
		page, err := c.log.Read(ctx, claimStream, from, wait)
		var expired *logservice.ExpiredError
		if errors.As(err, &expired) && expired.FirstOffset > from {
			// A page without records moves the state to the first readable offset.
			page, err = logservice.Batch{FirstOffset: expired.FirstOffset}, nil
		}
		if err != nil {
			c.setLogAvailable(ctx, false, err)
			logservice.Pause(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, maxClaimBackoff)
			continue
		}
		backoff = minClaimBackoff
		c.setLogAvailable(ctx, true, nil)
		c.applyRecords(page)
	}
}

// nextRead returns the offset to read from and how long to wait for records.
// While the log is not known to be available it is read without waiting: after
// a start or an outage, a long poll would cause calls with a key to be refused
// for its whole duration.
func (c *claimManager) nextRead() (from int64, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.logAvailable {
		return c.state.NextOffset(), 0
	}
	return c.state.NextOffset(), claimPollTimeout
}

// applyRecords applies a page to the state. A record that cannot be decoded has
// no effect, but its offset counts, so that all readers stay at the same offset.
func (c *claimManager) applyRecords(page logservice.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Trim(page.FirstOffset)
	for _, record := range page.Records {
		batch, err := claim.DecodeBatch(record.Data)
		if err != nil {
			batch = claim.Batch{}
		}
		c.state.Apply(record.Offset, batch)
		c.server.crashes.apply(batch.Suspicions)
	}
	for call := range c.calls {
		c.perform(call, call.machine.StateAdvanced(now()))
	}
}

func (c *claimManager) setLogAvailable(ctx context.Context, up bool, cause error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logAvailable == up {
		return
	}
	c.logAvailable = up
	event := logevent.LogAvailable
	if !up {
		event = logevent.LogUnavailable
	}
	logevent.Write(c.server.opts.Logger, event).Str("id", c.server.opts.ID).Str("stream", claimStream).AnErr("cause", cause).Msg("")
	if up {
		return
	}
	for call := range c.calls {
		c.perform(call, call.machine.LogUnavailable(now()))
	}
}

// appendLoop appends queued records in batches. While one append is in progress,
// the records of the next batch are queued.
func (c *claimManager) appendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.queue.Ready():
		}
		pending, _ := c.queue.Take()
		for len(pending) > 0 && ctx.Err() == nil {
			n := min(len(pending), maxBatchClaims)
			c.appendBatch(ctx, pending[:n])
			pending = pending[n:]
		}
	}
}

func (c *claimManager) appendBatch(ctx context.Context, pending []claimAppend) {
	var batch claim.Batch
	for _, queued := range pending {
		if queued.suspicion != nil {
			batch.Suspicions = append(batch.Suspicions, *queued.suspicion)
			continue
		}
		batch.Records = append(batch.Records, queued.record)
	}
	data, err := batch.Encode()
	if err == nil {
		_, err = c.log.Append(ctx, claimStream, data)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, queued := range pending {
		if queued.call == nil || !c.calls[queued.call] {
			continue
		}
		if err != nil {
			c.perform(queued.call, queued.call.machine.AppendUnconfirmed(now()))
		} else {
			c.perform(queued.call, queued.call.machine.AppendSucceeded(now()))
		}
	}
}

// writeSuspicion tells the other entries of a suspicion. It is lost if the log is not
// available: each entry then blocks by what it sees itself.
func (c *claimManager) writeSuspicion(s claim.Suspicion) {
	c.queue.Push(claimAppend{suspicion: &s})
}

// start starts the claim of a call.
func (c *claimManager) start(call *keyedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.machine = claim.NewMachine(call.spec, c.state)
	c.calls[call] = true
	c.perform(call, call.machine.Start(now(), c.logAvailable))
}

// runEnded reports the outcome of a call that won its claim.
func (c *claimManager) runEnded(call *keyedCall, outcome claim.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(call, call.machine.RunEnded(now(), outcome))
}

func (c *claimManager) cancel(call *keyedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(call, call.machine.Cancel())
}

func (c *claimManager) tick(call *keyedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[call] {
		c.perform(call, call.machine.Tick(now()))
	}
}

// perform executes the actions of a call's state machine; it must be called with
// c.mu held.
func (c *claimManager) perform(call *keyedCall, actions []claim.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case claim.Append:
			queued := claimAppend{record: a.Record}
			if !a.BestEffort {
				queued.call = call
			}
			c.queue.Push(queued)
		default:
			call.decision <- action
		}
	}
	if call.timer != nil {
		call.timer.Stop()
	}
	if call.machine.Done() {
		delete(c.calls, call)
		return
	}
	if next, due := call.machine.NextTick(); due {
		call.timer = time.AfterFunc(time.Until(next), func() { c.tick(call) })
	}
}
