package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/membership"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// maxQueuedFrames bounds what waits for one sidecar, and what waits for one request.
	maxQueuedFrames = 1 << 16
	// reconnectMin and reconnectMax bound the pause between two attempts to connect.
	reconnectMin = 50 * time.Millisecond
	reconnectMax = 2 * time.Second
)

// peerEventKind tells what happened at a peer.
type peerEventKind int

const (
	peerFrame peerEventKind = iota
	// peerLost means that the connection is lost; peerBack or peerGone may follow.
	peerLost
	// peerBack means that the same incarnation is connected again.
	peerBack
	// peerGone means that the incarnation that had the attempt has ended, or is
	// not looked for any more.
	peerGone
)

// peerEvent is a frame for an exchange, or a change of the connection.
type peerEvent struct {
	kind  peerEventKind
	peer  *peer
	frame *wire.WorkDown
	// token is set instead of frame for one token out of a frame with many.
	token *wire.Token
}

// exchange receives the events of one attempt from all its peers.
type exchange struct {
	key    attempt.Key
	events *link.Queue[peerEvent]
}

func newExchange(key attempt.Key) *exchange {
	return &exchange{key: key, events: link.NewQueue[peerEvent](maxQueuedFrames)}
}

// peer is the connection to one sidecar.
type peer struct {
	server *Server
	id     string
	// service is what the instance list says.
	service string
	cancel  context.CancelFunc

	mu      sync.Mutex
	address string
	zone    string
	leaving bool
	// tried is set once an attempt to connect has ended.
	tried   bool
	queue   *link.Queue[*wire.WorkUp]
	silence *link.LivenessMonitor
	hello   *wire.Hello
	load    *wire.Load
	pending map[attempt.Key]pendingExchange
	// drop ends the present connection.
	drop context.CancelCauseFunc
	// silent is set when the sidecar left a question unanswered, until its next frame.
	silent bool
	// beatAt is when the heartbeat with number beat was sent; rtt is the
	// smoothed time until its answer.
	beat   uint64
	beatAt time.Time
	rtt    time.Duration
}

// pendingExchange outlives a connection, so that it can go on with the next one.
type pendingExchange struct {
	*exchange
	incarnation string
}

// run keeps a stream to the sidecar until ctx ends.
func (p *peer) run(ctx context.Context) {
	pause := reconnectMin
	defer p.gone()
	for ctx.Err() == nil {
		began := time.Now()
		err := p.drive(ctx)
		p.disconnected(ctx, err)
		p.setTried()
		if time.Since(began) > reconnectMax {
			pause = reconnectMin
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, reconnectMax)
	}
}

func (p *peer) drive(ctx context.Context) error {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	ctx, drop := context.WithCancelCause(ctx)
	defer drop(nil)
	p.mu.Lock()
	p.drop = drop
	p.mu.Unlock()
	conn, err := p.server.opts.Dialer.Dial(ctx, p.id, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCSidecarClient(conn).Work(ctx)
	if err != nil {
		return errors.WithStack(err)
	}
	queue := link.NewQueue[*wire.WorkUp](maxQueuedFrames)
	silence := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
	p.mu.Lock()
	p.silence = silence
	p.mu.Unlock()
	stopWatch := silence.Start(func() { drop(link.ErrHeartbeatTimeout) })
	defer stopWatch()
	var sending sync.WaitGroup
	sending.Go(func() {
		// Closing the connection ends the receiving side as well.
		defer func() { _ = conn.Close() }()
		drop(p.send(ctx, stream, queue, silence))
	})
	drop(p.receive(stream, queue, silence))
	sending.Wait()
	return context.Cause(ctx)
}

func (p *peer) send(ctx context.Context, stream wire.DRPCSidecar_WorkClient, queue *link.Queue[*wire.WorkUp], silence *link.LivenessMonitor) error {
	hello := &wire.Hello{Id: p.server.opts.ID, Incarnation: p.server.incarnation, Zone: p.server.opts.Zone}
	if err := stream.Send(&wire.WorkUp{Body: &wire.WorkUp_Hello{Hello: hello}}); err != nil {
		return errors.WithStack(err)
	}
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	var pace link.HeartbeatScheduler
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case at := <-ticker.C:
			interval := link.HeartbeatIntervalFor(p.busy(), p.server.peers.count())
			silence.SetTimeout(at, link.HeartbeatTimeoutFor(interval))
			if !pace.Due(at, interval) {
				continue
			}
			sequence++
			p.beatSent(sequence, at)
			beat := &wire.Heartbeat{Sequence: sequence, IntervalMs: uint32(interval.Milliseconds())}
			if err := stream.Send(&wire.WorkUp{Body: &wire.WorkUp_Heartbeat{Heartbeat: beat}}); err != nil {
				return errors.WithStack(err)
			}
		case <-queue.Ready():
			frames, open := queue.Take()
			for _, frame := range frames {
				p.trace(frame, nil)
				if err := stream.Send(frame); err != nil {
					return errors.WithStack(err)
				}
			}
			if !open {
				return errors.New("too many frames wait for the sidecar")
			}
		}
	}
}

