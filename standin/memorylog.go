package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/logservice"
)

// MemoryLog is a log service with one stream in memory, for tests in virtual time.
type MemoryLog struct {
	mu      sync.Mutex
	records []logservice.Record
	failing bool
}

// ErrUnavailable is the error of a log that does not accept records.
var ErrUnavailable = errors.New("the log is not available")

// FailAppends makes the log accept no records, or accept them again.
func (l *MemoryLog) FailAppends(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = on
}

// Append adds a record and returns its offset.
func (l *MemoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return 0, ErrUnavailable
	}
	offset := int64(len(l.records))
	l.records = append(l.records, logservice.Record{Offset: offset, Data: data})
	return offset, nil
}

// Read returns the records from an offset on and waits up to wait for the first one.
func (l *MemoryLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (logservice.Batch, error) {
	const pollInterval = 50 * time.Millisecond
	for waited := time.Duration(0); ; waited += pollInterval {
		batch := l.from(from)
		if len(batch.Records) > 0 || waited >= wait || ctx.Err() != nil {
			return batch, ctx.Err()
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (l *MemoryLog) from(offset int64) logservice.Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	return logservice.Batch{NextOffset: end, Records: append([]logservice.Record(nil), l.records[min(offset, end):]...)}
}
