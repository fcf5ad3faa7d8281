// Package follower watches the operators' records in the store and keeps the policy up to date. While
// the store does not answer, it takes the records from the owner of the cell.
package follower

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/store/lister"
	"bamboospread/internal/wire/messenger"
)

// Watch and retry durations.
const (
	// watchWait bounds the age of the policy: a watch that returns no changes proves that the
	// policy is the newest. Operators expect a change to apply within 2 s.
	watchWait  = 900 * time.Millisecond
	retryDelay = 100 * time.Millisecond
	// confirmedAge is the highest age of the policy while watches are answered in time: it is as old as
	// the watch before the present one.
	confirmedAge = 2 * watchWait
	// overdueTime is how much older the policy may become before the present watch counts as lost.
	overdueTime = 100 * time.Millisecond
	// maxListLag is how long lists may be behind the newest known revision. After it the store
	// is assumed to have lost its state and to have restarted its revisions.
	maxListLag = 5 * time.Second
	// askInterval is the minimum time between requests to the owner while the store does not answer.
	// While the owner confirms the policy, and it does not get old before the next request, the store
	// is tried as often: the calls that it refuses would otherwise grow with the VMs that it turns away.
	askInterval = 400 * time.Millisecond
)

// Config holds the settings of a Follower.
type Config struct {
	Store  keeper.Calls
	Prefix string // of the operators' records
	// Decode decodes all records below the prefix. If it returns an error for an unreadable
	// text, the policy still holds the zones that are out.
	Decode func(records map[string][]byte) (*specifier.Policy, error)
	// AskOwner asks the owner of the cell for the records while the store does not answer this
	// process: the store may refuse some VMs and serve others. nil: it is not asked.
	AskOwner func(ctx context.Context, q messenger.WorkPolicyRequest) (messenger.WorkPolicyReply, error)
	Now      func() time.Time
	Reporter *reporter.Reporter
}

// Follower keeps the policy up to date. It is safe for concurrent use.
type Follower struct {
	config         Config
	policy         atomic.Pointer[specifier.Policy]
	contact        atomic.Pointer[time.Time] // when the policy was last certainly the newest
	known          atomic.Pointer[snapshot]
	records        map[string][]byte
	changedAt      int64          // no record has changed after this revision, up to after
	askedAt        time.Time      // when the owner was last asked
	byOwner        bool           // the owner has confirmed the policy since the store last answered
	after          int64          // 0: list first
	listing        *lister.Lister // in progress; nil: none
	listingSince   time.Time      // when the first page of the latest list was requested
	newestRevision int64          // highest revision seen
	lagSince       time.Time      // when lists first were behind newestRevision; zero: they are not
	transfer       time.Duration  // how much longer than its wait the latest watch took
	lost           bool
}

// snapshot is what the follower passes on to other processes. Its records are not changed any more.
type snapshot struct {
	records   map[string][]byte
	revision  int64 // of the store, up to which the records are complete
	changedAt int64
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
// answered read it returns a duration above every limit. It holds for a policy that is read after it.
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
		at, changed, err := f.step(ctx)
		f.reportReachability(err)
		if err != nil {
			pause := retryDelay
			if f.askOwner(ctx) && f.Age()+askInterval <= confirmedAge+overdueTime {
				pause = askInterval
			}
			_ = pauser.Pause(ctx, pause)
			continue
		}
		f.byOwner = false
		f.confirm(at, changed)
	}
	return ctx.Err()
}

// confirm records that the records were certainly the newest at the given time. The time comes last:
// whoever reads the age before the policy never takes an old policy for a new one.
func (f *Follower) confirm(at time.Time, changed bool) {
	if changed {
		f.publish(at)
	}
	f.known.Store(&snapshot{records: f.records, revision: f.after, changedAt: f.changedAt})
	f.contact.Store(&at)
}

// askOwner takes the records from the owner, which may reach the store while this process does not,
// and reports whether it has confirmed them. Without it, a third of the entries refuse their callers
// if the store refuses a third of the VMs.
func (f *Follower) askOwner(ctx context.Context) (confirmed bool) {
	now := f.config.Now()
	if f.config.AskOwner == nil || now.Sub(f.askedAt) < askInterval {
		return false
	}
	f.askedAt = now
	a, err := f.config.AskOwner(ctx, messenger.WorkPolicyRequest{After: f.after})
	at := now.Add(-time.Duration(a.AgeMillis) * time.Millisecond)
	if known := f.contact.Load(); err != nil || a.Revision == 0 || a.Revision < f.after || known != nil && !at.After(*known) {
		return false
	}
	if a.Changed {
		f.records = make(map[string][]byte, len(a.Records))
		for _, r := range a.Records {
			f.records[r.Key] = r.Value
		}
		f.changedAt = a.Revision
	}
	f.after, f.newestRevision, f.listing = a.Revision, max(f.newestRevision, a.Revision), nil
	f.confirm(at, a.Changed)
	if a.Changed || !f.byOwner {
		f.config.Reporter.Report(reporter.PolicyConfirmed, reporter.Fields{"revision": a.Revision, "changed": a.Changed, "age": f.Age().String()})
	}
	f.byOwner = true
	return true
}

// Records answers the request of an entry that cannot reach the store. The reply of a follower that
// has read nothing yet is empty and as old as can be.
func (f *Follower) Records(q messenger.WorkPolicyRequest) messenger.WorkPolicyReply {
	age := f.Age()                                                   // before the records are read: they may be newer, but not older
	millis := int64((age + time.Millisecond - 1) / time.Millisecond) // rounded up: an owner that asks itself would confirm an old policy
	known := f.known.Load()
	if known == nil {
		return messenger.WorkPolicyReply{AgeMillis: millis}
	}
	a := messenger.WorkPolicyReply{Revision: known.revision, AgeMillis: millis, Changed: q.After < known.changedAt}
	if !a.Changed {
		return a
	}
	for key, value := range known.records {
		a.Records = append(a.Records, messenger.PolicyRecord{Key: key, Value: value})
	}
	return a
}

