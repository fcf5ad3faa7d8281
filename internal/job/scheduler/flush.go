package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// flushPuts is how many records go with one transaction: each takes an expectation
// and a put, the fence takes one entry.
const flushPuts = (keeper.MaxTransactionEntries - 1) / 2

// conflictTries bounds, beyond one for each record, how often a write learns the revisions
// of its records anew before it waits for the next one.
const conflictTries = 4

// flush writes the progress of jobs that changed, one write at a time: what
// changes meanwhile goes with the next, so writes grow with time and not with ends.
func (o *owner) flush(ctx context.Context) {
	if o.flushing || o.s.config.Now().Before(o.flushAfter) {
		return
	}
	f := o.state.BeginFlush()
	if f.Empty() && len(o.removals) == 0 {
		return
	}
	o.flushing = true
	o.flushAfter = o.s.config.Now().Add(flushGap)
	e := &flushed{flush: f, states: make(map[string]accountant.JobState)}
	var t []keeper.Put
	for _, j := range f.Jobs {
		puts, err := putsOf(j)
		if err != nil {
			o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"job": j.Spec.ID, "error": err.Error()})
			continue
		}
		e.states[j.Spec.ID] = j.State
		t = append(t, puts...)
	}
	t = append(t, o.lessons(o.s.config.Now())...)
	e.removals, o.removals = o.removals, nil
	sentAt := o.s.config.Now()
	go func() {
		e.err = o.write(ctx, t, e.removals)
		e.took = o.s.config.Now().Sub(sentAt)
		// The loop has ended if it cannot be told; the next owner reads the store.
		_ = o.send(context.WithoutCancel(ctx), e)
	}()
}

// learnedEvery is how often what was learned is stored. It goes with a write of
// progress, so it costs no call.
const learnedEvery = 5 * time.Second

// learnedKey is the key of what owners of this cell learned, a learner's record.
func (s *Scheduler) learnedKey() string { return fmt.Sprintf("cells/%s/learned", s.config.Cell) }

// lessons returns the record of what was learned if it is due.
func (o *owner) lessons(now time.Time) []keeper.Put {
	if now.Sub(o.learnedAt) < learnedEvery {
		return nil
	}
	o.learnedAt = now
	value, err := o.learner.Encode()
	if err != nil {
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"record": "learned", "error": err.Error()})
		return nil
	}
	return []keeper.Put{{Key: o.s.learnedKey(), Value: value}}
}

// loadLessons takes over what earlier owners learned. Nothing depends on it but how soon
// this owner decides as well as they did, so it does not fail the takeover.
func (o *owner) loadLessons(ctx context.Context) {
	record, err := o.s.config.Store.GetRecord(ctx, o.s.learnedKey())
	if keeper.IsErrKeyNotExist(err) {
		return
	}
	if err == nil {
		o.writer.saw(record.Key, record.Revision)
		err = o.learner.Decode(record.Value)
	}
	if err != nil {
		o.s.config.Reporter.Report(reporter.JobRecordsUnreadable, reporter.Fields{"key": o.s.learnedKey(), "error": err.Error()})
	}
}

// putsOf returns the records of a job that changed.
//
// Of a job that has ended only its id and state are kept: a new owner lists all
// records, and on a link of 10 Mbit/s the payloads and steps of a minute's jobs took
// longer than the call may last, so that no owner got through its takeover.
func putsOf(j *accountant.Job) ([]keeper.Put, error) {
	value, err := j.Encode()
	if err != nil {
		return nil, err
	}
	puts := []keeper.Put{{Key: ProgressKey(j.Spec.ID), Value: value}}
	if !j.State.Final() {
		return puts, nil
	}
	remains, err := j.EncodeRemains()
	if err != nil {
		return nil, err
	}
	return append(puts, keeper.Put{Key: JobKey(j.Spec.ID), Value: remains}), nil
}

// write makes one transaction for each so many records, and one for each so many
// removals.
func (o *owner) write(ctx context.Context, puts []keeper.Put, removes []string) error {
	for chunk := range slices.Chunk(puts, flushPuts) {
		if err := o.writer.put(ctx, chunk); err != nil {
			return fmt.Errorf("store progress: %w", err)
		}
	}
	for chunk := range slices.Chunk(removes, flushPuts) {
		t := keeper.Transaction{Expect: []keeper.Expectation{o.writer.fence}, Removes: chunk}
		if _, err := o.s.config.Store.Transact(ctx, t); err != nil {
			return fmt.Errorf("remove forgotten jobs: %w", err)
		}
	}
	return nil
}

type flushed struct {
	flush    *accountant.Flush
	states   map[string]accountant.JobState
	removals []string
	took     time.Duration
	err      error
}

func (e *flushed) apply(o *owner, now time.Time) {
	o.flushing = false
	o.state.EndFlush(e.flush, e.states, e.err)
	if e.err != nil {
		// Writing the same records again is harmless: nobody else writes them.
		o.removals = append(o.removals, e.removals...)
		o.flushAfter = now.Add(flushPause)
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"jobs": len(e.flush.Jobs), "error": e.err.Error()})
		return
	}
	o.s.config.Meters.flushed(e.took)
	o.s.config.Reporter.Report(reporter.ProgressStored, reporter.Fields{"jobs": len(e.flush.Jobs), "took": e.took.String()})
}

// storeMembers adds the VMs that wait to join and takes out those that leave, which are
// granted nothing from now on: the write may count before its answer comes.
func (o *owner) storeMembers(ctx context.Context) {
	if o.storing || len(o.joining)+len(o.leaving) == 0 {
		return
	}
	o.storing = true
	e := &membersStored{}
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
		_ = o.send(context.WithoutCancel(ctx), e) // the loop has ended if it cannot be told
	}()
}

func (o *owner) writeMembers(ctx context.Context, names []string) error {
	value, err := json.Marshal(names)
	if err != nil {
		return fmt.Errorf("encode members: %w", err)
	}
	return o.writer.put(ctx, []keeper.Put{{Key: o.s.membersKey(), Value: value}})
}

type membersStored struct {
	names []string
	err   error
}

func (e *membersStored) apply(o *owner, now time.Time) {
	o.storing = false
	if e.err != nil {
		// The agents' next reports ask to join, or to be taken out, again.
		o.dropAfter = now.Add(flushPause)
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"members": len(e.names), "error": e.err.Error()})
		return
	}
	o.members, o.listed = make(map[string]bool, len(e.names)), make(map[string]bool, len(e.names))
	for _, n := range e.names {
		o.members[n], o.listed[n] = true, true
	}
	o.dirty = true
}
