// Package bootclock reads a clock that goes on while the machine is suspended.
//
// The monotonic clock of package time stops then. A process that measures the age
// of a lease, of a configuration or of a request with it acts on permissions that
// have run out while it was suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// started and supported are fixed at the start, so that all times come from one
// clock.
var (
	started   = time.Now()
	_, err    = read()
	supported = err == nil
)

// Now returns the time since the machine was booted, suspensions included, as a
// time that can only be compared with other results of Now. Without such a clock it
// is the time since the start of the process.
func Now() time.Time {
	if supported {
		if since, err := read(); err == nil {
			return time.Unix(0, 0).Add(since)
		}
	}
	return time.Unix(0, 0).Add(time.Since(started))
}

// Since returns the time since an earlier result of Now.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

func read() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}
