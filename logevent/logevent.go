// Package logevent defines the numbered events that processes log. The meaning of
// a number never changes; docs/log-events.md is the catalogue.
package logevent

import (
	"fmt"

	"github.com/phuslu/log"
)

// Event is the number of a log event.
type Event int

// Definition describes an event: how it is logged and what an operator should do.
type Definition struct {
	Event   Event
	Level   log.Level
	Message string
	// Action says what an operator should do; empty if no action is needed.
	Action string
}

// Write starts a log entry for the event. The caller adds fields and writes the
// entry with Msg(""), because the message is already set.
func Write(logger *log.Logger, event Event) *log.Entry {
	def := definitions[event]
	return logger.WithLevel(def.Level).Int("event", int(event)).Str("message", def.Message)
}

// Definitions returns all events in the order of the catalogue.
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
