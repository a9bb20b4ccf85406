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
	// maxQueuedFrames is the maximum number of frames queued for one sidecar, and
	// of events queued for one attempt.
	maxQueuedFrames = 1 << 16
	// minReconnectBackoff and maxReconnectBackoff bound the backoff between two
	// attempts to connect.
	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = 2 * time.Second
)

// peerEventKind is the kind of a peerEvent.
type peerEventKind int

const (
	peerFrame peerEventKind = iota
	// peerDisconnected means that the connection is lost; peerReconnected or
	// peerRemoved may follow.
	peerDisconnected
	// peerReconnected means that the same incarnation is connected again.
	peerReconnected
	// peerRemoved means that the process that had the attempt has restarted, or
	// that no further attempts to connect are made.
	peerRemoved
)

// peerEvent is a frame for an exchange, or a change of the connection's state.
type peerEvent struct {
	kind  peerEventKind
	peer  *peer
	frame *wire.WorkDown
	// token is set instead of frame for one token of a frame with many.
	token *wire.Token
}

// exchange receives the events of one attempt from all its peers.
type exchange struct {
	key    attempt.Key
	events *link.Queue[peerEvent]
	// onLateFailure is set once nobody waits for the exchange any more.
	onLateFailure func(*wire.Failed)
}

func newExchange(key attempt.Key) *exchange {
	return &exchange{key: key, events: link.NewQueue[peerEvent](maxQueuedFrames)}
}

// peer is the connection to one sidecar.
type peer struct {
	server *Server
	id     string
	// service is the service according to the instance list.
	service string
	cancel  context.CancelFunc

	mu      sync.Mutex
	address string
	zone    string
	leaving bool
	// connectTried is set once a connection attempt has failed or a connection has ended.
	connectTried bool
	queue        *link.Queue[*wire.WorkUp]
	liveness     *link.LivenessMonitor
	hello        *wire.Hello
	load         *wire.Load
	pending      map[attempt.Key]pendingExchange
	// cancelConn ends the current connection.
	cancelConn context.CancelCauseFunc
	// suspected is set when the sidecar has not answered a probe in time, until
	// its next frame.
	suspected bool
	// lastHeartbeat is the sequence number of the last heartbeat sent, and
	// lastHeartbeatAt its time; rtt is the smoothed round-trip time of heartbeats.
	lastHeartbeat   uint64
	lastHeartbeatAt time.Time
	rtt             time.Duration
}

// pendingExchange is an exchange in progress. It outlives a connection, so that
// it can continue on the next one to the same incarnation.
type pendingExchange struct {
	*exchange
	incarnation string
}

// run keeps a stream to the sidecar open until ctx is done.
func (p *peer) run(ctx context.Context) {
	backoff := minReconnectBackoff
	defer p.abandonExchanges()
	for ctx.Err() == nil {
		start := time.Now()
		err := p.runConnection(ctx)
		p.handleDisconnected(ctx, err)
		p.setConnectTried()
		if time.Since(start) > maxReconnectBackoff {
			backoff = minReconnectBackoff
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		}
		backoff = min(2*backoff, maxReconnectBackoff)
	}
}

func (p *peer) runConnection(ctx context.Context) error {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	ctx, cancelConn := context.WithCancelCause(ctx)
	defer cancelConn(nil)
	p.mu.Lock()
	p.cancelConn = cancelConn
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
	liveness := link.NewLivenessMonitor(time.Now(), link.HeartbeatTimeout)
	p.mu.Lock()
	p.liveness = liveness
	p.mu.Unlock()
	stopMonitor := liveness.Start(func() { cancelConn(link.ErrHeartbeatTimeout) })
	defer stopMonitor()
	var sending sync.WaitGroup
	sending.Go(func() {
		// Closing the connection also ends receive.
		defer func() { _ = conn.Close() }()
		cancelConn(p.send(ctx, stream, queue, liveness))
	})
	cancelConn(p.receive(stream, queue, liveness))
	sending.Wait()
	return context.Cause(ctx)
}

