package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// publishPause separates calls while the log is unavailable.
const publishPause = 200 * time.Millisecond

// PublishResult tells what became of a published document.
type PublishResult struct {
	Result configlog.Result
	// Revision is the accepted or the overtaking revision.
	Revision int64
	Reason   string
}

// Proposal is a document to publish.
type Proposal struct {
	// Base is the revision that the document was made from; nil for the first.
	Base     *configlog.Revision
	Document *config.Document
	Author   string
	Note     string
}

// CatchUp reads the log to its end with a new reader and returns it. judged, if
// not nil, gets each judgement. peers may be nil.
func CatchUp(ctx context.Context, log Log, peers Peers, judged func(configlog.ApplyResult, *configlog.State)) (*configlog.Reader, error) {
	reader := configlog.NewReader(configlog.DefaultRules())
	if peers != nil {
		for _, state := range peers.States(ctx, 0) {
			// A peer whose state is damaged or newer does not keep others from helping.
			_ = reader.OnPeer(state)
		}
	}
	for !reader.CaughtUp() {
		judgements, empty, err := readOnce(ctx, log, reader)
		if err != nil {
			return nil, err
		}
		for _, j := range judgements {
			if judged != nil {
				judged(j, reader.State())
			}
		}
		if empty && !reader.Following() {
			return nil, errors.New("the log holds no usable checkpoint and its first records have expired; wait for a checkpoint")
		}
	}
	return reader, nil
}

func readOnce(ctx context.Context, log Log, reader *configlog.Reader) (judgements []configlog.ApplyResult, empty bool, err error) {
	batch, err := log.Read(ctx, configlog.Stream, reader.NextOffset(), 0)
	var expired *logservice.ExpiredError
	if errors.As(err, &expired) {
		reader.OnExpired(expired.FirstOffset)
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	from := reader.NextOffset()
	judgements = reader.OnRecords(batch.FirstOffset, entries(batch))
	return judgements, len(batch.Records) == 0 && reader.NextOffset() == from, nil
}

// Publish brings a proposal to the log and reads back what became of it. The
// reader must be anchored; it is used up. When ctx ends first the report says
// whether the proposal may still take effect.
func Publish(ctx context.Context, log Log, reader *configlog.Reader, proposal Proposal) (PublishResult, error) {
	record, err := configlog.NewRevision(NewID(), proposal.Base, proposal.Document)
	if err != nil {
		return PublishResult{}, err
	}
	record.Author, record.Note = proposal.Author, proposal.Note
	record.Time = time.Now().UTC().Format(time.RFC3339)
	data, err := record.Encode()
	if err != nil {
		return PublishResult{}, err
	}
	publisher := configlog.NewPublisher(record, reader.State())
	var appendErr error
	for publisher.Step() != configlog.StepDone {
		switch {
		case ctx.Err() != nil:
			publisher.OnDeadline()
		case publisher.Step() == configlog.StepAppend:
			appendErr = appendOnce(ctx, log, publisher, data)
		default:
			readBack(ctx, log, publisher, reader)
		}
	}
	result, number, reason := publisher.Result()
	if result == configlog.ResultNotSent && appendErr != nil {
		reason += "; the last append failed: " + appendErr.Error()
	}
	return PublishResult{Result: result, Revision: number, Reason: reason}, nil
}

func appendOnce(ctx context.Context, log Log, publisher *configlog.Publisher, data []byte) error {
	_, err := log.Append(ctx, configlog.Stream, data)
	switch {
	case err == nil:
		publisher.OnAppendSucceeded()
	case errors.Is(err, logservice.ErrUnavailable), errors.Is(err, logservice.ErrRejected):
		publisher.OnAppendFailed()
		logservice.Pause(ctx, publishPause)
	default:
		publisher.OnAppendUnconfirmed()
		logservice.Pause(ctx, publishPause)
	}
	return err
}

func readBack(ctx context.Context, log Log, publisher *configlog.Publisher, reader *configlog.Reader) {
	state := reader.State()
	judgements, _, err := readOnce(ctx, log, reader)
	if err != nil {
		logservice.Pause(ctx, publishPause)
		return
	}
	for _, j := range judgements {
		publisher.OnApplied(j)
	}
	if reader.State() != state {
		publisher.OnStateReplaced(reader.State())
	}
	if reader.CaughtUp() {
		publisher.OnCaughtUp()
	}
}

// Publish publishes a proposal on the log that s follows.
func (s *Sync) Publish(ctx context.Context, proposal Proposal) (PublishResult, error) {
	_, _, state, err := s.State(0)
	if err != nil {
		return PublishResult{}, err
	}
	reader := configlog.NewReader(s.options.Rules)
	if state != nil {
		if err := reader.OnPeer(state); err != nil {
			return PublishResult{}, err
		}
	}
	// Reading to the end first finds a newer revision, or a record of a newer
	// schema, before anything is sent.
	for !reader.CaughtUp() {
		if _, _, err := readOnce(ctx, s.options.Log, reader); err != nil {
			return PublishResult{Result: configlog.ResultNotSent, Reason: err.Error()}, nil
		}
		if ctx.Err() != nil {
			return PublishResult{Result: configlog.ResultNotSent, Reason: "the deadline passed"}, nil
		}
	}
	return Publish(ctx, s.options.Log, reader, proposal)
}
