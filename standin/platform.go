package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// LogService is a fake of the platform's append-only log service. It can be made
// unavailable, lose the responses to appends, and expire old records.
type LogService struct {
	mu      sync.Mutex
	streams map[string]*logStream
	outage  bool
	// responsesToLose is the number of further appends that take effect without a response.
	responsesToLose int
	appendLimiter   *rate.Limiter
}

type logStream struct {
	firstOffset int64
	records     [][]byte
	changed     chan struct{}
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogPage is the response to a read.
type LogPage struct {
	FirstOffset int64       `json:"first"`
	NextOffset  int64       `json:"next"`
	Records     []LogRecord `json:"records"`
}

// appendsPerSecond is the rate limit of the platform's log service.
const appendsPerSecond = 500

// maxLogWait bounds a long poll.
const maxLogWait = 30 * time.Second

// maxPageRecords bounds the records of one LogPage.
const maxPageRecords = 1000

// NewLogService returns an empty log.
func NewLogService() *LogService {
	return &LogService{
		streams:       make(map[string]*logStream),
		appendLimiter: rate.NewLimiter(appendsPerSecond, appendsPerSecond),
	}
}

// Handler serves the log service's HTTP API.
func (l *LogService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{name}/records", l.serveRead)
	return mux
}

// SetOutage makes the log service refuse all requests, or ends the outage.
func (l *LogService) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
	for _, s := range l.streams {
		s.wake()
	}
}

// LoseResponses makes the next n appends take effect without a response.
func (l *LogService) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToLose = n
}

// Expire removes all records of a stream before an offset.
func (l *LogService) Expire(stream string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	drop := min(max(before-s.firstOffset, 0), int64(len(s.records)))
	s.records = s.records[drop:]
	s.firstOffset += drop
}

func (l *LogService) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *logStream) nextOffset() int64 { return s.firstOffset + int64(len(s.records)) }

func (l *LogService) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.appendLimiter.Allow() {
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		http.Error(w, "log is unavailable", http.StatusServiceUnavailable)
		return
	}
	s := l.stream(r.PathValue("name"))
	offset := s.nextOffset()
	s.records = append(s.records, data)
	s.wake()
	if l.responsesToLose > 0 {
		l.responsesToLose--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

func (l *LogService) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxLogWait))
	defer timer.Stop()
	for expired := false; ; {
		changed, answered := l.tryRead(w, r.PathValue("name"), from, expired || wait == 0)
		if answered {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// tryRead responds if there are records, an error, or allowEmpty is set. Otherwise it
// returns a channel that is closed when the stream changes.
func (l *LogService) tryRead(w http.ResponseWriter, stream string, from int64, allowEmpty bool) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		http.Error(w, "log is unavailable", http.StatusServiceUnavailable)
		return nil, true
	}
	s := l.stream(stream)
	if from < s.firstOffset {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, LogPage{FirstOffset: s.firstOffset, NextOffset: s.nextOffset(), Records: []LogRecord{}})
		return nil, true
	}
	if from >= s.nextOffset() && !allowEmpty {
		return s.changed, false
	}
	page := LogPage{FirstOffset: s.firstOffset, NextOffset: s.nextOffset(), Records: []LogRecord{}}
	for o := from; o < s.nextOffset() && len(page.Records) < maxPageRecords; o++ {
		page.Records = append(page.Records, LogRecord{Offset: o, Data: s.records[o-s.firstOffset]})
	}
	writeJSON(w, page)
	return nil, true
}

// Instance is one element of the platform's instance list.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Values of Instance.State.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// InstanceList is a fake of the platform's instance list, which may be outdated.
type InstanceList struct {
	mu        sync.Mutex
	instances []Instance
}

// Set replaces the list.
func (l *InstanceList) Set(instances []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = append([]Instance(nil), instances...)
}

// Handler serves GET /instances.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		writeJSON(w, map[string][]Instance{"instances": l.instances})
	})
	return mux
}

// WeightStore is a fake of the rate-limited weight store.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewWeightStore returns a store that serves bytesPerSecond over all requests.
func NewWeightStore(bytesPerSecond int) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond)}
}

// Handler serves GET /weights?bytes=N with N zero bytes at the store's rate.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights", func(w http.ResponseWriter, r *http.Request) {
		remaining, err := strconv.Atoi(r.URL.Query().Get("bytes"))
		if err != nil || remaining < 0 {
			http.Error(w, "bytes is not a size", http.StatusBadRequest)
			return
		}
		chunk := make([]byte, 64<<10)
		for remaining > 0 {
			n := min(remaining, len(chunk), s.limiter.Burst())
			if err := s.limiter.WaitN(r.Context(), n); err != nil {
				return
			}
			if _, err := w.Write(chunk[:n]); err != nil {
				return
			}
			remaining -= n
		}
	})
	return mux
}

// Bytes returns the total size of the records in a stream.
func (l *LogService) Bytes(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var total int64
	for _, record := range l.stream(stream).records {
		total += int64(len(record))
	}
	return total
}
