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

// Guards against work that waits for the last agent to find an owner that took the cell over
// long ago: agents look as often as at first while nobody is known to own it.
func TestAgentsLookForAnOwnerAtAnUnchangingPause(t *testing.T) {
	var looks atomic.Int64
	a := New(Config{
		Cell: "c", Now: time.Now, Reporter: reporter.Discard(),
		Guardian: guardian.New(guardian.Config{VM: "vm-1", Reporter: reporter.Discard(), Now: time.Now}),
		GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
			looks.Add(1)
			return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
		},
	})
	const spell = 10 * findPause
	ctx, cancel := context.WithTimeout(t.Context(), spell)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	<-ended
	// With a pause that doubles there would be four looks.
	if n := looks.Load(); n < 7 || n > 11 {
		t.Errorf("%d looks in %s", n, spell)
	}
}
