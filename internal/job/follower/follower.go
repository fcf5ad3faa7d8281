// Package follower keeps the operators' policy up to date from the records that
// they write to the store.
package follower

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// Lengths of watches.
const (
	// watchWait bounds the age of what is known: a watch that answers with nothing
	// proves that nothing changed. Operators count on a change within 2 s.
	watchWait = 900 * time.Millisecond
	pause     = 100 * time.Millisecond
	// lagLimit is how long lists may be behind what was seen before it is taken that
	// the store lost its state and counts anew.
	lagLimit = 5 * time.Second
)

// Config holds the settings of a Follower.
type Config struct {
	Store  keeper.Calls
	Prefix string // of the operators' records
	// Decode reads all records below the prefix. With an error, for a text that it
	// can't read, it still returns the zones that are out.
	Decode   func(records map[string][]byte) (*specifier.Policy, error)
	Now      func() time.Time
	Reporter *reporter.Reporter
}

// Follower follows the policy. It is safe for concurrent use.
type Follower struct {
	config  Config
	policy  atomic.Pointer[specifier.Policy]
	contact atomic.Pointer[time.Time] // sent time of the last read that was answered
	records map[string][]byte
	after   int64     // 0: list first
	newest  int64     // highest revision seen
	lagFrom time.Time // since when lists are behind it; zero: they are not
	lost    bool
}

// New returns a Follower that knows no policy.
func New(c Config) *Follower { return &Follower{config: c} }

// Policy returns the policy in force, never nil; version 0 if none is known.
func (f *Follower) Policy() *specifier.Policy {
	if p := f.policy.Load(); p != nil {
		return p
	}
	return &unknown
}

var unknown specifier.Policy

// Age is how long ago the policy was surely the newest.
func (f *Follower) Age() time.Duration {
	at := f.contact.Load()
	if at == nil {
		return 1 << 62
	}
	return f.config.Now().Sub(*at)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := f.config.Now()
		changed, err := f.step(ctx)
		f.note(err)
		if err != nil {
			_ = pauser.Pause(ctx, pause)
			continue
		}
		f.contact.Store(&sentAt)
		if changed {
			f.publish(sentAt)
		}
	}
	return ctx.Err()
}

// step lists or watches once and tells whether a record changed.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if f.after == 0 {
		return true, f.list(ctx)
	}
	wait := watchWait
	if f.lost {
		// The store would answer a waiting watch almost a second after its return, and
		// callers would be refused meanwhile.
		wait = 0
	}
	seen, err := f.config.Store.Watch(ctx, keeper.WatchOptions{Prefix: f.config.Prefix, After: f.after, Wait: wait})
	if keeper.IsErrHistoryNotExist(err) {
		f.after = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.after = max(f.after, seen.Revision)
	f.newest = max(f.newest, f.after)
	for _, c := range seen.Changes {
		if c.Deleted {
			delete(f.records, c.Record.Key)
		} else {
			f.records[c.Record.Key] = c.Record.Value
		}
	}
	return len(seen.Changes) > 0, nil
}

func (f *Follower) list(ctx context.Context) error {
	records := make(map[string][]byte)
	first, after := int64(0), ""
	for {
		page, err := f.config.Store.FindRecords(ctx, keeper.ListOptions{Prefix: f.config.Prefix, After: after})
		if err != nil {
			return err
		}
		if after == "" {
			first = page.Revision // what changes during the listing is seen again
			if f.lags(first) {
				return fmt.Errorf("list of revision %d after %d", first, f.newest)
			}
		}
		for _, r := range page.Records {
			records[r.Key], after = r.Value, r.Key
		}
		if !page.More || len(page.Records) == 0 {
			f.records, f.after, f.newest = records, first, first
			return nil
		}
	}
}

// lags tells of a list that is behind what was seen: it may lack a zone that is out.
func (f *Follower) lags(revision int64) bool {
	if revision >= f.newest {
		f.lagFrom = time.Time{}
		return false
	}
	now := f.config.Now()
	if f.lagFrom.IsZero() {
		f.lagFrom = now
	}
	return now.Sub(f.lagFrom) < lagLimit
}

// publish puts a newer policy in force. A text that can't be read, or an older one, as
// a list served by a part of the store that lags may show, leaves the one in force. The
// zones are records of their own and don't wait for the text.
func (f *Follower) publish(sentAt time.Time) {
	p, err := f.config.Decode(f.records)
	old := f.Policy()
	if err == nil && p.Version < old.Version {
		err = fmt.Errorf("version %d came after %d", p.Version, old.Version)
	}
	if err != nil {
		f.config.Reporter.Report(reporter.PolicyUnreadable, reporter.Fields{"error": err.Error()})
		p = &specifier.Policy{Version: old.Version, Queues: old.Queues, ZonesOut: p.ZonesOut}
	}
	p.ReadAt = sentAt
	f.policy.Store(p)
	f.config.Reporter.Report(reporter.PolicyTaken, reporter.Fields{"version": p.Version, "queues": len(p.Queues), "zones-out": len(p.ZonesOut)})
}

// note logs when the store is lost and when it is back.
func (f *Follower) note(err error) {
	switch {
	case err != nil && !f.lost:
		f.config.Reporter.Report(reporter.StoreLost, reporter.Fields{"error": err.Error(), "reader": "policy"})
	case err == nil && f.lost:
		f.config.Reporter.Report(reporter.StoreRegained, reporter.Fields{"reader": "policy"})
	}
	f.lost = err != nil
}
