// Package attempt decides which attempt of a request may run and what a caller
// may be told about it. It performs no I/O and reads no clock.
package attempt

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
