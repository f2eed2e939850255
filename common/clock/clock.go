// Package clock waits with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and returns the context's error when
// that was first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
