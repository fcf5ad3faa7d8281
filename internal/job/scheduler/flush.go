package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// maxPutsPerTransaction is the number of records per transaction. Each needs an expectation and
// a put; the fence takes one entry.
const maxPutsPerTransaction = (keeper.MaxTransactionEntries - 1) / 2

// extraConflictTries is how many attempts, beyond one for each record, a write makes to update
// outdated revisions before it fails until the next flush.
const extraConflictTries = 4

// flush writes the progress of changed jobs, one write at a time. Changes during a write go
// into the next one, so the number of writes grows with time, not with the number of ended
// tasks.
func (o *owner) flush(ctx context.Context) {
	if o.flushing || o.s.config.Now().Before(o.flushAfter) {
		return
	}
	f := o.state.BeginFlush()
	if f.Empty() && len(o.removals) == 0 {
		return
	}
	o.flushing = true
	o.flushAfter = o.s.config.Now().Add(minFlushInterval)
	e := &flushResult{flush: f, states: make(map[string]tracker.JobState)}
	var t []keeper.Put
	for _, j := range f.Jobs {
		puts, err := changedRecords(j)
		if err != nil {
			o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"job": j.Spec.ID, "error": err.Error()})
			continue
		}
		e.states[j.Spec.ID] = j.State
		t = append(t, puts...)
	}
	t = append(t, o.snapshotRecords(o.s.config.Now())...)
	e.removals, o.removals = o.removals, nil
	sentAt := o.s.config.Now()
	go func() {
		e.err = o.write(ctx, t, e.removals)
		e.took = o.s.config.Now().Sub(sentAt)
		// Fails only if the loop has ended; the next owner reads the store.
		_ = o.send(context.WithoutCancel(ctx), e)
	}()
}

// changedRecords returns the records to write for a job that changed.
//
// Of an ended job only the id and the state are kept. A new owner lists all records, and on a
// 10 Mbit/s link the payloads and steps of one minute's jobs took longer than the call limit,
// so that no owner completed its takeover.
func changedRecords(j *tracker.Job) ([]keeper.Put, error) {
	value, err := j.Encode()
	if err != nil {
		return nil, err
	}
	puts := []keeper.Put{{Key: ProgressKey(j.Spec.ID), Value: value}}
	if !j.State.Final() {
		return puts, nil
	}
	tombstone, err := j.EncodeTombstone()
	if err != nil {
		return nil, err
	}
	return append(puts, keeper.Put{Key: JobKey(j.Spec.ID), Value: tombstone}), nil
}

// write stores and removes records, in as many transactions as their number requires.
func (o *owner) write(ctx context.Context, puts []keeper.Put, removes []string) error {
	for chunk := range slices.Chunk(puts, maxPutsPerTransaction) {
		if err := o.writer.put(ctx, chunk); err != nil {
			return fmt.Errorf("store progress: %w", err)
		}
	}
	for chunk := range slices.Chunk(removes, maxPutsPerTransaction) {
		if err := o.writer.remove(ctx, chunk); err != nil {
			return fmt.Errorf("remove records of ended jobs: %w", err)
		}
	}
	return nil
}

type flushResult struct {
	flush    *tracker.Flush
	states   map[string]tracker.JobState
	removals []string
	took     time.Duration
	err      error
}

func (e *flushResult) apply(o *owner, now time.Time) {
	o.flushing = false
	for _, vm := range o.state.EndFlush(e.flush, e.states, e.err) {
		if s := o.sessions[vm.Name]; s != nil {
			o.unsent[s] = true
		}
	}
	if e.err != nil {
		// Writing the same records again is safe: only the owner writes them.
		o.removals = append(o.removals, e.removals...)
		o.flushAfter = now.Add(flushRetryDelay)
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"jobs": len(e.flush.Jobs), "error": e.err.Error()})
		return
	}
	o.s.config.Metrics.progressWritten(e.took)
	o.s.config.Reporter.Report(reporter.ProgressStored, reporter.Fields{"jobs": len(e.flush.Jobs), "took": e.took.String()})
}

// storeMembers writes the member list with joining VMs added and leaving ones removed. Leaving
// VMs get no grants from now on, since the write may take effect before its answer arrives.
func (o *owner) storeMembers(ctx context.Context) {
	if o.storingMembers || len(o.joining)+len(o.leaving) == 0 {
		return
	}
	o.storingMembers = true
	e := &membersResult{}
	for n := range o.members {
		switch {
		case !o.leaving[n] || o.joining[n]:
			e.names = append(e.names, n)
		default:
			delete(o.members, n)
		}
	}
	for n := range o.joining {
		if !o.members[n] {
			e.names = append(e.names, n)
		}
	}
	for _, n := range e.names {
		o.listed[n] = true
	}
	sort.Strings(e.names)
	o.joining, o.leaving = make(map[string]bool), make(map[string]bool)
	go func() {
		e.err = o.writeMembers(ctx, e.names)
		_ = o.send(context.WithoutCancel(ctx), e) // fails only if the loop has ended
	}()
}

func (o *owner) writeMembers(ctx context.Context, names []string) error {
	value, err := json.Marshal(names)
	if err != nil {
		return fmt.Errorf("encode members: %w", err)
	}
	return o.writer.put(ctx, []keeper.Put{{Key: o.s.membersKey(), Value: value}})
}

type membersResult struct {
	names []string
	err   error
}

func (e *membersResult) apply(o *owner, now time.Time) {
	o.storingMembers = false
	if e.err != nil {
		// The next reports of the agents add or remove them again.
		o.dropAfter = now.Add(flushRetryDelay)
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"members": len(e.names), "error": e.err.Error()})
		return
	}
	o.members, o.listed = make(map[string]bool, len(e.names)), make(map[string]bool, len(e.names))
	for _, n := range e.names {
		o.members[n], o.listed[n] = true, true
	}
	o.dirty = true
}
