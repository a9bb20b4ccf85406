// Package configsync keeps a process's configuration current: it follows the
// control stream of the log service, and asks peers when the log cannot help.
package configsync

import (
	"context"
	"crypto/rand"
	"maps"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// Log is the log service. *logservice.Log implements it.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Batch, error)
}

// Peers asks other processes for their state.
type Peers interface {
	// States returns the encoded states (see State) of some peers that have a
	// revision above after. It returns what it has when ctx ends.
	States(ctx context.Context, after int64) [][]byte
}

// Options configure a Sync. Log and Random are required.
type Options struct {
	Log   Log
	Peers Peers
	// Rules default to those of this program.
	Rules  configlog.Rules
	Logger *log.Logger
	// Random spreads retries and checkpoints over time.
	Random *mathrand.Rand
	// LongPollTimeout is how long one read waits for a record.
	LongPollTimeout time.Duration
	// MaxBackoff bounds the pause after a failed read. It is a part of the time
	// that a change takes to be in force after an outage.
	MaxBackoff time.Duration
	// PeerTimeout bounds one question to peers, PeerInterval the time between two.
	PeerTimeout, PeerInterval time.Duration
	// CheckpointRecords is how many records a fresh process may have to fold
	// before this process writes a checkpoint; 0 means that it writes none.
	CheckpointRecords int
	// CheckpointWindow is the time over which processes spread the write. The
	// first checkpoint makes the others leave theirs out.
	CheckpointWindow time.Duration
}

// Defaults of Options. With 256 records between checkpoints a fresh process
// without peers folds for seconds at the target size, and checkpoints of 2 MB
// add 60 MB a day to the log.
const (
	DefaultLongPollTimeout   = 20 * time.Second
	DefaultMaxBackoff        = time.Second
	DefaultPeerTimeout       = time.Second
	DefaultPeerInterval      = 5 * time.Second
	DefaultCheckpointRecords = 256
	DefaultCheckpointWindow  = 10 * time.Minute
	retryMin                 = 50 * time.Millisecond
	// scanPause separates reads at the end of a log that holds no usable checkpoint.
	scanPause = time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.LongPollTimeout, DefaultLongPollTimeout)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.PeerTimeout, DefaultPeerTimeout)
	setDefault(&o.PeerInterval, DefaultPeerInterval)
	setDefault(&o.CheckpointWindow, DefaultCheckpointWindow)
	if o.Rules.Validate == nil {
		o.Rules = configlog.DefaultRules()
	}
	if o.Logger == nil {
		o.Logger = &log.DefaultLogger
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Status describes the configuration of this process for operators.
type Status struct {
	// Revision is 0 while there is none.
	Revision int64
	Digest   string
	// Ready tells that there is a revision.
	Ready bool
	// Following tells that the process reads the log without a gap.
	Following bool
	// LogAvailable tells whether the last call to the log succeeded.
	LogAvailable bool
	// NewerSchema tells that a record has a newer schema; NewerSchemaOffset is its
	// offset, or 0 when it is not known.
	NewerSchema       bool
	NewerSchemaOffset int64
	// Conflict tells that two documents were seen under one revision number.
	Conflict bool
}

// Sync keeps the configuration of one process. Its methods may be called from
// any goroutine.
type Sync struct {
	options Options
	// reader and the members up to mutex belong to Run.
	reader       *configlog.Reader
	pause        time.Duration
	nextPeers    time.Time
	checkpointAt time.Time

	mutex    sync.Mutex
	revision *configlog.Revision
	plans    map[string]configlog.ActivePlan
	state    configlog.Checkpoint
	anchored bool
	status   Status
	changed  chan struct{}
}

// New returns a Sync, which does nothing until Run.
func New(options Options) *Sync {
	options = options.withDefaults()
	return &Sync{
		options: options,
		reader:  configlog.NewReader(options.Rules),
		changed: make(chan struct{}),
		status:  Status{LogAvailable: true},
	}
}

// Current returns the revision in force, or nil before the first.
func (s *Sync) Current() *configlog.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Plans returns the placement plans in force by model. The caller must not change the map.
func (s *Sync) Plans() map[string]configlog.ActivePlan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.plans
}

