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

// claimStream is the log stream with claims on idempotency keys.
const claimStream = "claims"

const (
	// claimWait is the length of one long poll for claims.
	claimWait = 20 * time.Second
	// claimRetryMin and claimRetryMax bound the pause after a failed call to the log.
	claimRetryMin = 50 * time.Millisecond
	claimRetryMax = 2 * time.Second
	// maxBatchClaims bounds the records of one append.
	maxBatchClaims = 512
	// maxQueuedClaims bounds the records that wait for an append.
	maxQueuedClaims = 1 << 14
)

// ClaimLog is the part of the log service that claims need. *logservice.Log
// implements it.
type ClaimLog interface {
	// Append adds a record. After an error the record may be on the log all the same.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on, waiting for the first for as long
	// as wait. A *logservice.ExpiredError says that records expired.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Batch, error)
}

// claims drives the claims of all keyed calls of an entry: it keeps the fold
// current, appends records in batches, and passes events to the calls' machines.
type claims struct {
	server *Server
	log    ClaimLog
	queue  *link.Queue[claimAppend]

	mu    sync.Mutex
	fold  *claim.State
	logUp bool
	calls map[*keyedCall]bool
}

// claimAppend is a record that waits for an append; call is nil for a
// record whose fate nobody waits for.
type claimAppend struct {
	record claim.Record
	call   *keyedCall
}

func newClaims(ctx context.Context, server *Server, log ClaimLog) *claims {
	c := &claims{
		server: server, log: log, queue: link.NewQueue[claimAppend](maxQueuedClaims),
		fold: claim.NewState(0), calls: make(map[*keyedCall]bool),
	}
	go c.read(ctx)
	go c.append(ctx)
	return c
}

// read folds the stream until ctx ends.
func (c *claims) read(ctx context.Context) {
	pause := claimRetryMin
	for ctx.Err() == nil {
		from, wait := c.nextRead()
		page, err := c.log.Read(ctx, claimStream, from, wait)
		var expired *logservice.ExpiredError
		if errors.As(err, &expired) && expired.FirstOffset > from {
			// A page without records moves the fold to the first readable one.
			page, err = logservice.Batch{FirstOffset: expired.FirstOffset}, nil
		}
		if err != nil {
			c.setLogUp(ctx, false, err)
			logservice.Pause(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, claimRetryMax)
			continue
		}
		pause = claimRetryMin
		c.setLogUp(ctx, true, nil)
		c.apply(page)
	}
}

// nextRead returns where and how long to read. A log that has not answered yet
// is asked without a wait: a long poll would keep keyed calls refused for its
// whole length after a start or an outage.
func (c *claims) nextRead() (from int64, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.logUp {
		return c.fold.NextOffset(), 0
	}
	return c.fold.NextOffset(), claimWait
}

// apply folds a page. A record that cannot be read has no effect, but its
// offset counts, so that all readers stay at the same offset.
func (c *claims) apply(page logservice.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fold.Trim(page.FirstOffset)
	for _, record := range page.Records {
		batch, err := claim.DecodeBatch(record.Data)
		if err != nil {
			batch = claim.Batch{}
		}
		c.fold.Apply(record.Offset, batch)
	}
	for call := range c.calls {
		c.act(call, call.machine.StateAdvanced(now()))
	}
}

func (c *claims) setLogUp(ctx context.Context, up bool, cause error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logUp == up {
		return
	}
	c.logUp = up
	event := logevent.LogAvailable
	if !up {
		event = logevent.LogUnavailable
	}
	logevent.Write(c.server.opts.Logger, event).Str("id", c.server.opts.ID).Str("stream", claimStream).AnErr("cause", cause).Msg("")
	if up {
		return
	}
	for call := range c.calls {
		c.act(call, call.machine.LogUnavailable(now()))
	}
}

// append writes waiting records in batches; while one append is on its way,
// the next batch gathers.
func (c *claims) append(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.queue.Ready():
		}
		waiting, _ := c.queue.Take()
		for len(waiting) > 0 && ctx.Err() == nil {
			n := min(len(waiting), maxBatchClaims)
			c.appendBatch(ctx, waiting[:n])
			waiting = waiting[n:]
		}
	}
}

func (c *claims) appendBatch(ctx context.Context, waiting []claimAppend) {
	var batch claim.Batch
	for _, w := range waiting {
		batch.Records = append(batch.Records, w.record)
	}
	data, err := batch.Encode()
	if err == nil {
		_, err = c.log.Append(ctx, claimStream, data)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range waiting {
		if w.call == nil || !c.calls[w.call] {
			continue
		}
		if err != nil {
			c.act(w.call, w.call.machine.AppendUnconfirmed(now()))
		} else {
			c.act(w.call, w.call.machine.AppendSucceeded(now()))
		}
	}
}

// start begins a keyed call.
func (c *claims) start(call *keyedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.machine = claim.NewMachine(call.spec, c.fold)
	c.calls[call] = true
	c.act(call, call.machine.Start(now(), c.logUp))
}

// ended records how the run of a keyed call ended.
func (c *claims) ended(call *keyedCall, outcome claim.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.act(call, call.machine.RunEnded(now(), outcome))
}

func (c *claims) cancel(call *keyedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.act(call, call.machine.Cancel())
}

func (c *claims) tick(call *keyedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[call] {
		c.act(call, call.machine.Tick(now()))
	}
}

// act carries out a machine's actions; it must be called with the lock held.
func (c *claims) act(call *keyedCall, actions []claim.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case claim.Append:
			w := claimAppend{record: a.Record}
			if !a.BestEffort {
				w.call = call
			}
			c.queue.Push(w)
		default:
			call.decided <- action
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
