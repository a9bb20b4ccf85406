package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// server is a stand-in server that faults can end or mark as leaving.
type server interface {
	Crash()
	StartDraining()
}

// member is a server with the proxy through which entries reach it.
type member[S server] struct {
	server S
	proxy  *proxy
	// again starts another server in its place.
	again func() error
}

// members are the servers of one kind that faults may choose.
type members[S server] []*member[S]

// startMember starts a server behind a proxy. start is given the function that
// returns the address under which entries reach a server.
func startMember[S server](r *run, list *members[S], start func(public func(string) string) (S, error)) error {
	var p *proxy
	var failed error
	s, err := start(func(address string) string {
		if p, failed = newProxy(address); failed != nil {
			return address
		}
		return p.address()
	})
	if err != nil || failed != nil {
		return errors.Errorf("stand-in server: %v %v", err, failed)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, &member[S]{s, p, func() error { return startMember(r, list, start) }})
	return nil
}

// stop ends all servers.
func (m members[S]) stop() {
	for _, one := range m {
		one.end()
	}
}

func (m *member[S]) end() {
	m.server.Crash()
	m.proxy.close()
}

// pick returns a server that stays among those that faults may choose.
func pick[S server](r *run, list *members[S], random *rand.Rand) *member[S] {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (*list)[random.IntN(len(*list))]
}

// take removes a server from those that further faults may choose.
func take[S server](r *run, list *members[S], random *rand.Rand) *member[S] {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := random.IntN(len(*list))
	m := (*list)[i]
	if len(*list) > 1 {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return m
}

// crash ends a server at once and starts another one after a time.
func crash[S server](ctx context.Context, r *run, m *member[S], d time.Duration) {
	m.server.Crash()
	sleep(ctx, d)
	m.proxy.close()
	r.must(m.again())
}

// replace starts another server before the old one leaves.
func replace[S server](ctx context.Context, r *run, m *member[S], d time.Duration) {
	r.must(m.again())
	m.server.StartDraining()
	sleep(ctx, drainTime+d)
	m.end()
}
