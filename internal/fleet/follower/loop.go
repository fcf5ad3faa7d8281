package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboospread/internal/kernel/reporter"
)

// Run watches the store and asks peers until ctx ends.
//
// Peers are asked also while the store seems well: a watch whose connection was
// cut without a reset looks the same as one that waits, and would leave this
// process at an old version for as long as the watch lasts.
func (f *Follower) Run(ctx context.Context) error {
	peers := make(chan error, 1)
	go func() { peers <- f.followPeers(ctx) }()
	f.followStore(ctx)
	return <-peers
}

func (f *Follower) followStore(ctx context.Context) {
	if f.config.Keeper == nil {
		<-ctx.Done()
		return
	}
	pause, away := firstPause, false
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != away {
			away = err != nil
			f.reportStore(err)
		}
		if err == nil {
			pause = firstPause
			continue
		}
		// Spread the retries, so that a store that returns is not met by all
		// processes at once.
		wait(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, longestPause)
	}
}

// follow makes one call: a first read, or a waiting watch.
func (f *Follower) follow(ctx context.Context) error {
	f.mu.Lock()
	after, known := f.revision, f.known
	f.mu.Unlock()
	if !known {
		return f.read(ctx)
	}
	return f.watch(ctx, after, watchWait)
}

func (f *Follower) reportStore(err error) {
	if err == nil {
		f.config.Reporter.Report(reporter.FleetStoreBack, reporter.Fields{"version": f.Version()})
		return
	}
	f.config.Reporter.Report(reporter.FleetStoreAway, reporter.Fields{"version": f.Version(), "error": err.Error()})
}

func (f *Follower) followPeers(ctx context.Context) error {
	if f.config.FetchFromPeer == nil {
		return nil
	}
	for ctx.Err() == nil {
		f.askPeer(ctx)
		wait(ctx, peerInterval)
	}
	return nil
}

func (f *Follower) askPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := f.config.FetchFromPeer(ctx, f.Version())
	if err != nil {
		return // asked again soon
	}
	_ = f.Offer(reply) // reported there
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
