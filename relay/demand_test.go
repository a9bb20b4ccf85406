package relay

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/demand"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// newRankedEntry returns an entry with streams of two ranks, those of one team.
func newRankedEntry(t *testing.T, routeRanks ...int) *peers {
	t.Helper()
	e := newTestEntry(t, streamRoute(false)).Entry
	var routes []config.Route
	for _, rank := range routeRanks {
		route := streamRoute(false)
		route.Rank = rank
		routes = append(routes, route)
	}
	document := *e.current.Load().Document
	document.Routes = routes
	e.current.Store(newRevision(Configuration{Document: &document}))
	return &peers{Entry: e, startNanos: 1, addresses: map[string]peerAddress{}}
}

// roomKept returns the fraction of the room that a stream leaves free.
func roomKept(p *peers, rank int, team string) float64 {
	room, _ := p.demand.kept("llm", p.demand.urgencyOf(rank, team))
	return room
}

// deliverMessage lets an entry hear what another one sends in a version.
func deliverMessage(t *testing.T, from, to *peers, sequence int64, version int) {
	t.Helper()
	sent := from.message(sequence)
	sent.sender = "other"
	m, err := decodeMessage(sent.encode(version))
	assert.NilError(t, err)
	to.handleMessage(m, netip.AddrPort{})
}

// Guards against urgent streams that wait at one entry while less urgent ones start at
// another, and against room that is kept for an entry that is silent or restarts.
func TestRoomIsKeptForStreamsThatWaitElsewhere(t *testing.T) {
	full, idle := newRankedEntry(t, 0, 1), newRankedEntry(t, 0, 1)
	now := time.Now()
	wait := &pathWaiter{ctx: t.Context(), find: func(time.Time) ([]pipeline.Hop, *reservation, error) { return nil, nil, pipeline.ErrNoChain }}
	wait.Team, wait.Work, wait.Arrived, wait.Target, wait.Deadline = "team", 800, now.Add(-time.Second), now.Add(2*time.Second), now.Add(time.Minute)
	_, done := full.waitRoom("llm").enter(now, wait)
	assert.Assert(t, !done)

	deliverMessage(t, full, idle, 1, messageVersion)
	idle.demand.update(now)
	assert.Equal(t, roomKept(idle, 1, "team"), 0.0, "an older version reports nothing")

	deliverMessage(t, full, idle, 2, demandVersion)
	idle.demand.update(now)
	assert.Assert(t, roomKept(idle, 1, "team") > 0)
	assert.Equal(t, roomKept(idle, 0, "team"), 0.0)

	fresh := &pathWaiter{ctx: t.Context(), find: wait.find, Waiting: wait.Waiting}
	fresh.Arrived = now
	_, done = full.waitRoom("llm").enter(now, fresh)
	assert.Assert(t, !done)
	assert.Equal(t, full.message(3).demand[demand.IDOf("llm")][0].Waiting, 800.0, "a stream that has just come lacks nothing")

	// The entry falls silent.
	for range 30 {
		now = now.Add(demandInterval)
		idle.demand.update(now)
	}
	assert.Equal(t, roomKept(idle, 1, "team"), 0.0)
}

// Guards against messages that older entries cannot read, and against a cost for
// deployments with one rank.
func TestMessagesOfVersion5StayTheSame(t *testing.T) {
	one := newRankedEntry(t, 1, 1)
	one.demand.record(time.Now(), "llm", 2, 800, begun)
	m := one.message(1)
	assert.Equal(t, len(m.demand), 0)
	assert.DeepEqual(t, m.encode(demandVersion), m.encode(messageVersion))

	two := newRankedEntry(t, 0, 1)
	two.demand.record(time.Now(), "llm", 0, 800, begun)
	two.demand.record(time.Now(), "llm", 2, 800, begun)
	m = two.message(1)
	state := m.encode(messageVersion)
	assert.Equal(t, state[0], byte(messageVersion))
	// 6 bytes for the model, and a few for each rank in use.
	const modelBytes, rankBytes = 6, 7
	assert.Assert(t, len(m.encode(demandVersion)) <= len(state)+modelBytes+2*rankBytes)

}

// Guards against a team whose burst costs other teams of its rank.
func TestTeamOverItsShareIsLessUrgent(t *testing.T) {
	e := newRankedEntry(t, 0, 1)
	now := time.Now()
	held := map[string]usage{}
	document := *e.current.Load().Document
	for team, tokens := range map[string]float64{"large": 9000, "a": 1000, "b": 1000} {
		document.Teams = append(document.Teams, config.Team{Name: team, Weight: 1})
		held[teamID(team)] = usage{requests: 1, tokens: tokens}
	}
	e.current.Store(newRevision(Configuration{Document: &document}))
	e.fleet.reserve(held)
	e.demand.update(now)
	assert.Equal(t, e.demand.urgencyOf(0, "large"), e.demand.urgencyOf(0, "a"), "nothing lacks room")
	e.demand.record(now, "llm", 0, 800, noPath)
	e.demand.update(now)
	assert.Assert(t, e.demand.urgencyOf(0, "large") > e.demand.urgencyOf(0, "a"))
	assert.Assert(t, e.demand.urgencyOf(0, "large") < e.demand.urgencyOf(1, "a"))
	assert.Assert(t, roomKept(e, 0, "large") > 0 && roomKept(e, 0, "b") == 0)
}