func (p *peer) send(ctx context.Context, stream wire.DRPCSidecar_WorkClient, queue *link.Queue[*wire.WorkUp], liveness *link.LivenessMonitor) error {
	hello := &wire.Hello{Id: p.server.opts.ID, Incarnation: p.server.incarnation, Zone: p.server.opts.Zone}
	if err := stream.Send(&wire.WorkUp{Body: &wire.WorkUp_Hello{Hello: hello}}); err != nil {
		return errors.WithStack(err)
	}
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	var scheduler link.HeartbeatScheduler
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case at := <-ticker.C:
			interval := link.HeartbeatIntervalFor(p.hasPending(), p.server.peers.count())
			liveness.SetTimeout(at, link.HeartbeatTimeoutFor(interval))
			if !scheduler.Due(at, interval) {
				continue
			}
			sequence++
			p.heartbeatSent(sequence, at)
			heartbeat := &wire.Heartbeat{Sequence: sequence, IntervalMs: uint32(interval.Milliseconds())}
			if err := stream.Send(&wire.WorkUp{Body: &wire.WorkUp_Heartbeat{Heartbeat: heartbeat}}); err != nil {
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
				return errors.New("the send queue to the sidecar is full")
			}
		}
	}
}

func (p *peer) receive(stream wire.DRPCSidecar_WorkClient, queue *link.Queue[*wire.WorkUp], liveness *link.LivenessMonitor) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.WithStack(err)
		}
		if !liveness.ObserveFrame(time.Now()) {
			return link.ErrHeartbeatTimeout
		}
		p.handleFrame(frame, queue)
	}
}

func (p *peer) trace(up *wire.WorkUp, down *wire.WorkDown) {
	if p.server.opts.Trace != nil {
		p.server.opts.Trace(p.id, up, down)
	}
}

func (p *peer) handleFrame(frame *wire.WorkDown, queue *link.Queue[*wire.WorkUp]) {
	p.trace(nil, frame)
	p.clearSuspected()
	switch body := frame.Body.(type) {
	case *wire.WorkDown_Hello:
		p.handleHello(body.Hello, queue)
	case *wire.WorkDown_Heartbeat:
		p.heartbeatAnswered(body.Heartbeat.Sequence, time.Now())
	case *wire.WorkDown_Load:
		p.handleLoad(body.Load)
	case *wire.WorkDown_Tokens:
		p.deliverTokens(body.Tokens)
	default:
		p.deliver(frameKey(frame), frame)
	}
}

func (p *peer) handleConnected(hello *wire.Hello, queue *link.Queue[*wire.WorkUp]) {
	p.mu.Lock()
	p.hello = hello
	p.queue = queue
	p.load = &wire.Load{Draining: hello.Draining, EngineUp: true}
	p.server.peers.connections.Add(1)
	for key, ex := range p.pending {
		kind := peerReconnected
		if ex.incarnation != hello.Incarnation {
			kind = peerRemoved
			delete(p.pending, key)
		}
		ex.events.Push(peerEvent{kind: kind, peer: p})
	}
	p.mu.Unlock()
	logevent.Write(p.server.opts.Logger, logevent.SidecarConnected).Str("id", p.server.opts.ID).Str("peer", p.id).Msg("")
	p.server.observeHello(p.id, hello.Incarnation)
	p.server.updateRouting()
}

func (p *peer) handleLoad(load *wire.Load) {
	p.mu.Lock()
	changed := p.load == nil || p.load.Draining != load.Draining || p.load.EngineUp != load.EngineUp
	entriesChanged := p.load.GetEntries() != load.Entries
	p.load = load
	hello := p.hello
	p.mu.Unlock()
	if load.Draining {
		p.server.observeEvidence(p.id, membership.Draining)
	} else {
		p.server.observeEvidence(p.id, membership.Heartbeat)
	}
	switch {
	case changed:
		p.server.updateRouting()
	case entriesChanged:
		p.server.scheduleRoutingUpdate()
	}
	p.server.observeLoad(p.id, hello, load)
}

// handleDisconnected notifies all exchanges that the connection is lost.
func (p *peer) handleDisconnected(ctx context.Context, cause error) {
	p.mu.Lock()
	wasConnected := p.queue != nil
	if wasConnected {
		p.queue.Close()
		for _, ex := range p.pending {
			ex.events.Push(peerEvent{kind: peerDisconnected, peer: p})
		}
	}
	p.queue = nil
	p.mu.Unlock()
	if ctx.Err() == nil {
		p.server.observeDisconnect(p.id, wasConnected, cause)
	}
	if wasConnected && ctx.Err() == nil {
		logevent.Write(p.server.opts.Logger, logevent.SidecarDisconnected).Str("id", p.server.opts.ID).Str("peer", p.id).AnErr("cause", cause).Msg("")
	}
	if wasConnected {
		p.server.updateRouting()
	}
}

// abandonExchanges notifies all exchanges that no further attempts to connect are
// made.
func (p *peer) abandonExchanges() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, ex := range p.pending {
		ex.events.Push(peerEvent{kind: peerRemoved, peer: p})
		delete(p.pending, key)
	}
}