// Changed returns a channel that is closed at the next change of the revision or
// of a plan. A caller gets the channel before it reads, so that it misses nothing.
func (s *Sync) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Status returns the state of the configuration.
func (s *Sync) Status() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.status
}

// State returns the encoded state for peers, with its revision and digest, when
// the revision is above after.
func (s *Sync) State(after int64) (revision int64, digest string, state []byte, err error) {
	s.mutex.Lock()
	checkpoint, anchored := s.state, s.anchored
	s.mutex.Unlock()
	if !anchored || checkpoint.Number <= after {
		return 0, "", nil, nil
	}
	state, err = checkpoint.Encode()
	return checkpoint.Number, checkpoint.Digest, state, err
}

// Run follows the log until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.askPeers(ctx)
		s.readLog(ctx)
		s.writeCheckpoint(ctx)
	}
}

// askPeers asks at start as well, because a peer's state is had sooner than one
// folded from the log.
func (s *Sync) askPeers(ctx context.Context) {
	if s.options.Peers == nil || !s.reader.NeedsPeers() || time.Now().Before(s.nextPeers) {
		return
	}
	s.nextPeers = time.Now().Add(s.options.PeerInterval)
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	before := s.reader.ActiveRevision()
	for _, state := range s.options.Peers.States(ctx, s.peersAfter()) {
		if err := s.reader.OnPeer(state); err != nil {
			logevent.Write(s.options.Logger, logevent.RevisionRejected).Str("source", "peer").Err(err).Msg("")
		}
	}
	if after := s.reader.ActiveRevision(); after != before {
		logevent.Write(s.options.Logger, logevent.RevisionFromPeer).Int64("revision", after.Number).Msg("")
	}
	s.update()
}

// peersAfter is the revision above which a peer's state helps. A reader without
// a place in the log can also use the state of a peer at the same revision.
func (s *Sync) peersAfter() int64 {
	after := number(s.reader.ActiveRevision())
	if !s.reader.Following() {
		after--
	}
	return max(after, 0)
}

func number(r *configlog.Revision) int64 {
	if r == nil {
		return 0
	}
	return r.Number
}

func (s *Sync) readLog(ctx context.Context) {
	batch, err := s.options.Log.Read(ctx, configlog.Stream, s.reader.NextOffset(), s.wait())
	if ctx.Err() != nil {
		return
	}
	var expired *logservice.ExpiredError
	switch {
	case errors.As(err, &expired):
		s.setAvailable(nil)
		s.reader.OnExpired(expired.FirstOffset)
	case err != nil:
		s.setAvailable(err)
		s.backOff(ctx)
	default:
		s.setAvailable(nil)
		s.logJudgements(s.reader.OnRecords(batch.FirstOffset, entries(batch)))
	}
	s.update()
	if err == nil && !s.reader.Following() && len(batch.Records) == 0 {
		logservice.Pause(ctx, scanPause)
	}
}

func entries(batch logservice.Batch) []configlog.Entry {
	list := make([]configlog.Entry, len(batch.Records))
	for i, r := range batch.Records {
		list[i] = configlog.Entry{Offset: r.Offset, Data: r.Data}
	}
	return list
}

// wait is how long a read may wait: not at all until the end of the log is met,
// and not beyond the time of a checkpoint or of the next question to peers.
func (s *Sync) wait() time.Duration {
	if !s.reader.CaughtUp() {
		return 0
	}
	wait := s.options.LongPollTimeout
	if !s.checkpointAt.IsZero() {
		wait = min(wait, time.Until(s.checkpointAt))
	}
	if s.options.Peers != nil && s.reader.NeedsPeers() {
		wait = min(wait, time.Until(s.nextPeers))
	}
	return max(wait, 0)
}

