// Package logevent numbers the events that processes write to their logs. A
// number never changes its meaning; docs/log-events.md is the catalogue.
package logevent

import (
	"fmt"

	"github.com/phuslu/log"
)

// Event is the number of a log event.
type Event int

// Definition describes an event for the catalogue.
type Definition struct {
	Event   Event
	Level   log.Level
	Message string
	// Action says what an operator should do; empty when nothing is needed.
	Action string
}

// Write starts a log line for the event. The caller adds fields and ends the
// line with Msg(""), because the message is already set.
func Write(logger *log.Logger, event Event) *log.Entry {
	def := definitions[event]
	return logger.WithLevel(def.Level).Int("event", int(event)).Str("message", def.Message)
}

// Definitions returns all events in the order of their numbers.
func Definitions() []Definition {
	return append([]Definition(nil), catalogue...)
}

var definitions = func() map[Event]Definition {
	m := make(map[Event]Definition, len(catalogue))
	for _, d := range catalogue {
		m[d.Event] = d
	}
	return m
}()

// Row formats a definition as a row of the table in docs/log-events.md.
func Row(d Definition) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", d.Event, d.Level, d.Message, d.Action)
}
