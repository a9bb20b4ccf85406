// Package attempt decides which attempt of a request may run, and whether a
// client may be told that its request did not run. It performs no I/O and reads
// no clock.
package attempt

import "github.com/sapphirefield/sapphirefield/wire"

// Executed says whether a backend server ran a request or an attempt.
type Executed int

// The values of Executed. The zero value claims nothing.
const (
	ExecutedUnknown Executed = iota
	ExecutedNo
	ExecutedYes
)

// String returns the value of the "executed" member in answers to clients.
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

// ParseExecuted parses the result of String. Any other text yields
// ExecutedUnknown.
func ParseExecuted(text string) Executed {
	for _, e := range []Executed{ExecutedNo, ExecutedYes} {
		if e.String() == text {
			return e
		}
	}
	return ExecutedUnknown
}

// FromWire converts the protobuf enum.
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

// Wire returns the protobuf enum value.
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
