// Package configsync keeps a process's configuration up to date: it follows the
// control stream of the log service, and fetches the state from peers when the
// log cannot provide it.
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

// Log is a client of the log service. *logservice.Log implements it.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Batch, error)
}

// Peers fetches configuration state from other processes.
type Peers interface {
	// States returns the encoded states (see Sync.State) of some peers whose
	// revision is above after. It returns those received so far when ctx ends.
	States(ctx context.Context, after int64) [][]byte
}

// Options configures a Sync. Log and Random are required.
type Options struct {
	Log   Log
	Peers Peers
	// Rules defaults to configlog.DefaultRules.
	Rules  configlog.Rules
	Logger *log.Logger
	// Random adds jitter to retries and checkpoints.
	Random *mathrand.Rand
	// LongPollTimeout is how long one read waits for new records.
	LongPollTimeout time.Duration
	// MaxBackoff is the maximum backoff after a failed read. It adds to the time
	// until a change becomes active after an outage.
	MaxBackoff time.Duration
	// PeerTimeout limits one query to peers; PeerInterval is the minimum interval
	// between the starts of two queries.
	PeerTimeout, PeerInterval time.Duration
	// CheckpointRecords is the number of records since the last checkpoint after
	// which this process writes one; 0 disables checkpoints.
	CheckpointRecords int
	// CheckpointWindow is the time over which processes spread the write. The
	// first checkpoint in the log makes the others skip theirs.
	CheckpointWindow time.Duration
}

// Defaults of Options. With 256 records between checkpoints, a new process
// without peers takes seconds to replay the log at the target size, and
// checkpoints of 2 MB add 60 MB a day to the log.
const (
	DefaultLongPollTimeout   = 20 * time.Second
	DefaultMaxBackoff        = time.Second
	DefaultPeerTimeout       = time.Second
	DefaultPeerInterval      = 5 * time.Second
	DefaultCheckpointRecords = 256
	DefaultCheckpointWindow  = 10 * time.Minute
	minBackoff               = 50 * time.Millisecond
	// scanInterval is the pause between reads at the end of a log that contains
	// no usable checkpoint.
	scanInterval = time.Second
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
	// Revision is the number of the active revision, or 0 before the first.
	Revision int64
	Digest   string
	// Ready reports whether there is an active revision.
	Ready bool
	// Following reports whether the process has applied the log without gaps.
	Following bool
	// LogAvailable reports whether the last call to the log succeeded.
	LogAvailable bool
	// NewerSchema reports whether a record has a schema that this program doesn't
	// know; NewerSchemaOffset is its offset, or 0 when it is unknown.
	NewerSchema       bool
	NewerSchemaOffset int64
	// Conflict reports whether two different documents were seen with the same
	// revision number.
	Conflict bool
}

// Sync keeps the configuration of one process up to date. It is safe for
// concurrent use.
type Sync struct {
	options Options
	// reader and the fields up to mutex are used by Run's goroutine only.
	reader        *configlog.Reader
	backoffDelay  time.Duration
	nextPeerQuery time.Time
	checkpointAt  time.Time

	mutex      sync.Mutex
	revision   *configlog.Revision
	plans      map[string]configlog.ActivePlan
	checkpoint configlog.Checkpoint
	following  bool
	status     Status
	changed    chan struct{}
}

// New returns a Sync. It is idle until Run is called.
func New(options Options) *Sync {
	options = options.withDefaults()
	return &Sync{
		options: options,
		reader:  configlog.NewReader(options.Rules),
		changed: make(chan struct{}),
		status:  Status{LogAvailable: true},
	}
}

// Current returns the active revision, or nil before the first.
func (s *Sync) Current() *configlog.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Plans returns the active placement plans by model. The caller must not modify
// the map.
func (s *Sync) Plans() map[string]configlog.ActivePlan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.plans
}

// Changed returns a channel that is closed at the next change of the revision or
// of a plan. Get the channel before reading the state, so as not to miss a change.
func (s *Sync) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Status returns the current status of the configuration.
func (s *Sync) Status() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.status
}

// State returns the encoded state for peers with its revision and digest. It
// returns zero values unless the revision is above after.
func (s *Sync) State(after int64) (revision int64, digest string, state []byte, err error) {
	s.mutex.Lock()
	checkpoint, following := s.checkpoint, s.following
	s.mutex.Unlock()
	if !following || checkpoint.Number <= after {
		return 0, "", nil, nil
	}
	state, err = checkpoint.Encode()
	return checkpoint.Number, checkpoint.Digest, state, err
}

// Run follows the log until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.queryPeers(ctx)
		s.readLog(ctx)
		s.writeCheckpoint(ctx)
	}
}

// queryPeers fetches state from peers if the reader needs it. That includes the
// start, because fetching a peer's state is faster than replaying the log.
func (s *Sync) queryPeers(ctx context.Context) {
	if s.options.Peers == nil || !s.reader.NeedsPeers() || time.Now().Before(s.nextPeerQuery) {
		return
	}
	s.nextPeerQuery = time.Now().Add(s.options.PeerInterval)
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	before := s.reader.ActiveRevision()
	for _, state := range s.options.Peers.States(ctx, s.queryAfterRevision()) {
		if err := s.reader.OnPeer(state); err != nil {
			logevent.Write(s.options.Logger, logevent.RevisionRejected).Str("source", "peer").Err(err).Msg("")
		}
	}
	if after := s.reader.ActiveRevision(); after != before {
		logevent.Write(s.options.Logger, logevent.RevisionFromPeer).Int64("revision", after.Number).Msg("")
	}
	s.update()
}