func (p *peer) receive(stream wire.DRPCSidecar_WorkClient, queue *link.Queue[*wire.WorkUp], silence *link.LivenessMonitor) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !silence.ObserveFrame(time.Now()) {
			return link.ErrHeartbeatTimeout
		}
		p.handle(frame, queue)
	}
}

func (p *peer) trace(up *wire.WorkUp, down *wire.WorkDown) {
	if p.server.opts.Trace != nil {
		p.server.opts.Trace(p.id, up, down)
	}
}

func (p *peer) handle(frame *wire.WorkDown, queue *link.Queue[*wire.WorkUp]) {
	p.trace(nil, frame)
	p.answered()
	switch body := frame.Body.(type) {
	case *wire.WorkDown_Hello:
		p.greeted(body.Hello, queue)
	case *wire.WorkDown_Heartbeat:
		p.beatAnswered(body.Heartbeat.Sequence, time.Now())
	case *wire.WorkDown_Load:
		p.loaded(body.Load)
	case *wire.WorkDown_Tokens:
		p.deliverTokens(body.Tokens)
	default:
		p.deliver(frameKey(frame), frame)
	}
}

func (p *peer) connected(hello *wire.Hello, queue *link.Queue[*wire.WorkUp]) {
	p.mu.Lock()
	p.hello = hello
	p.queue = queue
	p.load = &wire.Load{Draining: hello.Draining, EngineUp: true}
	for key, ex := range p.pending {
		kind := peerBack
		if ex.incarnation != hello.Incarnation {
			kind = peerGone
			delete(p.pending, key)
		}
		ex.events.Push(peerEvent{kind: kind, peer: p})
	}
	p.mu.Unlock()
	logevent.Write(p.server.opts.Logger, logevent.SidecarConnected).Str("id", p.server.opts.ID).Str("peer", p.id).Msg("")
	p.server.observeHello(p.id, hello.Incarnation)
	p.server.peersChanged()
}

func (p *peer) loaded(load *wire.Load) {
	p.mu.Lock()
	changed := p.load == nil || p.load.Draining != load.Draining || p.load.EngineUp != load.EngineUp
	shared := p.load.GetEntries() != load.Entries
	p.load = load
	hello := p.hello
	p.mu.Unlock()
	if load.Draining {
		p.server.observe(p.id, membership.Draining)
	} else {
		p.server.observe(p.id, membership.Heartbeat)
	}
	switch {
	case changed:
		p.server.peersChanged()
	case shared:
		p.server.peersChangeSoon()
	}
	p.server.observeLoad(p.id, hello, load)
}

// disconnected tells all exchanges that the connection is lost.
func (p *peer) disconnected(ctx context.Context, cause error) {
	p.mu.Lock()
	wasConnected := p.queue != nil
	if wasConnected {
		p.queue.Close()
		for _, ex := range p.pending {
			ex.events.Push(peerEvent{kind: peerLost, peer: p})
		}
	}
	p.queue = nil
	p.mu.Unlock()
	if ctx.Err() == nil {
		p.server.observeLost(p.id, wasConnected, cause)
	}
	if wasConnected && ctx.Err() == nil {
		logevent.Write(p.server.opts.Logger, logevent.SidecarDisconnected).Str("id", p.server.opts.ID).Str("peer", p.id).AnErr("cause", cause).Msg("")
	}
	if wasConnected {
		p.server.peersChanged()
	}
}

// gone tells all exchanges that nobody tries to reach the sidecar any more.
func (p *peer) gone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, ex := range p.pending {
		ex.events.Push(peerEvent{kind: peerGone, peer: p})
		delete(p.pending, key)
	}
}

// suspect keeps new work away from a sidecar that left a question unanswered,
// long before its connection counts as silent.
func (p *peer) suspect() {
	p.mu.Lock()
	changed := !p.silent
	p.silent = true
	p.mu.Unlock()
	if changed {
		time.AfterFunc(suspectLimit, p.redial)
		p.server.peersChanged()
	}
}

