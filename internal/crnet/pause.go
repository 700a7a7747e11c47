package crnet

import (
	"context"
	"time"
)

// Pause waits for the duration d, or until ctx is cancelled.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
