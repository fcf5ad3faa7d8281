package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// runsPerEpoch is above the number of runs that a task gets under one owner: even
// one that fails at once and for good waits a second between runs.
const runsPerEpoch = 1000

// listWait is what a page of all jobs may take beyond a usual call: a megabyte in base64
// takes over a second on a link of 10 Mbit/s that others use too.
const listWait = 4 * time.Second

// takeOver reads everything that the store has about the cell.
func (s *Scheduler) takeOver(ctx context.Context, epoch int64) (*owner, error) {
	now := s.config.Now()
	state := accountant.New(accountant.Config{RunFloor: (epoch - 1) * runsPerEpoch, Policy: s.config.Policy()})
	o := newOwner(s, epoch, state, now)
	work, revision, err := s.findAll(ctx, WorkPrefix)
	if err != nil {
		return nil, err
	}
	progress, _, err := s.findAll(ctx, progressPrefix)
	if err != nil {
		return nil, err
	}
	o.followFrom = revision
	for _, r := range work {
		if strings.HasPrefix(r.Key, jobPrefix) {
			o.takeJob(r, now.Add(s.config.Lease+o.leaseOver()), now)
		}
	}
	for _, r := range progress {
		o.writer.saw(r.Key, r.Revision)
		id := strings.TrimPrefix(r.Key, progressPrefix)
		if err := state.Restore(id, r.Value, now); err != nil {
			s.config.Reporter.Report(reporter.JobRecordsUnreadable, reporter.Fields{"key": r.Key, "error": err.Error()})
		}
	}
	for _, r := range work {
		if id, ok := strings.CutPrefix(r.Key, cancelPrefix); ok {
			o.takeCancellation(id, recordSeen{r, seenByTakeover}, now)
		}
	}
	if err := o.loadMembers(ctx); err != nil {
		return nil, err
	}
	o.loadLessons(ctx)
	return o, nil
}

// findAll lists all records below a prefix and the revision from which to follow
// them: that of the first page, so that a change during the listing is seen again.
func (s *Scheduler) findAll(ctx context.Context, prefix string) (all []keeper.Record, revision int64, err error) {
	after := ""
	for {
		page, err := s.config.Store.FindRecords(ctx, keeper.ListOptions{Prefix: prefix, After: after, Wait: listWait})
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if after == "" {
			revision = page.Revision
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return all, revision, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// takeJob takes an accepted job in and tells whether it is new.
func (o *owner) takeJob(r keeper.Record, settlesAt, now time.Time) bool {
	spec, err := accountant.DecodeJob(r.Value)
	if err != nil || JobKey(spec.ID) != r.Key {
		o.s.config.Reporter.Report(reporter.JobRecordsUnreadable, reporter.Fields{"key": r.Key, "error": fmt.Sprint(err)})
		return false
	}
	if !o.state.AddJob(spec, settlesAt, now) {
		return false
	}
	o.writer.saw(r.Key, r.Revision)
	o.s.config.Reporter.Report(reporter.JobLoaded, reporter.Fields{"job": spec.ID, "queue": spec.Queue, "steps": len(spec.Steps), "revision": r.Revision})
	return true
}

// membersKey is the key of the list of VMs whose agents may have had a grant of an
// owner of this cell.
func (s *Scheduler) membersKey() string { return fmt.Sprintf("cells/%s/vms", s.config.Cell) }

func (o *owner) loadMembers(ctx context.Context) error {
	record, err := o.s.config.Store.GetRecord(ctx, o.s.membersKey())
	if keeper.IsErrKeyNotExist(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read members: %w", err)
	}
	o.writer.saw(record.Key, record.Revision)
	var names []string
	if err := json.Unmarshal(record.Value, &names); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	for _, n := range names {
		o.members[n], o.listed[n] = true, true
		o.unheard[n] = true
	}
	return nil
}
