// Package follower watches the operators' records in the store and keeps the policy up to date.
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

// Watch and retry durations.
const (
	// watchWait bounds the age of the policy: a watch that returns no changes proves that the
	// policy is the newest. Operators expect a change to apply within 2 s.
	watchWait  = 900 * time.Millisecond
	retryDelay = 100 * time.Millisecond
	// maxListLag is how long lists may be behind the newest known revision. After it the store
	// is assumed to have lost its state and to have restarted its revisions.
	maxListLag = 5 * time.Second
)

// Config holds the settings of a Follower.
type Config struct {
	Store  keeper.Calls
	Prefix string // of the operators' records
	// Decode decodes all records below the prefix. If it returns an error for an unreadable
	// text, the policy still holds the zones that are out.
	Decode   func(records map[string][]byte) (*specifier.Policy, error)
	Now      func() time.Time
	Reporter *reporter.Reporter
}

// Follower keeps the policy up to date. It is safe for concurrent use.
type Follower struct {
	config         Config
	policy         atomic.Pointer[specifier.Policy]
	contact        atomic.Pointer[time.Time] // when the last answered read was sent
	records        map[string][]byte
	after          int64     // 0: list first
	newestRevision int64     // highest revision seen
	lagSince       time.Time // when lists first were behind newestRevision; zero: they are not
	lost           bool
}

// New returns a Follower without a policy.
func New(c Config) *Follower { return &Follower{config: c} }

// Policy returns the policy in force, never nil. Its version is 0 until one has been read.
func (f *Follower) Policy() *specifier.Policy {
	if p := f.policy.Load(); p != nil {
		return p
	}
	return &noPolicy
}

var noPolicy specifier.Policy

// Age returns the time since the policy was last confirmed to be the newest. Before the first
// answered read it returns a duration above every limit.
func (f *Follower) Age() time.Duration {
	at := f.contact.Load()
	if at == nil {
		return 1 << 62
	}
	return f.config.Now().Sub(*at)
}

// Run keeps the policy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := f.config.Now()
		changed, err := f.step(ctx)
		f.reportReachability(err)
		if err != nil {
			_ = pauser.Pause(ctx, retryDelay)
			continue
		}
		f.contact.Store(&sentAt)
		if changed {
			f.publish(sentAt)
		}
	}
	return ctx.Err()
}

// step lists or watches once and reports whether a record may have changed.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if f.after == 0 {
		return true, f.list(ctx)
	}
	wait := watchWait
	if f.lost {
		// A waiting watch would be answered almost a second after the store is back, and
		// callers would be refused until then.
		wait = 0
	}
	result, err := f.config.Store.Watch(ctx, keeper.WatchOptions{Prefix: f.config.Prefix, After: f.after, Wait: wait})
	if keeper.IsErrHistoryNotExist(err) {
		f.after = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.after = max(f.after, result.Revision)
	f.newestRevision = max(f.newestRevision, f.after)
	for _, c := range result.Changes {
		if c.Deleted {
			delete(f.records, c.Record.Key)
		} else {
			f.records[c.Record.Key] = c.Record.Value
		}
	}
	return len(result.Changes) > 0, nil
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
			first = page.Revision // the watch returns changes during the listing again
			if f.isBehind(first) {
				return fmt.Errorf("list is at revision %d, behind revision %d seen before", first, f.newestRevision)
			}
		}
		for _, r := range page.Records {
			records[r.Key], after = r.Value, r.Key
		}
		if !page.More || len(page.Records) == 0 {
			f.records, f.after, f.newestRevision = records, first, first
			return nil
		}
	}
}

// isBehind reports whether a list is behind the newest known revision, for up to maxListLag.
// Such a list may lack a zone that is out.
func (f *Follower) isBehind(revision int64) bool {
	if revision >= f.newestRevision {
		f.lagSince = time.Time{}
		return false
	}
	now := f.config.Now()
	if f.lagSince.IsZero() {
		f.lagSince = now
	}
	return now.Sub(f.lagSince) < maxListLag
}

// publish puts a newer policy in force. An unreadable or older text, as a lagging replica of
// the store may return, leaves the current one in force. Zones are records of their own, so
// their changes apply even if the text is rejected.
func (f *Follower) publish(sentAt time.Time) {
	p, err := f.config.Decode(f.records)
	old := f.Policy()
	if err == nil && p.Version < old.Version {
		err = fmt.Errorf("policy version %d is older than version %d in force", p.Version, old.Version)
	}
	if err != nil {
		f.config.Reporter.Report(reporter.PolicyUnreadable, reporter.Fields{"error": err.Error()})
		p = &specifier.Policy{Version: old.Version, Queues: old.Queues, ZonesOut: p.ZonesOut}
	}
	p.ReadAt = sentAt
	f.policy.Store(p)
	f.config.Reporter.Report(reporter.PolicyApplied, reporter.Fields{"version": p.Version, "queues": len(p.Queues), "zones-out": len(p.ZonesOut)})
}

// reportReachability logs when the store is lost and when it is reachable again.
func (f *Follower) reportReachability(err error) {
	switch {
	case err != nil && !f.lost:
		f.config.Reporter.Report(reporter.StoreUnreachable, reporter.Fields{"error": err.Error(), "reader": "policy"})
	case err == nil && f.lost:
		f.config.Reporter.Report(reporter.StoreReachable, reporter.Fields{"reader": "policy"})
	}
	f.lost = err != nil
}
