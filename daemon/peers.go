package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/sapphirefield/sapphirefield/configsync"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logservice"
	"github.com/sapphirefield/sapphirefield/wire"
)

// askedPeers is how many peers are asked for their revision at once. The
// highest revision among a few is taken, and the log corrects what is missing.
const askedPeers = 4

// peerStates asks sidecars for the configuration while the log cannot help.
type peerStates struct {
	self   string
	dialer link.Dialer

	// listed is closed once an instance list was read.
	listed chan struct{}

	mu   sync.Mutex
	list []logservice.Instance
}

func newPeerStates(self string, dialer link.Dialer) *peerStates {
	return &peerStates{self: self, dialer: dialer, listed: make(chan struct{})}
}

func (p *peerStates) set(list []logservice.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list == nil {
		close(p.listed)
	}
	p.list = append([]logservice.Instance{}, list...)
}

// some returns a few random instances.
func (p *peerStates) some() []logservice.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []logservice.Instance
	for _, i := range rand.Perm(len(p.list)) {
		if p.list[i].ID == p.self {
			continue
		}
		chosen = append(chosen, p.list[i])
		if len(chosen) == askedPeers {
			break
		}
	}
	return chosen
}

// States implements configsync.Peers. The first question waits for the instance
// list; without peers to ask, a fresh process would stay without a revision
// until the next question.
func (p *peerStates) States(ctx context.Context, after int64) [][]byte {
	select {
	case <-p.listed:
	case <-ctx.Done():
		return nil
	}
	var mu sync.Mutex
	var states [][]byte
	var group errgroup.Group
	for _, peer := range p.some() {
		group.Go(func() error {
			if state := p.ask(ctx, peer, after); len(state) > 0 {
				mu.Lock()
				defer mu.Unlock()
				states = append(states, state)
			}
			return nil
		})
	}
	_ = group.Wait()
	return states
}

func (p *peerStates) ask(ctx context.Context, peer logservice.Instance, after int64) []byte {
	conn, err := p.dialer.Dial(ctx, peer.ID, peer.Address)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCSidecarClient(conn).Revision(ctx, &wire.RevisionRequest{After: after})
	if err != nil {
		return nil
	}
	return reply.State
}

// revisionReply answers a peer from the configuration of this process.
func revisionReply(sync *configsync.Sync) func(after int64) *wire.RevisionReply {
	return func(after int64) *wire.RevisionReply {
		revision, digest, state, err := sync.State(after)
		if err != nil {
			return &wire.RevisionReply{}
		}
		return &wire.RevisionReply{Revision: revision, Digest: digest, State: state}
	}
}

// peerServer answers other processes on an entry's listener for peers, so that
// an entry can give its revision while the log is down.
type peerServer struct {
	wire.DRPCSidecarUnimplementedServer
	revision func(after int64) *wire.RevisionReply
}

// Revision implements the drpc service.
func (p *peerServer) Revision(_ context.Context, req *wire.RevisionRequest) (*wire.RevisionReply, error) {
	return p.revision(req.After), nil
}

// servePeers serves the listener for peers, if the settings name one.
func (p *process) servePeers(ctx context.Context) error {
	address := p.settings.Listen.PeerAddr
	if !address.IsValid() {
		return nil
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.WithStack(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSidecar(mux, &peerServer{revision: revisionReply(p.sync)}); err != nil {
		return errors.WithStack(err)
	}
	return link.Serve(ctx, countedListener{Listener: listener, counters: p.net}, p.tls.peers(), mux)
}
