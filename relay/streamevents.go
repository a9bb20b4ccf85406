package relay

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/eventstream"
)

// writeEvents forwards complete events, each one once and in order. It reports
// whether the stream has advanced: comments and repeated events do not count.
func (s *streamRequest) writeEvents(splitter *eventstream.Splitter, x *exchange, flusher *http.ResponseController) (progress bool, err error) {
	wrote := false
	for e, ok := splitter.Next(); ok; e, ok = splitter.Next() {
		if e.ID >= 0 && e.ID <= s.lastEventID {
			continue
		}
		if s.headerSent && s.deliveredEvents > 0 && e.ID > s.lastEventID+1 {
			return false, errors.Errorf("event %d follows event %d", e.ID, s.lastEventID)
		}
		if s.lastEventID >= 0 && e.ID < 0 && !e.IsComment() {
			// A failing engine may write an error, or the head of a response, into its stream.
			return false, errUnnumberedEvent
		}
		s.writeHeaderOnce(x)
		if _, err := s.w.Write(e.Bytes); err != nil {
			return false, err
		}
		wrote = true
		if e.IsComment() {
			continue
		}
		progress = true
		s.deliveredEvents++
		s.recordGap()
		if e.ID >= 0 {
			s.lastEventID = e.ID
		}
	}
	if splitter.Pending() > eventstream.MaxEventBytes {
		return false, errEventTooLarge
	}
	if !wrote {
		return progress, nil
	}
	return progress, flusher.Flush()
}

var errUnnumberedEvent = errors.New("text without an event ID in a stream of numbered events")

var errEventTooLarge = errors.New("an event is too large")

// checkStream returns why a response with a success status is not the stream that was
// asked for, or nil. One that continues a stream must be of the same type.
func (s *streamRequest) checkStream(x *exchange) error {
	switch {
	case !x.info.Signed:
		return errors.New("the engine's stream has no signature")
	case s.headerSent && mediaType(x) != s.mediaType:
		return errors.Errorf("the engine answered %q in place of a stream of type %q", mediaType(x), s.mediaType)
	}
	return nil
}

// mediaType returns the type of a response's body without its parameters.
func mediaType(x *exchange) string {
	media, _, _ := strings.Cut(x.response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// recordGap updates the longest time between two events.
func (s *streamRequest) recordGap() {
	now := time.Now()
	if !s.lastEventAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// writeHeaderOnce sends the response header of the first attempt.
func (s *streamRequest) writeHeaderOnce(x *exchange) {
	if s.headerSent {
		return
	}
	s.headerSent, s.firstByte, s.status, s.mediaType = true, time.Now(), x.response.StatusCode, mediaType(x)
	s.phase = phaseAnswering
	s.recordDemand(begun)
	s.copyHeader(x)
	s.w.WriteHeader(x.response.StatusCode)
}

// complete ends a stream that the engine has completed.
func (s *streamRequest) complete(x *exchange) (attemptResult, error) {
	x.release()
	s.writeHeaderOnce(x)
	s.outcome, s.responded = outcomeAnswered, true
	return answered, nil
}
