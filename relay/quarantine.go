package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/quarantine"
)

const (
	// decideInterval is how often suspicions are judged.
	decideInterval = 100 * time.Millisecond
	// evidenceSendTime is how long messages repeat a suspicion, or that a part is
	// sound, because single messages may be lost.
	evidenceSendTime = 2 * time.Second
	// maxEvidence bounds what one message carries of each. Suspicions against contents
	// of requests, of which there are many at each crash, leave room for others.
	maxEvidence        = 64
	maxContentEvidence = 48
	// maxRepeatedEvidence bounds the suspicions in a message that are older than
	// evidenceSendTime. They are repeated while they count, for entries that were cut off.
	maxRepeatedEvidence = 8
	// maxToldSuspicions bounds the suspicions that are told in turn.
	maxToldSuspicions = 1024
	// soundProgress is how long an answer goes on until its prompt is taken for
	// sound: an engine may send a first event before it ends. soundInterval is how
	// often it is recorded again.
	soundProgress = 500 * time.Millisecond
	soundInterval = time.Second
)

// crashGuard blocks requests that crash servers, by the parts of their prompts or by
// their whole content. It is safe for concurrent use.
type crashGuard struct {
	*Entry
	// active is set while something is under suspicion or blocked. As long as it is
	// not, no request needs to be looked at.
	active   atomic.Bool
	mu       sync.Mutex
	detector *quarantine.Detector
	// suspicions and soundParts are what the messages of this entry tell the others;
	// soundParts holds the time until which they do.
	suspicions map[quarantine.Suspicion]*toldSuspicion
	soundParts map[string]time.Time
	// unsaved are the changes that the store has not accepted yet: the time until
	// which a part is blocked, or the zero time for a part that is released.
	unsaved map[string]time.Time
	save    trigger
	// saveAgain triggers that all blocked parts are saved again.
	saveAgain trigger
	// ended are exchanges that ended while their servers accepted connections, the
	// oldest first.
	ended []endedExchange
	// timeWithoutNews is the time for which this entry had no news of the servers, until
	// newsCheckedAt.
	timeWithoutNews time.Duration
	newsCheckedAt   time.Time
	// leaveProbes are the probes of servers whose clients have left.
	leaveProbes sync.WaitGroup
}

func newCrashGuard(e *Entry) *crashGuard {
	return &crashGuard{
		Entry: e, detector: quarantine.New(), suspicions: map[quarantine.Suspicion]*toldSuspicion{}, soundParts: map[string]time.Time{},
		unsaved: map[string]time.Time{}, save: make(trigger, 1), saveAgain: make(trigger, 1),
	}
}

// evidence is what an entry tells the others about prompt parts.
type evidence struct {
	suspicions []quarantine.Suspicion
	// sound are suspected or blocked parts of requests that the sender has seen
	// answered.
	sound  []string
	blocks []quarantine.Block
}

// blocked returns the first part of a prompt that is blocked, if there is one.
func (g *crashGuard) blocked(now time.Time, parts []string) (quarantine.Block, bool) {
	if len(parts) == 0 || !g.active.Load() {
		return quarantine.Block{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Blocked(now, parts)
}

// mayProbe reports whether a request with a blocked part is let through, to find out
// whether the part still crashes engines. Only the holder of the lease probes, so
// that one request of the whole fleet does.
func (g *crashGuard) mayProbe(now time.Time, request string, block quarantine.Block) bool {
	if !g.isWatcher() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.detector.Probe(now, block.Part) {
		return false
	}
	logevent.Write(g.logger, logevent.PromptPartProbed).Str("part", block.Part).Str("request", request).Msg("")
	return true
}

// mayRepeat reports whether a repeat of a request with these parts is no risk for the
// servers.
func (g *crashGuard) mayRepeat(now time.Time, parts []string) bool {
	if !g.active.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.MayRepeat(now, parts)
}

// hasUnknownPart reports whether some part of a prompt is not known to be sound.
func (g *crashGuard) hasUnknownPart(now time.Time, parts []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool { return !g.detector.IsSound(now, part) })
}

// observeSound records that a request with these parts is being answered.
func (g *crashGuard) observeSound(now time.Time, parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		g.clear(now, part, "a request with it was answered")
	}
}

