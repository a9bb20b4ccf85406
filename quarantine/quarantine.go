// Package quarantine decides which requests crash servers, by the parts of their
// prompts or by their whole content, and blocks them.
//
// It answers this load pattern: requests that share one part of their prompts, or
// one request that comes again and again, crash each server that begins to answer
// them, one after another, while other requests of the same team are sound. Every
// request in progress on a crashed server is under suspicion with it, so a part
// is judged by several crashes, and a part of requests that are answered is not
// under suspicion at all. The content of a request counts as one more part, which
// only the same request shares; it is blocked only if no part explains the crashes.
//
// The package does no I/O and reads no clock.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockingCrashes is the number of crashes after which a part is blocked. With
	// fewer, a sound part is too often in progress on engines that crash for another
	// reason.
	blockingCrashes = 3
	// tieCrashes is the number of crashes after which parts are blocked although
	// nothing tells them apart.
	tieCrashes = 4
	// answeredCrashes is the number of crashes after which a request is blocked that was
	// answered a short time ago. A request that comes often may have been in progress on
	// servers that crashed for another reason; but what was sound may begin to crash
	// servers, with a new version of them.
	answeredCrashes = 5
	// riskyCrashes is the number of crashes after which requests with a part are not
	// repeated: a repeat may crash one more engine.
	riskyCrashes = 2
	// soundTime is how long the answer to a request with a part clears the part. It
	// is short enough for a part to be blocked soon after it begins to crash engines.
	soundTime = 10 * time.Second
	// settleTime is how long after the first suspicion of a crash it is judged. The
	// entries hear of each other's suspicions a few hundred milliseconds late, and a
	// decision on a part of them may blame the wrong part.
	settleTime = 400 * time.Millisecond
	// suspicionTime is how long a crash counts.
	suspicionTime = time.Minute
	// BlockTime is how long a part is blocked. Requests with it are let through
	// afterwards, and the first crash blocks it again.
	BlockTime = 10 * time.Minute
	// probeWindow is how long one request with a blocked part may be let through, at
	// each of probeTimes.
	probeWindow = 2 * time.Second
	// relapseTime is how long a block that is over is remembered.
	relapseTime = time.Hour

	maxSuspects          = 2048
	droppedSuspects      = 256
	maxCrashes           = 1024
	maxBlocks            = 64
	maxCrashesPerBlock   = 64
	maxExplainedPerBlock = 1024
	maxSoundParts        = 4096
)

// probeTimes are the times after the begin of a block at which one request with the
// part is let through. If a part was blocked although it is sound, nothing else
// would show that: no request with it runs. There are few of them, because each may
// crash an engine.
var probeTimes = []time.Duration{10 * time.Second, 40 * time.Second, 130 * time.Second, 400 * time.Second}

// requestProbeTimes are the same for the content of a request. It is missed by few, and
// each probe may crash a server under requests of others.
var requestProbeTimes = []time.Duration{20 * time.Second, 300 * time.Second}

// requestPrefix begins the names of contents. No ID of a prompt part has a space.
const requestPrefix = "request "

// RequestPart returns the part that stands for the whole content of a request, by its
// hash.
func RequestPart(hash uint64) string { return requestPrefix + strconv.FormatUint(hash, 16) }

