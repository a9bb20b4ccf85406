package fuzz

import (
	"time"

	"github.com/sapphirefield/sapphirefield/claim"
)

// logService models the log service with one stream.
type logService struct {
	down        bool
	firstOffset int64
	records     []logRecord
	// lateAppends holds appends without a reply that may still take effect.
	lateAppends []claim.Batch
}

type logRecord struct {
	appendedAt time.Time
	batch      claim.Batch
}

func newLogService() *logService {
	return &logService{firstOffset: 1}
}

func (l *logService) nextOffset() int64 {
	return l.firstOffset + int64(len(l.records))
}

func (l *logService) append(now time.Time, b claim.Batch) {
	l.records = append(l.records, logRecord{appendedAt: now, batch: b})
}

// expire removes the records older than logRetention.
func (l *logService) expire(now time.Time) {
	n := 0
	for n < len(l.records) && now.Sub(l.records[n].appendedAt) > logRetention {
		n++
	}
	l.firstOffset += int64(n)
	l.records = l.records[n:]
}

// settleLateAppend makes one late append take effect or drops it.
func (w *World) settleLateAppend() {
	l := w.log
	if len(l.lateAppends) == 0 {
		return
	}
	i := w.src.IntN(len(l.lateAppends))
	b := l.lateAppends[i]
	l.lateAppends = append(l.lateAppends[:i], l.lateAppends[i+1:]...)
	if w.chance(800) {
		w.tracef("late append takes effect at %d: %v", l.nextOffset(), b.Records)
		l.append(w.now, b)
	}
}