// clear records that a part is sound. The caller holds the lock.
func (g *crashGuard) clear(now time.Time, part, cause string) {
	if !g.detector.ObserveSound(now, part) {
		return
	}
	logevent.Write(g.logger, logevent.PromptPartReleased).Str("part", part).Str("cause", cause).Msg("")
	g.tellSound(now, part)
	g.unsaved[part] = time.Time{}
	g.save.fire()
}

func (g *crashGuard) tellSound(now time.Time, part string) {
	if len(g.soundParts) < maxEvidence {
		g.soundParts[part] = now.Add(evidenceSendTime)
	}
}

// recordCrash suspects the parts of a request that was in progress when an engine
// crashed, and tells the other entries.
func (g *crashGuard) recordCrash(now time.Time, request string, crash crashedEngine, parts []string) {
	logevent.Write(g.logger, logevent.EngineCrashedUnderRequest).Str("server", crash.id).Int64("born", crash.startTimeMillis).
		Str("request", request).Strs("parts", parts).Msg("")
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range quarantine.Suspicions(crash.hash(), parts) {
		if g.detector.IsSound(now, s.Part) {
			continue
		}
		g.detector.Suspect(now, s)
		if len(g.suspicions) < maxToldSuspicions {
			g.suspicions[s] = &toldSuspicion{since: now}
		}
	}
	g.active.Store(g.detector.Active())
	g.sendNow.fire()
}

// crashedEngine identifies the process of an engine that has crashed.
type crashedEngine struct {
	id              string
	startTimeMillis int64
}

// hash is the same at all entries.
func (c crashedEngine) hash() uint64 {
	return xxhash.Sum64String(c.id + " " + strconv.FormatInt(c.startTimeMillis, 10))
}

// applyPeerEvidence evaluates what another entry tells.
func (g *crashGuard) applyPeerEvidence(now time.Time, e evidence) {
	if len(e.suspicions)+len(e.sound)+len(e.blocks) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range e.sound {
		g.clear(now, part, "another entry has seen a request with it answered")
	}
	for _, s := range e.suspicions {
		if g.detector.IsSound(now, s.Part) {
			g.tellSound(now, s.Part)
		}
		g.detector.Suspect(now, s)
	}
	for _, b := range e.blocks {
		if g.detector.IsRefuted(now, b) {
			g.tellSound(now, b.Part)
		}
		g.adopt(now, b, "another entry")
	}
	g.active.Store(g.detector.Active())
}

// adopt blocks a part that others have blocked. The caller holds the lock.
func (g *crashGuard) adopt(now time.Time, b quarantine.Block, source string) {
	if g.detector.Adopt(now, b) {
		g.active.Store(true)
		logevent.Write(g.logger, logevent.PromptPartBlocked).Str("part", b.Part).Dur("remaining_ms", b.Remaining).Str("source", source).Msg("")
	}
}

// evidence returns what the next message tells the other entries.
func (g *crashGuard) evidence(now time.Time) (e evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.suspicions = g.tellSuspicions(now)
	for part, until := range g.soundParts {
		if now.After(until) {
			delete(g.soundParts, part)
			continue
		}
		e.sound = append(e.sound, part)
	}
	e.blocks = g.detector.Blocks(now)
	return e
}

// toldSuspicion is a suspicion of this entry that its messages tell the others.
type toldSuspicion struct {
	since time.Time
	// latest is when a message last told it.
	latest time.Time
}

func (t *toldSuspicion) isRepeat(now time.Time) bool { return now.Sub(t.since) > evidenceSendTime }

// tellSuspicions returns the suspicions that the next message tells: those that were told
// least recently. A suspicion that no longer counts here is not repeated. The caller holds
// the lock.
func (g *crashGuard) tellSuspicions(now time.Time) (told []quarantine.Suspicion) {
	maps.DeleteFunc(g.suspicions, func(s quarantine.Suspicion, t *toldSuspicion) bool {
		return t.isRepeat(now) && !g.detector.Holds(s)
	})
	waiting := slices.SortedFunc(maps.Keys(g.suspicions), func(a, b quarantine.Suspicion) int {
		return cmp.Or(g.suspicions[a].latest.Compare(g.suspicions[b].latest), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Crash, b.Crash))
	})
	repeats, contents := 0, 0
	for _, s := range waiting {
		t := g.suspicions[s]
		isRepeat, isContent := t.isRepeat(now), quarantine.IsRequest(s.Part)
		if len(told) == maxEvidence || isRepeat && repeats == maxRepeatedEvidence || isContent && contents == maxContentEvidence {
			continue
		}
		if isRepeat {
			repeats++
		}
		if isContent {
			contents++
		}
		t.latest = now
		told = append(told, s)
	}
	return told
}