// ContentPart returns the part that stands for what a client repeats when it sends a
// request again: texts such as its target and its team, and its body.
func ContentPart(body []byte, texts ...string) string {
	hash := xxhash.New()
	for _, text := range texts {
		// Lengths keep neighbouring texts apart.
		_, _ = hash.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = hash.Write(body)
	return RequestPart(hash.Sum64())
}

// IsRequest reports whether a part stands for the whole content of a request.
func IsRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// requestDepth makes the parts of a prompt go before the content of the request.
const requestDepth = -1

// Suspicions returns what is suspected after the crash of a server under a request with
// these parts, which are in the order of its prompt.
func Suspicions(crash uint64, parts []string) []Suspicion {
	suspicions := make([]Suspicion, 0, len(parts))
	for depth, part := range parts {
		if IsRequest(part) {
			depth = requestDepth
		}
		suspicions = append(suspicions, Suspicion{Crash: crash, Part: part, Depth: depth})
	}
	return suspicions
}

// Suspicion says that an engine crashed while it worked on a request with a part.
type Suspicion struct {
	// Crash identifies the crashed process of the engine.
	Crash uint64
	Part  string
	// Depth is the position of the part in the prompt. Parts at a greater depth are
	// shared by fewer requests. It is -1 for the content of a request.
	Depth int
}

// Block is a blocked part.
type Block struct {
	Part      string
	Remaining time.Duration
}

// Detector holds what is known of prompt parts. It is not safe for concurrent use.
type Detector struct {
	sound    recentParts
	suspects map[string]*suspect
	blocks   map[string]*block
	// crashes are the crashes under suspicion, with the time of the first one.
	crashes map[uint64]time.Time
}

type suspect struct {
	depth   int
	crashes map[uint64]struct{}
	latest  time.Time
}

type block struct {
	until time.Time
	// crashes are explained by this part: they say nothing about the other parts of
	// the requests that were in progress.
	crashes map[uint64]struct{}
	// explained are the suspicions of these crashes against other parts. They count again
	// if this part turns out to be sound. Parts that were blocked together share them.
	explained map[Suspicion]struct{}
	// rivals are the parts that were under suspicion of all crashes for which this part was
	// blocked: they explain them as well.
	rivals map[string]struct{}
	// probes is the number of probe times that have been used.
	probes int
}

// New returns a detector that knows nothing.
func New() *Detector {
	return &Detector{suspects: map[string]*suspect{}, blocks: map[string]*block{}, crashes: map[uint64]time.Time{}}
}

// ObserveSound records that a request with a part is being answered, which clears
// the part. It reports whether the part was blocked until now.
func (d *Detector) ObserveSound(now time.Time, part string) (released bool) {
	d.sound.add(now, part)
	delete(d.suspects, part)
	for _, other := range d.blocks {
		delete(other.rivals, part)
	}
	b, released := d.activeBlock(now, part)
	delete(d.blocks, part)
	if released {
		d.suspectAgain(now, b)
	}
	return released
}

// suspectAgain returns the crashes that a part was blamed for to the other parts that
// were under suspicion of them.
func (d *Detector) suspectAgain(now time.Time, b *block) {
	for s := range b.explained {
		at, known := d.crashes[s.Crash]
		_, blocked := d.activeBlock(now, s.Part)
		if known && now.Sub(at) <= suspicionTime && !blocked && !d.IsSound(now, s.Part) {
			d.add(now, s)
		}
	}
}

// IsSound reports whether requests with the part are not suspected of a crash, because one
// was answered a short time ago. An answer to a request as a whole says nothing of crashes
// that come after it.
func (d *Detector) IsSound(now time.Time, part string) bool {
	return !IsRequest(part) && d.wasAnswered(now, part)
}

// IsRefuted reports whether a request with a blocked part was answered after the part was
// blocked.
func (d *Detector) IsRefuted(now time.Time, b Block) bool {
	at, answered := d.sound.latest(now, b.Part)
	return answered && (!IsRequest(b.Part) || at.After(now.Add(b.Remaining-BlockTime)))
}

func (d *Detector) wasAnswered(now time.Time, part string) bool {
	_, answered := d.sound.latest(now, part)
	return answered
}

// Suspect records a suspicion. Decide draws the conclusions.
func (d *Detector) Suspect(now time.Time, s Suspicion) {
	if d.IsSound(now, s.Part) {
		return
	}
	_, seen := d.crashes[s.Crash]
	if !seen {
		if len(d.crashes) >= maxCrashes {
			return
		}
		d.crashes[s.Crash] = now
	}
	if b, active := d.activeBlock(now, s.Part); active {
		d.explain(b, s.Crash)
		return
	}
	if b := d.explanation(now, s.Crash); b != nil {
		b.recordExplained(s)
		return
	}
	d.add(now, s)
}

// add counts a suspicion.
func (d *Detector) add(now time.Time, s Suspicion) {
	known := d.suspects[s.Part]
	if known == nil {
		d.makeRoom()
		known = &suspect{depth: s.Depth, crashes: map[uint64]struct{}{}}
		d.suspects[s.Part] = known
	}
	known.depth, known.latest = max(known.depth, s.Depth), now
	known.crashes[s.Crash] = struct{}{}
}

// Holds reports whether a suspicion counts: it is not too old, its part was not cleared and
// nothing else explains the crash.
func (d *Detector) Holds(s Suspicion) bool {
	known := d.suspects[s.Part]
	if known == nil {
		return false
	}
	_, held := known.crashes[s.Crash]
	return held
}

// forgetOldCrashes forgets crashes that no longer count, and suspects without any.
func (d *Detector) forgetOldCrashes(now time.Time) {
	maps.DeleteFunc(d.crashes, func(_ uint64, at time.Time) bool { return now.Sub(at) > suspicionTime })
	for part, s := range d.suspects {
		maps.DeleteFunc(s.crashes, func(crash uint64, _ struct{}) bool { return d.crashes[crash].IsZero() })
		if len(s.crashes) == 0 {
			delete(d.suspects, part)
		}
	}
}

// makeRoom drops the suspects with the fewest crashes, the oldest of these, if there are
// too many. It drops many at once, because a crash under load brings hundreds.
func (d *Detector) makeRoom() {
	if len(d.suspects) < maxSuspects {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(d.suspects), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(d.suspects[a].crashes), len(d.suspects[b].crashes)), d.suspects[a].latest.Compare(d.suspects[b].latest), cmp.Compare(a, b))
	})
	for _, part := range oldest[:droppedSuspects] {
		delete(d.suspects, part)
	}
}

