// Package pauser provides a pause that ends early when its context does.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d. It returns early, with the context's error, when ctx ends.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