// decide blocks the parts that have crashed too many engines.
func (g *crashGuard) decide(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range g.detector.Decide(now) {
		logevent.Write(g.logger, logevent.PromptPartBlocked).Str("part", part).Dur("remaining_ms", quarantine.BlockTime).Str("source", "this entry").Msg("")
		g.unsaved[part] = now.Add(quarantine.BlockTime)
		g.save.fire()
	}
	g.active.Store(g.detector.Active())
}

// runDecisions judges suspicions until ctx ends.
func (g *crashGuard) runDecisions(ctx context.Context) error {
	for sleep(ctx, decideInterval); ctx.Err() == nil; sleep(ctx, decideInterval) {
		g.recordRestarts(time.Now())
		g.decide(time.Now())
	}
	return ctx.Err()
}

// blockRecord is the record of a blocked part in the store. It outlives the
// entries, which may all end at the same moment.
type blockRecord struct {
	UntilUnixMillis int64 `json:"until"`
}

// runStore reads the blocked parts from the store once, and saves changes until ctx
// ends.
func (g *crashGuard) runStore(ctx context.Context) error {
	backoff := g.backoff()
	for failures := 0; ctx.Err() == nil; {
		batch, err := g.store.ReadLatest(ctx, TopicBlockedParts)
		if err == nil {
			g.applyRecords(time.Now(), batch.Records)
			break
		}
		failures++
		g.logStoreFailure(TopicBlockedParts, failures, err)
		sleep(ctx, backoff.Delay(failures))
	}
	for ctx.Err() == nil {
		select {
		case <-g.save:
		case <-g.saveAgain:
			g.saveAll(time.Now())
		case <-time.After(saveInterval):
		case <-ctx.Done():
		}
		g.saveChanges(ctx)
	}
	return ctx.Err()
}

// saveAll saves all blocked parts again, because the store has lost some.
func (g *crashGuard) saveAll(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.detector.Blocks(now) {
		g.unsaved[b.Part] = now.Add(b.Remaining)
	}
}

// saveInterval is how long after a failure a change is saved again.
const saveInterval = time.Second

func (g *crashGuard) applyRecords(now time.Time, records []Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		var record blockRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			logevent.Write(g.logger, logevent.BlockRecordUnreadable).Str("part", r.Key).Str("cause", err.Error()).Msg("")
			continue
		}
		remaining := time.UnixMilli(record.UntilUnixMillis).Sub(now)
		if remaining <= 0 {
			g.unsaved[r.Key] = time.Time{}
			g.save.fire()
			continue
		}
		g.adopt(now, quarantine.Block{Part: r.Key, Remaining: remaining}, "store")
	}
	g.active.Store(g.detector.Active())
}

// saveChanges writes the changes that the store has not accepted yet. A repeated
// write does no harm: the newest record of a part counts.
func (g *crashGuard) saveChanges(ctx context.Context) {
	g.mu.Lock()
	changes := make(map[string]time.Time, len(g.unsaved))
	for part, until := range g.unsaved {
		changes[part] = until
	}
	g.mu.Unlock()
	for part, until := range changes {
		record := Record{Key: part}
		if !until.IsZero() {
			value, err := json.Marshal(blockRecord{until.UnixMilli()})
			if err != nil {
				continue
			}
			record.Value = value
		}
		if _, err := g.store.Append(ctx, TopicBlockedParts, record, AnyPosition); err != nil {
			logevent.Write(g.logger, logevent.BlockNotSaved).Str("part", part).Str("cause", err.Error()).Msg("")
			continue
		}
		g.mu.Lock()
		if g.unsaved[part].Equal(until) {
			delete(g.unsaved, part)
		}
		g.mu.Unlock()
	}
}
