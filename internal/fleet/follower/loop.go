package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboospread/internal/kernel/reporter"
)

// Run watches the store and polls peers until ctx ends.
//
// Peers are polled even while the store seems reachable: a watch whose connection was
// cut without a reset looks the same as one that waits, and would keep this process
// at an old version until the watch ends.
func (f *Follower) Run(ctx context.Context) error {
	peers := make(chan error, 1)
	go func() { peers <- f.runPeerLoop(ctx) }()
	f.runStoreLoop(ctx)
	return <-peers
}

func (f *Follower) runStoreLoop(ctx context.Context) {
	if f.config.Keeper == nil {
		<-ctx.Done()
		return
	}
	delay, unreachable := minRetryDelay, false
	for ctx.Err() == nil {
		err := f.readOrWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != unreachable {
			unreachable = err != nil
			f.reportStoreState(err)
		}
		if err == nil {
			delay = minRetryDelay
			continue
		}
		// Add jitter, so that not all processes call a recovered store at once.
		wait(ctx, delay/2+rand.N(delay/2+1))
		delay = min(2*delay, maxRetryDelay)
	}
}

// readOrWatch makes one call: the first read, or a waiting watch.
func (f *Follower) readOrWatch(ctx context.Context) error {
	f.mu.Lock()
	after, storeRead := f.revision, f.storeRead
	f.mu.Unlock()
	if !storeRead {
		return f.read(ctx)
	}
	return f.watch(ctx, after, watchWait)
}

func (f *Follower) reportStoreState(err error) {
	if err == nil {
		f.config.Reporter.Report(reporter.FleetStoreReachable, reporter.Fields{"version": f.Version()})
		return
	}
	f.config.Reporter.Report(reporter.FleetStoreUnreachable, reporter.Fields{"version": f.Version(), "error": err.Error()})
}

func (f *Follower) runPeerLoop(ctx context.Context) error {
	if f.config.FetchFromPeer == nil {
		return nil
	}
	for ctx.Err() == nil {
		f.pollPeer(ctx)
		wait(ctx, peerPollInterval)
	}
	return nil
}

func (f *Follower) pollPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := f.config.FetchFromPeer(ctx, f.Version())
	if err != nil {
		return // polled again after peerPollInterval
	}
	_ = f.Offer(reply) // Offer logs a failure
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
