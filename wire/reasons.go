package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// serverEndedPrefix begins the reason of a Failed frame when the backend server has
// ended.
const serverEndedPrefix = "backend server ended #"

// ServerEndedReason returns the reason of a Failed frame for work that was in progress
// when the backend server ended. number counts how often it has ended beside this
// incarnation of the sidecar.
func ServerEndedReason(number uint64, cause string) string {
	return fmt.Sprintf("%s%d: %s", serverEndedPrefix, number, cause)
}

// ParseServerEnded returns the number of a reason from ServerEndedReason.
func ParseServerEnded(reason string) (number uint64, ok bool) {
	rest, ok := strings.CutPrefix(reason, serverEndedPrefix)
	if !ok {
		return 0, false
	}
	text, _, _ := strings.Cut(rest, ":")
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}