// Active reports whether some part is under suspicion or blocked, or was blocked a
// while ago.
func (d *Detector) Active() bool { return len(d.suspects)+len(d.blocks) > 0 }

// Decide blocks the parts that explain the most crashes, until no part has too
// many that are not explained, and returns them.
func (d *Detector) Decide(now time.Time) (blocked []string) {
	if len(d.crashes) == 0 {
		return nil
	}
	d.forgetOldCrashes(now)
	for {
		parts, crashes := d.leadingParts(now)
		if len(parts) == 0 || len(parts) > 1 && crashes < tieCrashes {
			return blocked
		}
		explained := map[Suspicion]struct{}{}
		for _, part := range parts {
			d.block(now, part, BlockTime)
			// If one of them turns out to be sound, the others may be as well.
			d.blocks[part].explained = explained
			d.blocks[part].rivals = d.rivalsOf(part)
		}
		for _, part := range parts {
			d.explainAll(d.blocks[part])
		}
		blocked = append(blocked, parts...)
	}
}

// rivalsOf returns the suspects that were in progress at all crashes of a blocked part, if
// these are enough to block one.
func (d *Detector) rivalsOf(blocked string) map[string]struct{} {
	rivals := map[string]struct{}{}
	if len(d.blocks[blocked].crashes) < blockingCrashes {
		return rivals
	}
	for part, s := range d.suspects {
		shared := 0
		for crash := range d.blocks[blocked].crashes {
			if _, suspected := s.crashes[crash]; suspected {
				shared++
			}
		}
		if shared == len(d.blocks[blocked].crashes) {
			rivals[part] = struct{}{}
		}
	}
	return rivals
}

// activeRivals returns the parts that explain the crashes of some active block as well.
func (d *Detector) activeRivals(now time.Time) map[string]struct{} {
	rivals := map[string]struct{}{}
	for _, b := range d.blocks {
		if len(b.rivals) > 0 && now.Before(b.until) {
			maps.Copy(rivals, b.rivals)
		}
	}
	return rivals
}

// leadingParts returns the parts with enough crashes that have the most of them
// and, among those, are the deepest in their prompts.
func (d *Detector) leadingParts(now time.Time) (leading []string, crashes int) {
	depth, rivals := 0, d.activeRivals(now)
	for part, s := range d.suspects {
		n := d.settledCrashes(now, s)
		// The part that was blocked in place of a rival cannot have caused one more crash.
		if _, rival := rivals[part]; n == 0 || !rival && n < d.threshold(now, part) {
			continue
		}
		switch order := cmp.Or(cmp.Compare(n, crashes), cmp.Compare(s.depth, depth)); {
		case order > 0 || len(leading) == 0:
			leading, crashes, depth = []string{part}, n, s.depth
		case order == 0:
			leading = append(leading, part)
		}
	}
	slices.Sort(leading)
	return leading, crashes
}

// settledCrashes counts the crashes of a suspect that can be judged.
func (d *Detector) settledCrashes(now time.Time, s *suspect) (n int) {
	for crash := range s.crashes {
		if now.Sub(d.crashes[crash]) >= settleTime {
			n++
		}
	}
	return n
}

// threshold returns the number of crashes that block a part: fewer if it was
// blocked before, more if it was answered a short time ago.
func (d *Detector) threshold(now time.Time, part string) int {
	if b := d.blocks[part]; b != nil && now.Sub(b.until) < relapseTime {
		return 1
	}
	if d.wasAnswered(now, part) {
		return answeredCrashes
	}
	return blockingCrashes
}

func (d *Detector) block(now time.Time, part string, duration time.Duration) {
	d.forgetOldBlocks(now)
	b := &block{until: now.Add(duration), crashes: map[uint64]struct{}{}, explained: map[Suspicion]struct{}{}}
	if s := d.suspects[part]; s != nil {
		b.crashes = s.crashes
		delete(d.suspects, part)
	}
	d.blocks[part] = b
}

// forgetOldBlocks forgets blocks that have been over for long, and the one that
// ends first if there are too many.
func (d *Detector) forgetOldBlocks(now time.Time) {
	maps.DeleteFunc(d.blocks, func(_ string, b *block) bool { return now.Sub(b.until) > relapseTime })
	if len(d.blocks) < maxBlocks {
		return
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(d.blocks)), func(a, b string) int {
		return cmp.Or(d.blocks[a].until.Compare(d.blocks[b].until), cmp.Compare(a, b))
	})
	delete(d.blocks, first)
}

