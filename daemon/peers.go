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

// maxQueriedPeers is how many peers are queried at once. The highest revision
// among their replies is used; later ones are read from the log when it is
// available again.
const maxQueriedPeers = 4

// peerClient queries other processes for the configuration while the log
// service is unavailable.
type peerClient struct {
	self   string
	dialer link.Dialer

	// listReceived is closed once an instance list has been read.
	listReceived chan struct{}

	mu        sync.Mutex
	instances []logservice.Instance
}

func newPeerClient(self string, dialer link.Dialer) *peerClient {
	return &peerClient{self: self, dialer: dialer, listReceived: make(chan struct{})}
}

func (p *peerClient) setInstances(list []logservice.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instances == nil {
		close(p.listReceived)
	}
	p.instances = append([]logservice.Instance{}, list...)
}

// randomPeers returns up to maxQueriedPeers random instances other than this one.
func (p *peerClient) randomPeers() []logservice.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []logservice.Instance
	for _, i := range rand.Perm(len(p.instances)) {
		if p.instances[i].ID == p.self {
			continue
		}
		chosen = append(chosen, p.instances[i])
		if len(chosen) == maxQueriedPeers {
			break
		}
	}
	return chosen
}

// States implements configsync.Peers. The first query waits for the instance
// list; without known peers, a new process would have no revision until the
// next query.
func (p *peerClient) States(ctx context.Context, after int64) [][]byte {
	select {
	case <-p.listReceived:
	case <-ctx.Done():
		return nil
	}
	var mu sync.Mutex
	var states [][]byte
	var group errgroup.Group
	for _, peer := range p.randomPeers() {
		group.Go(func() error {
			if state := p.queryPeer(ctx, peer, after); len(state) > 0 {
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

// queryPeer returns the peer's state if it is newer than revision after, or nil
// if the query fails.
func (p *peerClient) queryPeer(ctx context.Context, peer logservice.Instance, after int64) []byte {
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

// revisionHandler returns a function that answers peers with the configuration
// state of this process.
func revisionHandler(configSync *configsync.Sync) func(after int64) *wire.RevisionReply {
	return func(after int64) *wire.RevisionReply {
		revision, digest, state, err := configSync.State(after)
		if err != nil {
			return &wire.RevisionReply{}
		}
		return &wire.RevisionReply{Revision: revision, Digest: digest, State: state}
	}
}

// peerServer serves an entry's configuration revision to other processes, which
// query it while the log service is unavailable.
type peerServer struct {
	wire.DRPCSidecarUnimplementedServer
	revision func(after int64) *wire.RevisionReply
}

// Revision implements wire.DRPCSidecarServer.
func (p *peerServer) Revision(_ context.Context, req *wire.RevisionRequest) (*wire.RevisionReply, error) {
	return p.revision(req.After), nil
}

// servePeers serves the peer listener, if the settings have one.
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
	if err := wire.DRPCRegisterSidecar(mux, &peerServer{revision: revisionHandler(p.configSync)}); err != nil {
		return errors.WithStack(err)
	}
	return link.Serve(ctx, countingListener{Listener: listener, counters: p.netCounters}, p.tlsKeys.peerListenerConfig(), mux)
}
