package logservice

import (
	"context"
	"time"
)

// Pause sleeps for d, or until ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
