package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/admitter"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// refusalPrefix is the prefix of the records of refused jobs. Owners do not watch it and do not read it
// at a takeover.
const refusalPrefix = "refusals/"

// RefusalKey returns the key of the record of a refused job.
func RefusalKey(id string) string { return refusalPrefix + id }

const (
	removeRefusalsInterval = time.Minute
	removeRefusalsTimeout  = 10 * time.Second
)

// removeRefusals starts the removal of expired refusals when it is due.
func (o *owner) removeRefusals(now time.Time) {
	a := o.load.admission
	if a.removeAt.IsZero() {
		a.removeAt = now.Add(removeRefusalsInterval)
	}
	if now.Before(a.removeAt) {
		return
	}
	a.removeAt = now.Add(removeRefusalsInterval)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), removeRefusalsTimeout)
		defer cancel()
		e := refusalsRemoved{}
		e.kept, e.removed, e.err = o.s.removeExpiredRefusals(ctx, o.writer.fence)
		if conflict, ok := errors.AsType[keeper.ErrConflict](e.err); ok {
			o.writer.recordFenced(conflict)
		}
		_ = o.send(ctx, e) // fails only if the loop has ended
	}()
}

// removeExpiredRefusals removes the refusals that are older than their retention, each under its
// revision: its caller may return meanwhile.
func (s *Scheduler) removeExpiredRefusals(ctx context.Context, fence keeper.Expectation) (kept, removed int, err error) {
	all, _, err := s.findAll(ctx, refusalPrefix)
	if err != nil {
		return 0, 0, err
	}
	var expired []keeper.Record
	for _, record := range all {
		r, err := admitter.DecodeRefusal(record.Value)
		if err != nil {
			if s.unreadable.Allows(record.Key, s.config.Now()) {
				s.config.Reporter.Report(reporter.RefusalUnreadable, reporter.Fields{"key": record.Key, "error": err.Error()})
			}
			continue
		}
		if r.Expired(s.config.Now()) {
			expired = append(expired, record)
		}
	}
	for chunk := range slices.Chunk(expired, maxPutsPerTransaction) {
		t := keeper.Transaction{Expect: []keeper.Expectation{fence}}
		for _, record := range chunk {
			t.Expect = append(t.Expect, keeper.Expectation{Key: record.Key, Revision: record.Revision})
			t.Removes = append(t.Removes, record.Key)
		}
		if _, err := s.config.Store.Transact(ctx, t); err != nil {
			return len(all) - removed, removed, fmt.Errorf("remove refusals: %w", err)
		}
		removed += len(chunk)
	}
	return len(all) - removed, removed, nil
}

type refusalsRemoved struct {
	kept, removed int
	err           error
}

func (e refusalsRemoved) apply(o *owner, _ time.Time) {
	if e.removed == 0 && e.err == nil {
		return
	}
	fields := reporter.Fields{"removed": e.removed, "kept": e.kept}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	o.s.config.Reporter.Report(reporter.RefusalsRemoved, fields)
}