// Guards against less urgent streams that use up the retries while urgent ones are
// refused for lack of one. Room is not kept for these.
func TestRetriesAreKeptForUrgentStreams(t *testing.T) {
	e := newRankedEntry(t, 0, 1)
	now := time.Now()
	urgent := &request{Entry: e.Entry, revision: e.current.Load(), target: "llm", info: RequestInfo{PromptTokens: 800}}
	later := *urgent
	later.rank = 1
	budget := e.budget("llm")
	for budget.Take(now, false) {
	}
	assert.Assert(t, !urgent.takeRetry())
	e.demand.update(now)
	for budget.Left(now) < 2 {
		for range 10 {
			budget.RecordRequest(now)
		}
	}
	assert.Assert(t, !later.takeRetry())
	later.firstByte = now
	assert.Assert(t, later.takeRetry(), "a stream that has begun leaves nothing")
	assert.Assert(t, urgent.takeRetry())
	assert.Equal(t, roomKept(e, 1, ""), 0.0)
}

// Guards against kept room that no stream heeds, and against streams that are not
// counted. A stream that no engine could hold does not lack room.
func TestStreamsLeaveRoomAndAreCounted(t *testing.T) {
	route := streamRoute(false)
	route.Rank, route.Timeout = 1, time.Second
	e := newTestEntry(t, route, newBackend(t, events(2, true)))
	document := *e.current.Load().Document
	urgent := route
	urgent.PathPrefix, urgent.Rank = "/urgent/", 0
	document.Routes = []config.Route{route, urgent}
	document.Accelerators = []config.Accelerator{{Kind: "gpu", MemoryBytes: 1 << 20}}
	e.current.Store(newRevision(Configuration{Document: &document}))
	e.fleet.reserve(map[string]usage{"s0": {requests: 1, layerTokens: 0.92 * (1 << 20)}})
	status := func() int {
		response, _, err := e.send(t, http.MethodPost)
		assert.NilError(t, err)
		return response.StatusCode
	}
	lack := demand.Report{demand.IDOf("llm"): {{Refused: 1e6}}}
	for _, other := range []string{"a", "b"} {
		e.demand.observe(time.Now(), other, lack)
	}
	e.demand.update(time.Now())
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	load := e.demand.report(time.Now())[demand.IDOf("llm")][0]
	assert.Assert(t, load.Urgency == 2 && load.Refused > 0 && load.Started == 0, "%+v", load)

	e.demand.models = map[string]*modelDemand{}
	assert.Equal(t, status(), http.StatusOK)
	assert.Assert(t, e.demand.report(time.Now())[demand.IDOf("llm")][0].Started > 0)

	assert.Assert(t, e.fleet.servable(time.Now(), e.current.Load(), "llm", pipeline.RelayRequest{PromptTokens: 1 << 16}))
	assert.Assert(t, !e.fleet.servable(time.Now(), e.current.Load(), "llm", pipeline.RelayRequest{PromptTokens: 1 << 20}))
}

// Guards against messages that a program cannot read: one of an older version, also if
// it replaces a newer one under the same name.
func TestEachEntryGetsTheVersionThatItReads(t *testing.T) {
	p := newRankedEntry(t, 0, 1)
	p.demand.record(time.Now(), "llm", 0, 800, begun)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer conn.Close()
	p.conn = conn
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer receiver.Close()
	address := receiver.LocalAddr().String()
	received := func() byte {
		p.broadcast(p.message(1))
		buffer := make([]byte, maxDatagram)
		assert.NilError(t, receiver.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := receiver.Read(buffer)
		assert.NilError(t, err)
		return buffer[0]
	}
	p.applyEntry(Record{Key: "other", Value: []byte(`{"address":"` + address + `","zone":"a"}`)})
	assert.Equal(t, received(), byte(messageVersion))
	p.applyEntry(Record{Key: "other", Value: []byte(`{"address":"` + address + `","zone":"a","message_version":6,"started":7}`)})
	assert.Equal(t, received(), byte(demandVersion))
	p.learnAddress(message{sender: "other", startNanos: 8, version: messageVersion}, netip.AddrPort{})
	assert.Equal(t, received(), byte(messageVersion), "a restarted process may be older")
	p.learnAddress(message{sender: "other", startNanos: 8, version: demandVersion}, netip.AddrPort{})
	assert.Equal(t, received(), byte(demandVersion))
}