// step lists or watches once and reports whether a record may have changed. The records are those of
// the returned time or later ones.
func (f *Follower) step(ctx context.Context) (at time.Time, changed bool, err error) {
	if f.after == 0 {
		at, err = f.list(ctx)
		return at, true, err
	}
	a := f.ask(ctx)
	if a.listed {
		return a.sentAt, true, nil
	}
	at, result, err := a.sentAt, a.result, a.err
	if keeper.IsErrHistoryNotExist(err) {
		// Not a confirmation: the answer does not tell whether anything has changed.
		f.after = 0
		at, err = f.list(ctx)
		return at, true, err
	}
	if err != nil {
		return at, false, err
	}
	f.after, f.listing = max(f.after, result.Revision), nil
	f.newestRevision = max(f.newestRevision, f.after)
	if len(result.Changes) == 0 {
		return at, false, nil
	}
	f.records, f.changedAt = maps.Clone(f.records), f.after
	for _, c := range result.Changes {
		if c.Deleted {
			delete(f.records, c.Record.Key)
		} else {
			f.records[c.Record.Key] = c.Record.Value
		}
	}
	return at, true, nil
}

// answer is the result of a watch, or of a list that was made beside it.
type answer struct {
	sentAt time.Time
	result keeper.WatchResult // of a watch
	listed bool               // the records are those of the list
	err    error
}

// ask watches for changes. A watch whose answer is lost looks like one that waits, and callers would be
// served by a policy that is known to be old until it fails: once it is overdue, all records are read
// beside it. That is not another watch, since the store may answer none before it drops its history.
func (f *Follower) ask(ctx context.Context) answer {
	o := keeper.WatchOptions{Prefix: f.config.Prefix, After: f.after, Wait: f.nextWait()}
	limit := overdueTime + f.transfer
	if o.Wait > 0 {
		limit = confirmedAge + overdueTime - f.Age()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan answer, 1)
	go func() { watched <- f.watch(ctx, o) }()
	overdue := time.NewTimer(limit)
	defer overdue.Stop()
	select {
	case a := <-watched:
		if a.err == nil && (len(a.result.Changes) == 0 || o.Wait == 0) {
			f.transfer = max(f.config.Now().Sub(a.sentAt)-o.Wait, 0)
		}
		return a
	case <-overdue.C:
	}
	a := f.listBeside(ctx, watched)
	f.config.Reporter.Report(reporter.PolicyWatchOverdue, reporter.Fields{
		"age": f.Age().String(), "listed": a.listed, "took": f.config.Now().Sub(a.sentAt).String(), "error": errorText(a.err),
	})
	return a
}

// listBeside reads all records until that succeeds or the watch has ended.
func (f *Follower) listBeside(ctx context.Context, watched <-chan answer) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listed := make(chan answer, 1)
	go func() {
		for {
			at, err := f.list(ctx)
			if err == nil || pauser.Pause(ctx, retryDelay) != nil {
				listed <- answer{sentAt: at, listed: err == nil, err: err}
				return
			}
		}
	}()
	select {
	case a := <-listed:
		return a
	case a := <-watched:
		cancel()
		// The changes that the watch has seen may be older than a list that is complete.
		if l := <-listed; l.listed {
			return l
		}
		return a
	}
}

// watch makes a watch.
func (f *Follower) watch(ctx context.Context, o keeper.WatchOptions) answer {
	a := answer{sentAt: f.config.Now()}
	a.result, a.err = f.config.Store.Watch(ctx, o)
	return a
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// nextWait returns how long the next watch may wait. An answer confirms the policy for the time at which
// its watch was sent, so a watch that waits leaves an old policy old.
func (f *Follower) nextWait() time.Duration {
	if f.lost {
		// A waiting watch would be answered almost a second after the store is back, and
		// callers would be refused until then.
		return 0
	}
	return min(watchWait, max(confirmedAge-f.transfer-f.Age(), 0))
}

// list reads all records and returns when the first page was requested. Pages that were read are kept
// when a later one can't be read.
func (f *Follower) list(ctx context.Context) (time.Time, error) {
	if f.listing == nil {
		f.listingSince = f.config.Now()
		f.listing = lister.New(lister.Config{FindRecords: f.config.Store.FindRecords, Prefix: f.config.Prefix})
	}
	l := f.listing
	for !l.Complete() {
		if err := l.ReadPage(ctx); err != nil {
			if l.Pages() == 0 {
				f.listing = nil
			}
			return f.listingSince, err
		}
		if l.Pages() == 1 && f.isBehind(l.Revision()) {
			f.listing = nil
			return f.listingSince, fmt.Errorf("list is at revision %d, behind revision %d seen before", l.Revision(), f.newestRevision)
		}
	}
	f.listing = nil
	f.records = make(map[string][]byte, len(l.Records()))
	for _, r := range l.Records() {
		f.records[r.Key] = r.Value
	}
	f.after, f.newestRevision, f.changedAt = l.Revision(), l.Revision(), l.Revision()
	return f.listingSince, nil
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
	f.config.Reporter.Report(reporter.PolicyApplied, reporter.Fields{"version": p.Version, "queues": len(p.Queues), "zones-out": len(p.ZonesOut), "bytes": sizeOf(f.records), "age": f.config.Now().Sub(sentAt).String()})
}

func sizeOf(records map[string][]byte) (bytes int) {
	for _, value := range records {
		bytes += len(value)
	}
	return bytes
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
