package attender

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/worker/guardian"
)

// Guards against work that waits for the last agent to find an owner that took over the cell
// long before: while no owner is known, agents must look it up at a constant interval.
func TestUnknownOwnerIsLookedUpAtConstantInterval(t *testing.T) {
	var lookups atomic.Int64
	a := New(Config{
		Cell: "c", Now: time.Now, Reporter: reporter.Discard(),
		Guardian: guardian.New(guardian.Config{VM: "vm-1", Reporter: reporter.Discard(), Now: time.Now}),
		GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
			lookups.Add(1)
			return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
		},
	})
	const duration = 10 * retryPause
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	<-ended
	// With a pause that doubles there would be four lookups.
	if n := lookups.Load(); n < 7 || n > 11 {
		t.Errorf("%d lookups in %s, want 7 to 11", n, duration)
	}
}
