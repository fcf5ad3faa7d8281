package attender

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/guardian"
)

const (
	ownerKey  = "cells/c/owner"
	testLimit = 5 * time.Second
)

// start runs an attender until the test ends.
func start(t *testing.T, c Config) {
	t.Helper()
	c.Cell, c.Now, c.Reporter = "c", time.Now, reporter.Discard()
	if c.Guardian == nil {
		c.Guardian = guardian.New(guardian.Config{VM: "vm-1", Reporter: reporter.Discard(), Now: time.Now})
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- New(c).Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
}

// Guards against work that waits for the last agent to find an owner that took over the cell
// long before: while no owner is known, agents must look it up at a constant interval. The store's
// watches fail, so that each lookup is a read.
func TestUnknownOwnerIsLookedUpAtConstantInterval(t *testing.T) {
	var lookups atomic.Int64
	const duration = 10 * retryPause
	start(t, Config{
		FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) {
			lookups.Add(1)
			return keeper.ListResult{}, nil
		},
		Watch: func(context.Context, keeper.WatchOptions) (keeper.WatchResult, error) {
			return keeper.WatchResult{}, keeper.ErrUnavailable{}
		},
	})
	time.Sleep(duration)
	// With a pause that doubles there would be four lookups.
	if n := lookups.Load(); n < 7 || n > 11 {
		t.Errorf("%d lookups in %s, want 7 to 11", n, duration)
	}
}

// vacantStore has no record of an owner until publish is called.
type vacantStore struct {
	calls     atomic.Int64
	published chan struct{}
	record    keeper.Record
}

func (s *vacantStore) find(context.Context, keeper.ListOptions) (keeper.ListResult, error) {
	s.calls.Add(1)
	select {
	case <-s.published:
		return keeper.ListResult{Revision: 2, Records: []keeper.Record{s.record}}, nil
	default:
		return keeper.ListResult{Revision: 1}, nil
	}
}

func (s *vacantStore) watch(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
	s.calls.Add(1)
	select {
	case <-s.published:
		return keeper.WatchResult{Revision: 2, Changes: []keeper.Change{{Record: s.record}}}, nil
	case <-time.After(o.Wait):
		return keeper.WatchResult{Revision: o.After}, nil
	case <-ctx.Done():
		return keeper.WatchResult{}, keeper.ErrUnavailable{Cause: ctx.Err()}
	}
}

func (s *vacantStore) publish(t *testing.T, o messenger.CellOwner) {
	t.Helper()
	value, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	s.record = keeper.Record{Key: ownerKey, Value: value, Revision: 2}
	close(s.published)
}

// Guards against agents that read the store again and again while the cell is vacant, all of them
// together more often than it allows, and find the owner late all the same.
func TestVacantCellIsWatched(t *testing.T) {
	reached := make(chan struct{}, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			reached <- struct{}{}
			c.Close()
		}
	}()
	s := &vacantStore{published: make(chan struct{})}
	start(t, Config{FindRecords: s.find, Watch: s.watch})
	const vacant = 3 * vacancyWait / 2
	time.Sleep(vacant)
	if n := s.calls.Load(); n > 4 {
		t.Errorf("%d calls to the store in %s, want 4 at most", n, vacant)
	}
	began := time.Now()
	s.publish(t, messenger.CellOwner{Cell: "c", Epoch: 1, EntryID: "e", Address: l.Addr().String()})
	select {
	case <-reached:
	case <-time.After(testLimit):
		t.Fatal("the owner was not found")
	}
	if took := time.Since(began); took > retryPause {
		t.Errorf("the owner was found after %s, want %s at most", took, retryPause)
	}
}