// markSuspected keeps new work away from a sidecar that did not answer a probe in
// time, long before its connection reaches the heartbeat timeout.
func (p *peer) markSuspected() {
	p.mu.Lock()
	changed := !p.suspected
	p.suspected = true
	p.mu.Unlock()
	if changed {
		time.AfterFunc(suspectTimeout, p.reconnect)
		p.server.updateRouting()
	}
}

// suspectTimeout is how long a suspected sidecar may send nothing before its
// connection is replaced. Sidecars send their load every second.
const suspectTimeout = link.HeartbeatInterval * 5 / 4

// errProbeUnanswered ends a connection on which a probe was not answered. Membership
// counts it as a lost connection, unlike link.ErrHeartbeatTimeout.
var errProbeUnanswered = errors.New("the sidecar did not answer a probe in time")

// reconnect replaces the connection of a suspected sidecar.
func (p *peer) reconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspected && p.cancelConn != nil {
		p.cancelConn(errProbeUnanswered)
	}
}

func (p *peer) clearSuspected() {
	p.mu.Lock()
	changed := p.suspected
	p.suspected = false
	p.mu.Unlock()
	if changed {
		p.server.updateRouting()
	}
}

func (p *peer) heartbeatSent(sequence uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeartbeat, p.lastHeartbeatAt = sequence, at
}

// roundTripGain is the weight of a new measurement of the round-trip time.
const roundTripGain = 0.25

func (p *peer) heartbeatAnswered(sequence uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sequence != p.lastHeartbeat {
		return
	}
	p.rtt += time.Duration(roundTripGain * float64(at.Sub(p.lastHeartbeatAt)-p.rtt))
}

func (p *peer) roundTrip() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rtt
}

// currentIncarnation returns the incarnation of the sidecar at the latest connection.
func (p *peer) currentIncarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hello.GetIncarnation()
}

// startExchange registers an exchange and queues its first frame. It returns false,
// with nothing sent, if the peer is not connected.
func (p *peer) startExchange(ex *exchange, frame func(incarnation string) *wire.WorkUp) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue == nil {
		return false
	}
	// The short timeout applies from the first request on, not from the next tick.
	p.liveness.SetTimeout(now(), link.HeartbeatTimeout)
	p.pending[ex.key] = pendingExchange{exchange: ex, incarnation: p.hello.Incarnation}
	if p.queue.Push(frame(p.hello.Incarnation)) {
		return true
	}
	delete(p.pending, ex.key)
	return false
}

// enqueue queues a further frame of an exchange. A frame is dropped only if the
// connection is lost, which the exchange learns from a peerDisconnected event.
func (p *peer) enqueue(frame *wire.WorkUp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue != nil {
		p.queue.Push(frame)
	}
}

func (p *peer) removeExchange(key attempt.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, key)
}

func (p *peer) deliver(key attempt.Key, frame *wire.WorkDown) {
	p.mu.Lock()
	ex, found := p.pending[key]
	var onLateFailure func(*wire.Failed)
	if found {
		onLateFailure = ex.onLateFailure
	}
	p.mu.Unlock()
	switch {
	case !found:
	case onLateFailure == nil:
		ex.events.Push(peerEvent{peer: p, frame: frame})
	case frame.GetFailed() != nil:
		onLateFailure(frame.GetFailed())
	}
}

// lateFailureTime is how long after an exchange was abandoned its failure is listened to.
const lateFailureTime = 500 * time.Millisecond

// abandonExchange removes an exchange a while later. Until then, a failure that the sidecar
// reports is passed to handle.
func (p *peer) abandonExchange(ex *exchange, handle func(*wire.Failed)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ex.onLateFailure = handle
	time.AfterFunc(lateFailureTime, func() { p.removeExchange(ex.key) })
}

// deliverTokens delivers each token of a frame to the exchange of its attempt.
func (p *peer) deliverTokens(tokens *wire.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, token := range tokens.Tokens {
		if ex, found := p.pending[attemptKey(token.Request, token.Attempt)]; found {
			ex.events.Push(peerEvent{peer: p, token: token})
		}
	}
}

// usable reports whether new work may be sent to the peer.
func (p *peer) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue != nil && !p.suspected && !p.leaving && !p.load.GetDraining() && p.load.GetEngineUp()
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

// connectedEntries returns how many entries are connected to the sidecar,
// according to its last load report.
func (p *peer) connectedEntries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.load.GetEntries())
}

// runningRequests returns the number of requests in progress according to the
// sidecar's last load report.
func (p *peer) runningRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.load.GetRunning())
}
