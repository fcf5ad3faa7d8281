package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboospread/internal/kernel/reporter"
)

// Run watches the store, and asks peers while the store can't be read, until
// ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	peers := make(chan error, 1)
	storeDown := make(chan bool, 1)
	go func() { peers <- f.runPeers(ctx, storeDown) }()
	f.runStore(ctx, storeDown)
	return <-peers
}

func (f *Follower) runStore(ctx context.Context, storeDown chan bool) {
	if f.config.Keeper == nil {
		setLatest(storeDown, true)
		<-ctx.Done()
		return
	}
	pause, down := firstPause, false
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != down {
			down = err != nil
			f.reportStore(err)
			setLatest(storeDown, down)
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
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	return f.watch(ctx, after, watchWait)
}

func (f *Follower) reportStore(err error) {
	if err == nil {
		f.config.Reporter.Report(reporter.FleetStoreBack, reporter.Fields{"version": f.Version()})
		return
	}
	f.config.Reporter.Report(reporter.FleetStoreAway, reporter.Fields{"version": f.Version(), "error": err.Error()})
}

// runPeers asks a peer each second while the store is down. A version that was
// accepted just before an outage reaches every process by this way.
func (f *Follower) runPeers(ctx context.Context, storeDown <-chan bool) error {
	down := false
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case down = <-storeDown:
		case <-ticker.C:
		}
		if !down || f.config.FetchFromPeer == nil {
			continue
		}
		f.askPeer(ctx)
	}
}

func (f *Follower) askPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerInterval)
	defer cancel()
	reply, err := f.config.FetchFromPeer(ctx, f.Version())
	if err != nil {
		return // asked again in a second
	}
	_ = f.Offer(reply) // reported there
}

// setLatest replaces what is in c, which holds one value.
func setLatest(c chan bool, v bool) {
	select {
	case <-c:
	default:
	}
	c <- v
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
