package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/decoder"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/store/lister"
)

// takeOver loads the cell's state from the store.
func (s *Scheduler) takeOver(ctx context.Context, epoch int64) (*owner, error) {
	now := s.config.Now()
	state := tracker.New(tracker.Config{RunFloor: (epoch - 1) * runsPerEpoch, Policy: s.config.Policy(), Random: rand.Float64})
	o := newOwner(s, epoch, state, now)
	work, revision, err := s.findAll(ctx, WorkPrefix)
	if err != nil {
		return nil, err
	}
	o.phases.endRead("read-jobs", work)
	progress, _, err := s.findAll(ctx, progressPrefix)
	if err != nil {
		return nil, err
	}
	o.phases.endRead("read-progress", progress)
	o.watchFrom, o.numbers.most = revision, revision
	if err := o.loadMembers(ctx); err != nil {
		return nil, err
	}
	if err := o.loadSilences(ctx); err != nil {
		return nil, err
	}
	for _, r := range work {
		if strings.HasPrefix(r.Key, jobPrefix) {
			o.addJob(r, o.reconcileTime(r), now)
		}
	}
	var held keeper.Record
	for _, r := range progress {
		o.writer.setRevision(r.Key, r.Revision)
		id := strings.TrimPrefix(r.Key, progressPrefix)
		if r.Key == heldEndsKey {
			held = r
			continue
		}
		if err := state.Restore(id, r.Value, now); err != nil {
			s.reportUnreadable(r.Key, err, nil)
		}
	}
	if held.Key != "" {
		o.restoreHeldEnds(held, now)
	}
	for _, r := range work {
		if id, ok := strings.CutPrefix(r.Key, cancelPrefix); ok {
			o.addCancellation(id, recordSeen{r, sourceTakeover}, now)
		}
	}
	o.phases.end("restore")
	o.loadSnapshots(ctx, now)
	o.phases.end("read-rest")
	return o, nil
}

// phaseTimes measures the phases of a takeover, for its log line.
type phaseTimes struct {
	now       func() time.Time
	startedAt time.Time // of the current phase
	text      strings.Builder
}

// end records that the current phase has ended; the next one begins.
func (p *phaseTimes) end(name string) {
	now := p.now()
	fmt.Fprintf(&p.text, "%s %s, ", name, now.Sub(p.startedAt).Round(time.Millisecond))
	p.startedAt = now
}

// endRead records that a phase that read records has ended.
func (p *phaseTimes) endRead(name string, records []keeper.Record) {
	bytes := 0
	for _, r := range records {
		bytes += len(r.Value)
	}
	p.end(fmt.Sprintf("%s (%d records, %d bytes)", name, len(records), bytes))
}

func (p *phaseTimes) String() string { return strings.TrimSuffix(p.text.String(), ", ") }

// maxReadFailures is how many reads of a takeover may fail one after the other. Another entry may
// reach the store when this one does not.
const maxReadFailures = 3

// findAll lists all records below a prefix. It returns the revision of the first page as the
// one to watch from, so that changes during the listing are seen again.
func (s *Scheduler) findAll(ctx context.Context, prefix string) (all []keeper.Record, revision int64, err error) {
	l := lister.New(lister.Config{FindRecords: s.config.Store.FindRecords, Prefix: prefix})
	for !l.Complete() {
		if err := s.retryRead(ctx, func() error { return l.ReadPage(ctx) }); err != nil {
			return nil, 0, fmt.Errorf("list %s after %d pages: %w", prefix, l.Pages(), err)
		}
	}
	return l.Records(), l.Revision(), nil
}

// retryRead repeats a read that fails: without it, a takeover that has read nearly everything is
// given up, and the next owner reads all of it again.
func (s *Scheduler) retryRead(ctx context.Context, read func() error) error {
	for failures := 1; ; failures++ {
		err := read()
		if err == nil || keeper.IsErrKeyNotExist(err) || failures == maxReadFailures || ctx.Err() != nil {
			return err
		}
		if err := pauser.Pause(ctx, retryDelay); err != nil {
			return err
		}
	}
}

// addJob adds an accepted job and reports whether it is new.
func (o *owner) addJob(r keeper.Record, reconcileAt, now time.Time) bool {
	spec, err := tracker.DecodeJob(r.Value)
	if err != nil || JobKey(spec.ID) != r.Key {
		if err == nil {
			err = fmt.Errorf("job %q is not that of the key", spec.ID)
		}
		o.s.reportUnreadable(r.Key, err, nil)
		return false
	}
	if !o.state.AddJob(spec, reconcileAt, now) {
		return false
	}
	o.writer.setRevision(r.Key, r.Revision)
	o.s.config.Reporter.Report(reporter.JobLoaded, reporter.Fields{"job": spec.ID, "queue": spec.Queue, "account": spec.Account, "steps": len(spec.Steps), "revision": r.Revision})
	return true
}

// membersKey returns the key of the list of VMs whose agents may have been granted leases by an
// owner of this cell.
func (s *Scheduler) membersKey() string { return fmt.Sprintf("cells/%s/vms", s.config.Cell) }

// unknownMember stands for the members of a list that can't be read. It never reports, so inherited
// jobs wait until all leases have expired, also those of the owner after this one.
const unknownMember = "(unknown)"

func (o *owner) loadMembers(ctx context.Context) error {
	var record keeper.Record
	err := o.s.retryRead(ctx, func() (err error) {
		record, err = o.s.config.Store.GetRecord(ctx, o.s.membersKey())
		return err
	})
	if keeper.IsErrKeyNotExist(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read members: %w", err)
	}
	o.writer.setRevision(record.Key, record.Revision)
	names, err := decoder.Decode[[]string](record.Value)
	if err == nil && slices.Contains(names, "") {
		err = errors.New("a member has no name")
	}
	if err != nil {
		o.s.reportUnreadable(record.Key, err, nil)
		names = []string{unknownMember}
	}
	for _, n := range names {
		o.members[n], o.listed[n] = true, true
		o.unreported[n] = true
	}
	return nil
}