// suspectLimit is how long a sidecar that left a question unanswered may send
// nothing before its connection is replaced. It sends its load every second.
const suspectLimit = link.HeartbeatInterval * 5 / 4

// errUnanswered ends a connection on which a question stayed unanswered. It
// differs from link.ErrHeartbeatTimeout: membership counts it as an end of stream.
var errUnanswered = errors.New("the sidecar left a question unanswered")

// redial replaces a connection on which questions stay unanswered.
func (p *peer) redial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent && p.drop != nil {
		p.drop(errUnanswered)
	}
}

func (p *peer) answered() {
	p.mu.Lock()
	changed := p.silent
	p.silent = false
	p.mu.Unlock()
	if changed {
		p.server.peersChanged()
	}
}

func (p *peer) beatSent(sequence uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat, p.beatAt = sequence, at
}

// roundTripGain is the weight of a new measurement of the round-trip time.
const roundTripGain = 0.25

func (p *peer) beatAnswered(sequence uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sequence != p.beat {
		return
	}
	p.rtt += time.Duration(roundTripGain * float64(at.Sub(p.beatAt)-p.rtt))
}

func (p *peer) roundTrip() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rtt
}

// begin registers an exchange and sends its first frame. It returns false,
// with nothing sent, when the peer is not connected.
func (p *peer) begin(ex *exchange, frame func(incarnation string) *wire.WorkUp) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue == nil {
		return false
	}
	// The short limit counts from the first request on, not from the next tick.
	p.silence.SetTimeout(now(), link.HeartbeatTimeout)
	p.pending[ex.key] = pendingExchange{exchange: ex, incarnation: p.hello.Incarnation}
	if p.queue.Push(frame(p.hello.Incarnation)) {
		return true
	}
	delete(p.pending, ex.key)
	return false
}

// push sends a further frame of an exchange. A lost frame shows as the loss of the peer.
func (p *peer) push(frame *wire.WorkUp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue != nil {
		p.queue.Push(frame)
	}
}

func (p *peer) forget(key attempt.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, key)
}

func (p *peer) deliver(key attempt.Key, frame *wire.WorkDown) {
	p.mu.Lock()
	ex, found := p.pending[key]
	p.mu.Unlock()
	if found {
		ex.events.Push(peerEvent{peer: p, frame: frame})
	}
}

// deliverTokens splits a frame with the tokens of many requests.
func (p *peer) deliverTokens(tokens *wire.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, token := range tokens.Tokens {
		if ex, found := p.pending[attemptKey(token.Request, token.Attempt)]; found {
			ex.events.Push(peerEvent{peer: p, token: token})
		}
	}
}

// usable tells whether new work may go to the peer.
func (p *peer) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue != nil && !p.silent && !p.leaving && !p.load.GetDraining() && p.load.GetEngineUp()
}

func (p *peer) isConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue != nil
}

func (p *peer) info() (hello *wire.Hello, address, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hello, p.address, p.zone
}

func frameKey(frame *wire.WorkDown) attempt.Key {
	switch body := frame.Body.(type) {
	case *wire.WorkDown_Opened:
		return attemptKey(body.Opened.Request, body.Opened.Attempt)
	case *wire.WorkDown_Refused:
		return attemptKey(body.Refused.Request, body.Refused.Attempt)
	case *wire.WorkDown_CallHead:
		return attemptKey(body.CallHead.Request, body.CallHead.Attempt)
	case *wire.WorkDown_CallBody:
		return attemptKey(body.CallBody.Request, body.CallBody.Attempt)
	case *wire.WorkDown_CallEnd:
		return attemptKey(body.CallEnd.Request, body.CallEnd.Attempt)
	case *wire.WorkDown_WithdrawAck:
		return attemptKey(body.WithdrawAck.Request, body.WithdrawAck.Attempt)
	case *wire.WorkDown_Failed:
		return attemptKey(body.Failed.Request, body.Failed.Attempt)
	case *wire.WorkDown_Progress:
		return attemptKey(body.Progress.Request, body.Progress.Attempt)
	default:
		return attempt.Key{}
	}
}

// entries is how many entries the sidecar has a stream to, as it last reported.
func (p *peer) entries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.load.GetEntries())
}

// running is the work in progress that the sidecar last reported.
func (p *peer) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.load.GetRunning())
}