// backOff pauses with jitter, so that processes do not return to the log together.
func (s *Sync) backOff(ctx context.Context) {
	s.pause = min(max(2*s.pause, retryMin), s.options.MaxBackoff)
	logservice.Pause(ctx, s.pause/2+time.Duration(s.options.Random.Int64N(int64(s.pause/2)+1)))
}

func (s *Sync) setAvailable(err error) {
	s.mutex.Lock()
	before := s.status.LogAvailable
	s.status.LogAvailable = err == nil
	s.mutex.Unlock()
	switch {
	case err == nil && !before:
		logevent.Write(s.options.Logger, logevent.LogAvailable).Msg("")
	case err != nil && before:
		logevent.Write(s.options.Logger, logevent.LogUnavailable).Err(err).Msg("")
	}
	if err == nil {
		s.pause = 0
	}
}

func (s *Sync) logJudgements(judgements []configlog.ApplyResult) {
	for _, j := range judgements {
		if j.Kind == configlog.KindRevision && (j.Outcome == configlog.StaleBase || j.Outcome == configlog.Invalid) {
			logevent.Write(s.options.Logger, logevent.RevisionRejected).Int64("offset", j.Offset).
				Str("outcome", j.Outcome.String()).Str("reason", j.Reason).Msg("")
		}
	}
}

// update publishes what the reader holds, and tells waiters of a change.
func (s *Sync) update() {
	revision := s.reader.ActiveRevision()
	state := s.reader.State()
	s.mutex.Lock()
	revised := revision != s.revision
	changed := revised
	s.revision = revision
	s.anchored = state != nil
	if state != nil {
		s.state = state.Checkpoint()
		// A state that is still behind the revision in force has older plans.
		if state.Number() == number(revision) && !maps.EqualFunc(s.plans, s.state.Plans, samePlan) {
			s.plans = s.state.Plans
			changed = true
		}
	}
	unjudgedBefore := s.status.NewerSchema
	s.setStatus()
	unjudged := s.status.NewerSchema
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mutex.Unlock()
	if revised && revision != nil {
		logevent.Write(s.options.Logger, logevent.RevisionActivated).Int64("revision", revision.Number).Str("digest", revision.Digest).Msg("")
	}
	if unjudged && !unjudgedBefore {
		logevent.Write(s.options.Logger, logevent.NewerSchema).Int64("offset", s.status.NewerSchemaOffset).Msg("")
	}
}

func samePlan(a, b configlog.ActivePlan) bool { return a.Offset == b.Offset }

func (s *Sync) setStatus() {
	if s.revision != nil {
		s.status.Ready = true
		s.status.Revision, s.status.Digest = s.revision.Number, s.revision.Digest
	}
	s.status.Following = s.anchored
	s.status.NewerSchemaOffset, s.status.NewerSchema = s.reader.NewerSchema()
	s.status.Conflict = s.reader.Conflict()
}

// writeCheckpoint writes one when many records have come since the last, after
// a random part of the window and unless another process was sooner.
func (s *Sync) writeCheckpoint(ctx context.Context) {
	_, unjudged := s.reader.NewerSchema()
	due := s.options.CheckpointRecords > 0 && s.reader.CaughtUp() && !unjudged &&
		s.reader.SinceCheckpoint() >= s.options.CheckpointRecords
	switch {
	case !due && s.reader.CaughtUp():
		s.checkpointAt = time.Time{}
	case !due:
	case s.checkpointAt.IsZero():
		s.checkpointAt = time.Now().Add(time.Duration(s.options.Random.Int64N(int64(s.options.CheckpointWindow))))
	case !time.Now().Before(s.checkpointAt):
		s.checkpointAt = time.Time{}
		data, err := configlog.NewCheckpoint(NewID(), s.reader.State()).Encode()
		if err != nil {
			return
		}
		if _, err := s.options.Log.Append(ctx, configlog.Stream, data); err != nil {
			// Another process or a later turn writes one; a lost answer does no harm.
			s.setAvailable(err)
		}
	}
}

// NewID returns a unique id for a record.
func NewID() string { return rand.Text() }