// queryAfterRevision returns the revision above which a peer's state is useful. A
// reader that isn't following the log can also use a state of its own revision.
func (s *Sync) queryAfterRevision() int64 {
	after := revisionNumber(s.reader.ActiveRevision())
	if !s.reader.Following() {
		after--
	}
	return max(after, 0)
}

func revisionNumber(r *configlog.Revision) int64 {
	if r == nil {
		return 0
	}
	return r.Number
}

func (s *Sync) readLog(ctx context.Context) {
	batch, err := s.options.Log.Read(ctx, configlog.Stream, s.reader.NextOffset(), s.readWait())
	if ctx.Err() != nil {
		return
	}
	var expired *logservice.ExpiredError
	switch {
	case errors.As(err, &expired):
		s.setLogAvailability(nil)
		s.reader.OnExpired(expired.FirstOffset)
	case err != nil:
		s.setLogAvailability(err)
		s.backOff(ctx)
	default:
		s.setLogAvailability(nil)
		s.logRejections(s.reader.OnRecords(batch.FirstOffset, entries(batch)))
	}
	s.update()
	if err == nil && !s.reader.Following() && len(batch.Records) == 0 {
		logservice.Pause(ctx, scanInterval)
	}
}

func entries(batch logservice.Batch) []configlog.Entry {
	list := make([]configlog.Entry, len(batch.Records))
	for i, r := range batch.Records {
		list[i] = configlog.Entry{Offset: r.Offset, Data: r.Data}
	}
	return list
}

// readWait returns how long a read may wait for records: not at all before the
// end of the log is reached, and not beyond the time of the next checkpoint or
// peer query.
func (s *Sync) readWait() time.Duration {
	if !s.reader.CaughtUp() {
		return 0
	}
	wait := s.options.LongPollTimeout
	if !s.checkpointAt.IsZero() {
		wait = min(wait, time.Until(s.checkpointAt))
	}
	if s.options.Peers != nil && s.reader.NeedsPeers() {
		wait = min(wait, time.Until(s.nextPeerQuery))
	}
	return max(wait, 0)
}

// backOff pauses for an exponentially growing time with jitter, so that the
// processes don't all retry the log at once.
func (s *Sync) backOff(ctx context.Context) {
	s.backoffDelay = min(max(2*s.backoffDelay, minBackoff), s.options.MaxBackoff)
	logservice.Pause(ctx, s.backoffDelay/2+time.Duration(s.options.Random.Int64N(int64(s.backoffDelay/2)+1)))
}

func (s *Sync) setLogAvailability(err error) {
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
		s.backoffDelay = 0
	}
}

func (s *Sync) logRejections(results []configlog.ApplyResult) {
	for _, result := range results {
		if result.Kind == configlog.KindRevision && (result.Outcome == configlog.StaleBase || result.Outcome == configlog.Invalid) {
			logevent.Write(s.options.Logger, logevent.RevisionRejected).Int64("offset", result.Offset).
				Str("outcome", result.Outcome.String()).Str("reason", result.Reason).Msg("")
		}
	}
}

// update makes the reader's state visible to other goroutines and signals a
// change to waiters.
func (s *Sync) update() {
	revision := s.reader.ActiveRevision()
	state := s.reader.State()
	s.mutex.Lock()
	revisionChanged := revision != s.revision
	changed := revisionChanged
	s.revision = revision
	s.following = state != nil
	if state != nil {
		s.checkpoint = state.Checkpoint()
		// A state that is still behind the active revision has older plans.
		if state.Number() == revisionNumber(revision) && !maps.EqualFunc(s.plans, s.checkpoint.Plans, samePlan) {
			s.plans = s.checkpoint.Plans
			changed = true
		}
	}
	hadNewerSchema := s.status.NewerSchema
	s.setStatus()
	hasNewerSchema := s.status.NewerSchema
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mutex.Unlock()
	if revisionChanged && revision != nil {
		logevent.Write(s.options.Logger, logevent.RevisionActivated).Int64("revision", revision.Number).Str("digest", revision.Digest).Msg("")
	}
	if hasNewerSchema && !hadNewerSchema {
		logevent.Write(s.options.Logger, logevent.RevisionNewerSchema).Int64("offset", s.status.NewerSchemaOffset).Msg("")
	}
}

func samePlan(a, b configlog.ActivePlan) bool { return a.Offset == b.Offset }

func (s *Sync) setStatus() {
	if s.revision != nil {
		s.status.Ready = true
		s.status.Revision, s.status.Digest = s.revision.Number, s.revision.Digest
	}
	s.status.Following = s.following
	s.status.NewerSchemaOffset, s.status.NewerSchema = s.reader.NewerSchema()
	s.status.Conflict = s.reader.Conflict()
}

// writeCheckpoint writes a checkpoint when enough records have come since the
// last one, after a random delay and unless another process wrote one meanwhile.
func (s *Sync) writeCheckpoint(ctx context.Context) {
	_, newerSchema := s.reader.NewerSchema()
	due := s.options.CheckpointRecords > 0 && s.reader.CaughtUp() && !newerSchema &&
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
			// Another process or a later call writes one; a lost reply is harmless.
			s.setLogAvailability(err)
		}
	}
}

// NewID returns a random, unique record ID.
func NewID() string { return rand.Text() }