func (d *Detector) explainAll(b *block) {
	for crash := range b.crashes {
		d.explain(b, crash)
	}
}

// explain attributes a crash to a blocked part and clears the others of it.
func (d *Detector) explain(b *block, crash uint64) {
	if len(b.crashes) < maxCrashesPerBlock {
		b.crashes[crash] = struct{}{}
	}
	for part, s := range d.suspects {
		if _, suspected := s.crashes[crash]; !suspected {
			continue
		}
		b.recordExplained(Suspicion{Crash: crash, Part: part, Depth: s.depth})
		delete(s.crashes, crash)
		if len(s.crashes) == 0 {
			delete(d.suspects, part)
		}
	}
}

// recordExplained remembers a suspicion against another part.
func (b *block) recordExplained(s Suspicion) {
	if len(b.explained) < maxExplainedPerBlock {
		b.explained[s] = struct{}{}
	}
}

// explanation returns the active block that a crash is attributed to, or nil.
func (d *Detector) explanation(now time.Time, crash uint64) *block {
	for part := range d.blocks {
		if b, active := d.activeBlock(now, part); active {
			if _, explained := b.crashes[crash]; explained {
				return b
			}
		}
	}
	return nil
}

func (d *Detector) activeBlock(now time.Time, part string) (*block, bool) {
	b := d.blocks[part]
	return b, b != nil && now.Before(b.until)
}

// Adopt blocks a part that another entry has blocked. It reports whether the part
// was not blocked before. A part that was answered here since is not blocked.
func (d *Detector) Adopt(now time.Time, b Block) bool {
	if _, active := d.activeBlock(now, b.Part); active || b.Remaining <= 0 || d.IsRefuted(now, b) {
		return false
	}
	d.block(now, b.Part, min(b.Remaining, BlockTime))
	d.blocks[b.Part].rivals = d.rivalsOf(b.Part)
	d.explainAll(d.blocks[b.Part])
	return true
}

// Probe reports whether a request with a blocked part is to be let through now, and
// counts it. Only one of the entries should ask.
func (d *Detector) Probe(now time.Time, part string) bool {
	b, active := d.activeBlock(now, part)
	if !active {
		return false
	}
	times := probeTimes
	if IsRequest(part) {
		times = requestProbeTimes
	}
	elapsed := BlockTime - b.until.Sub(now)
	for b.probes < len(times) && elapsed >= times[b.probes]+probeWindow {
		b.probes++ // no request came at that time
	}
	if b.probes == len(times) || elapsed < times[b.probes] {
		return false
	}
	b.probes++
	return true
}

// Blocked returns the first part of a prompt that is blocked, if there is one.
func (d *Detector) Blocked(now time.Time, parts []string) (Block, bool) {
	if len(d.blocks) == 0 {
		return Block{}, false
	}
	for _, part := range parts {
		if b, active := d.activeBlock(now, part); active {
			return Block{part, b.until.Sub(now)}, true
		}
	}
	return Block{}, false
}

// MayRepeat reports whether a repeat of a request with these parts is no risk for the
// servers: none of the parts is blocked, or may crash one more server.
func (d *Detector) MayRepeat(now time.Time, parts []string) bool {
	_, blocked := d.Blocked(now, parts)
	return !blocked && !d.risky(parts)
}

func (d *Detector) risky(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		s := d.suspects[part]
		return s != nil && len(s.crashes) >= riskyCrashes
	})
}

// Blocks returns the blocked parts in the order of their names.
func (d *Detector) Blocks(now time.Time) (blocks []Block) {
	for _, part := range slices.Sorted(maps.Keys(d.blocks)) {
		if b, active := d.activeBlock(now, part); active {
			blocks = append(blocks, Block{part, b.until.Sub(now)})
		}
	}
	return blocks
}

// recentParts is a bounded set of parts that are forgotten after soundTime. It
// keeps two generations, so that no part needs a timer of its own.
type recentParts struct {
	current, previous map[string]time.Time
	began             time.Time
}

func (r *recentParts) add(now time.Time, part string) {
	if r.current == nil || len(r.current) >= maxSoundParts || now.Sub(r.began) >= soundTime {
		r.previous, r.current, r.began = r.current, map[string]time.Time{}, now
	}
	r.current[part] = now
}

// latest returns when a part was last added, if that was a short time ago.
func (r *recentParts) latest(now time.Time, part string) (at time.Time, known bool) {
	at, known = r.current[part]
	if !known {
		at, known = r.previous[part]
	}
	return at, known && now.Sub(at) < soundTime
}
