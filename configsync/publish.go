package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// publishRetryInterval is the pause after a failed call to the log.
const publishRetryInterval = 200 * time.Millisecond

// PublishResult is the outcome of publishing a document.
type PublishResult struct {
	Result configlog.Result
	// Revision is the revision that was accepted, or that superseded the proposal.
	Revision int64
	Reason   string
}

// Proposal is a document to publish.
type Proposal struct {
	// Base is the revision that the document was derived from; nil for the first.
	Base     *configlog.Revision
	Document *config.Document
	Author   string
	Note     string
}

// CatchUp reads the log to its end with a new reader and returns the reader.
// onApplied, if not nil, is called for each applied record. peers may be nil.
func CatchUp(ctx context.Context, log Log, peers Peers, onApplied func(configlog.ApplyResult, *configlog.State)) (*configlog.Reader, error) {
	reader := configlog.NewReader(configlog.DefaultRules())
	if peers != nil {
		for _, state := range peers.States(ctx, 0) {
			// A damaged state or one with a newer schema is skipped; another
			// peer's may be usable.
			_ = reader.OnPeer(state)
		}
	}
	for !reader.CaughtUp() {
		results, atEnd, err := readOnce(ctx, log, reader)
		if err != nil {
			return nil, err
		}
		for _, result := range results {
			if onApplied != nil {
				onApplied(result, reader.State())
			}
		}
		if atEnd && !reader.Following() {
			return nil, errors.New("the log holds no usable checkpoint and its first records have expired; wait for a checkpoint")
		}
	}
	return reader, nil
}

// readOnce reads one batch and returns the results of the records that the
// reader applied. atEnd means that there was nothing left to read.
func readOnce(ctx context.Context, log Log, reader *configlog.Reader) (results []configlog.ApplyResult, atEnd bool, err error) {
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
	results = reader.OnRecords(batch.FirstOffset, entries(batch))
	return results, len(batch.Records) == 0 && reader.NextOffset() == from, nil
}

// Publish appends a proposal to the log and reads its outcome back. The reader
// must be following the log and must not be used afterwards. When ctx ends
// first, the result says whether the proposal may still take effect.
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
	result, revision, reason := publisher.Result()
	if result == configlog.ResultNotSent && appendErr != nil {
		reason += "; the last append failed: " + appendErr.Error()
	}
	return PublishResult{Result: result, Revision: revision, Reason: reason}, nil
}

func appendOnce(ctx context.Context, log Log, publisher *configlog.Publisher, data []byte) error {
	_, err := log.Append(ctx, configlog.Stream, data)
	switch {
	case err == nil:
		publisher.OnAppendSucceeded()
	case errors.Is(err, logservice.ErrUnavailable), errors.Is(err, logservice.ErrRejected):
		publisher.OnAppendFailed()
		logservice.Pause(ctx, publishRetryInterval)
	default:
		publisher.OnAppendUnconfirmed()
		logservice.Pause(ctx, publishRetryInterval)
	}
	return err
}

func readBack(ctx context.Context, log Log, publisher *configlog.Publisher, reader *configlog.Reader) {
	state := reader.State()
	results, _, err := readOnce(ctx, log, reader)
	if err != nil {
		logservice.Pause(ctx, publishRetryInterval)
		return
	}
	for _, result := range results {
		publisher.OnApplied(result)
	}
	if reader.State() != state {
		publisher.OnStateReplaced(reader.State())
	}
	if reader.CaughtUp() {
		publisher.OnCaughtUp()
	}
}

// Publish publishes a proposal to the log that s follows and reads its outcome
// back.
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
	// Reading to the end first detects a newer revision, or a record with a
	// newer schema, before anything is appended.
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
