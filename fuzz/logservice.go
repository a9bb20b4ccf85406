package fuzz

import (
	"time"

	"github.com/sapphirefield/sapphirefield/claim"
)

// logService is the platform's log with one stream.
type logService struct {
	down    bool
	first   int64
	records []logRecord
	// late holds appends that were not answered and have not taken effect yet.
	late []claim.Batch
}

type logRecord struct {
	at    time.Time
	batch claim.Batch
}

func newLogService() *logService {
	return &logService{first: 1}
}

func (l *logService) next() int64 {
	return l.first + int64(len(l.records))
}

func (l *logService) append(now time.Time, b claim.Batch) {
	l.records = append(l.records, logRecord{at: now, batch: b})
}

// expire removes the records that are older than the retention.
func (l *logService) expire(now time.Time) {
	n := 0
	for n < len(l.records) && now.Sub(l.records[n].at) > logRetention {
		n++
	}
	l.first += int64(n)
	l.records = l.records[n:]
}

// settle lets one late append take effect or vanish.
func (w *World) settle() {
	l := w.log
	if len(l.late) == 0 {
		return
	}
	i := w.src.IntN(len(l.late))
	b := l.late[i]
	l.late = append(l.late[:i], l.late[i+1:]...)
	if w.chance(800) {
		w.note("late append takes effect at %d: %v", l.next(), b.Records)
		l.append(w.now, b)
	}
}
