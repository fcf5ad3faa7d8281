package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// flush writes the progress of changed jobs, one write at a time. Changes during a write go
// into the next one, so the number of writes grows with time, not with the number of ended
// tasks.
func (o *owner) flush(ctx context.Context) {
	now := o.s.config.Now()
	if o.flushing || now.Before(o.flushAfter) {
		return
	}
	f := o.state.BeginFlush()
	e := &flushResult{flush: f, jobs: make(map[string]writtenJob)}
	t := o.heldEndsRecord(e)
	if f.Empty() && len(o.removals) == 0 {
		return
	}
	o.flushing = true
	o.flushAfter = now.Add(minFlushInterval)
	for _, j := range f.Jobs {
		if !o.records.mayWrite(j, now) {
			continue
		}
		puts, err := o.changedRecords(j, now)
		if err != nil {
			o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"job": j.Spec.ID, "error": err.Error()})
			continue
		}
		e.jobs[j.Spec.ID] = writtenJob{j.State, keysOf(puts)}
		t = append(t, puts...)
	}
	t = append(t, o.snapshotRecords(now)...)
	o.s.config.Metrics.largestRecord("progress", o.records.largest())
	e.removals, o.removals = o.removals, nil
	last := o.records.failedAlone()
	go func() {
		e.failed = o.writer.putAll(ctx, t, last)
		e.removalErr = o.remove(ctx, e.removals)
		e.took = o.s.config.Now().Sub(now)
		// Fails only if the loop has ended; the next owner reads the store.
		_ = o.send(context.WithoutCancel(ctx), e)
	}()
}

// changedRecords returns the records to write for a job that changed.
//
// Of an ended job only the id and the state are kept. A new owner lists all records, and on a
// 10 Mbit/s link the payloads and steps of one minute's jobs took longer than the call limit,
// so that no owner completed its takeover.
func (o *owner) changedRecords(j *tracker.Job, now time.Time) ([]keeper.Put, error) {
	record, err := j.Encode(o.records.limit(j))
	if err != nil {
		return nil, err
	}
	o.recordSize(j, record, now)
	puts := []keeper.Put{{Key: ProgressKey(j.Spec.ID), Value: record.Value}}
	if !j.State.Final() {
		return puts, nil
	}
	tombstone, err := j.EncodeTombstone()
	if err != nil {
		return nil, err
	}
	return append(puts, keeper.Put{Key: JobKey(j.Spec.ID), Value: tombstone}), nil
}

// remove removes records, in as many transactions as their number requires.
func (o *owner) remove(ctx context.Context, keys []string) error {
	for chunk := range slices.Chunk(keys, maxPutsPerTransaction) {
		if err := o.writer.remove(ctx, chunk); err != nil {
			return fmt.Errorf("remove records of ended jobs: %w", err)
		}
	}
	return nil
}

func keysOf(puts []keeper.Put) (keys []string) {
	for _, p := range puts {
		keys = append(keys, p.Key)
	}
	return keys
}

// flushResult is the outcome of a write of progress. Records are written apart from each other: those that
// could not be written hold back nothing but their own ends.
type flushResult struct {
	flush      *tracker.Flush
	jobs       map[string]writtenJob // by ID
	held       tracker.HeldEnds
	holds      bool // the record of held ends is written
	removals   []string
	took       time.Duration
	failed     writeErrors
	removalErr error
}

// writtenJob is what a flush writes of a job.
type writtenJob struct {
	state tracker.JobState
	keys  []string
}

func (e *flushResult) apply(o *owner, now time.Time) {
	o.flushing = false
	states := make(map[string]tracker.JobState, len(e.jobs))
	for _, j := range e.flush.Jobs {
		w, written := e.jobs[j.Spec.ID]
		if !written {
			continue
		}
		if key := e.failed.first(w.keys); key != "" {
			o.recordNotStored(j, key, e.failed, now)
			continue
		}
		states[j.Spec.ID] = w.state
		o.records.stored(j)
	}
	if e.holds && e.failed.all[heldEndsKey] == nil {
		o.state.EndsHeld(e.held)
		o.records.held = e.held.Value
	}
	for _, vm := range o.state.EndFlush(e.flush, states) {
		if s := o.sessions[vm.Name]; s != nil {
			o.unsent[s] = true
		}
	}
	if e.removalErr != nil {
		o.removals = append(o.removals, e.removals...)
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"removals": len(e.removals), "error": e.removalErr.Error()})
	}
	if len(e.failed.all) > 0 || e.removalErr != nil {
		// Writing the same records again is safe: only the owner writes them.
		o.flushAfter = now.Add(flushRetryDelay)
	}
	if len(e.failed.all) > 0 {
		key := e.failed.first(slices.Sorted(maps.Keys(e.failed.all)))
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"jobs": len(e.jobs) - len(states), "records": len(e.failed.all), "key": key, "error": e.failed.all[key].Error()})
		return
	}
	o.s.config.Metrics.progressWritten(e.took)
	o.s.config.Reporter.Report(reporter.ProgressStored, reporter.Fields{"jobs": len(states), "took": e.took.String()})
}

// first returns the first key of a record that could not be written, or an empty text.
func (e writeErrors) first(keys []string) string {
	for _, key := range keys {
		if e.all[key] != nil {
			return key
		}
	}
	return ""
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
	value, err := json.Marshal(append([]string{}, names...)) // null is no list that a reader believes
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
