// Package attempt decides which attempt of a request may run and what a caller
// may be told about it. It performs no I/O and reads no clock.
package attempt

import "github.com/sapphirefield/sapphirefield/wire"

// Executed tells whether a request was run by a backend server.
type Executed int

// The values of Executed. The zero value is the cautious one.
const (
	ExecutedUnknown Executed = iota
	ExecutedNo
	ExecutedYes
)

// String returns the value of the "executed" member in answers to callers.
func (e Executed) String() string {
	switch e {
	case ExecutedNo:
		return "no"
	case ExecutedYes:
		return "yes"
	default:
		return "unknown"
	}
}

// ParseExecuted reads what String writes. Any other text counts as unknown.
func ParseExecuted(text string) Executed {
	for _, e := range []Executed{ExecutedNo, ExecutedYes} {
		if e.String() == text {
			return e
		}
	}
	return ExecutedUnknown
}

// FromWire returns the value of a message.
func FromWire(e wire.Executed) Executed {
	switch e {
	case wire.Executed_EXECUTED_NO:
		return ExecutedNo
	case wire.Executed_EXECUTED_YES:
		return ExecutedYes
	default:
		return ExecutedUnknown
	}
}

// Wire returns the value for a message.
func (e Executed) Wire() wire.Executed {
	switch e {
	case ExecutedNo:
		return wire.Executed_EXECUTED_NO
	case ExecutedYes:
		return wire.Executed_EXECUTED_YES
	default:
		return wire.Executed_EXECUTED_UNKNOWN
	}
}
