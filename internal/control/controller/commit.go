package controller

import (
	"context"
	"encoding/json"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/journaler"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Limits of appends and snapshots. While an append takes longer than
// slowAppendThreshold new work is refused, so that its submitter learns at once that it
// had no effect.
const (
	slowAppendThreshold = time.Second
	// minAppendInterval is the minimum time between the starts of two appends. Otherwise
	// a store that replies in half a millisecond would get an entry for nearly every
	// decision, and store writes are counted. A single decision is still appended at once.
	minAppendInterval = 10 * time.Millisecond
	snapshotTimeout   = time.Minute
)

// commitGroup is the content of one journal entry, with what to do once it is journalled.
type commitGroup struct {
	records   []json.RawMessage
	tasks     []string
	callbacks []func()
	seq       int64
	snapshot  []byte // encoded state as of this entry, if a snapshot is due
}

// commitQueue collects decisions while an append is in flight.
type commitQueue struct {
	nextSeq      int64 // sequence number of the next append
	pending      commitGroup
	appending    bool
	rateLimited  bool // the last append began less than minAppendInterval ago
	appendBegan  time.Time
	afterAppend  []func() // callbacks to run when the append in flight has completed
	snapshotting bool
	uncommitted  map[string]int // number of records that are not journalled yet, by task id
}

func (c *commitQueue) idle() bool { return !c.appending && len(c.pending.records) == 0 }

// appendSlow reports whether the append in flight takes too long to accept new work.
func (o *owner) appendSlow() bool {
	return o.commits.appending && o.config.Now().Sub(o.commits.appendBegan) > slowAppendThreshold
}

// decide applies a record to the state and queues it for the journal. The function after,
// if not nil, runs once the record is journalled; nothing that others act on may be sent
// before that. decide returns an error and changes nothing if the state refuses the record;
// after does not run then.
func (o *owner) decide(r bookkeeper.Record, code reporter.Code, d messenger.Decision, after func()) error {
	r.At = o.config.Now().Round(0).UTC()
	if code != 0 {
		d.Code = int(code)
		r.Decision = &d
	}
	raw, err := json.Marshal(r)
	if err == nil {
		err = o.applyRecord(r)
	}
	if err != nil {
		o.config.Reporter.Report(reporter.RecordRefused, reporter.Fields{"cell": o.config.Cell, "error": err.Error()})
		return err
	}
	p := &o.commits.pending
	p.records = append(p.records, raw)
	p.tasks = append(p.tasks, d.Task)
	p.callbacks = append(p.callbacks, after)
	o.commits.uncommitted[d.Task]++
	o.dirty = true
	if code != 0 {
		o.config.Reporter.Report(code, reporter.Fields{"cell": o.config.Cell, "task": d.Task, "vm": d.VM, "reason": d.Reason})
	}
	return nil
}

// flush starts an append of all pending records, unless one is in flight or began less
// than minAppendInterval ago. Later decisions go into the next append, so that the number
// of writes depends on the elapsed time and not on the number of decisions.
func (o *owner) flush(ctx context.Context) {
	c := &o.commits
	if c.appending || c.rateLimited || len(c.pending.records) == 0 {
		return
	}
	if o.config.GroupLimit != 1 { // measurements without group commit are not limited
		c.rateLimited = true
		o.appendTimer.Reset(minAppendInterval)
	}
	g := o.commits.nextGroup(o.config.GroupLimit)
	g.seq = o.commits.nextSeq
	if len(o.commits.pending.records) == 0 && !o.commits.snapshotting && o.journal.SnapshotDue() {
		// The state contains exactly the records that the journal will contain after this entry.
		if state, err := o.state.Encode(); err == nil {
			g.snapshot = state
		}
	}
	o.commits.appending, o.commits.appendBegan = true, o.config.Now()
	o.metrics.group.Update(float64(len(g.records)))
	o.metrics.appends.Inc()
	go func() {
		o.appended <- appendEvent{group: g, err: o.journal.Append(ctx, g.records)}
	}()
}

// nextGroup removes and returns as many pending records as fit into one entry.
func (c *commitQueue) nextGroup(limit int) commitGroup {
	n, size := 0, 0
	for n < len(c.pending.records) && (limit <= 0 || n < limit) {
		size += len(c.pending.records[n])
		if n > 0 && size > journaler.MaxEntryBytes {
			break
		}
		n++
	}
	p := &c.pending
	g := commitGroup{records: p.records[:n:n], tasks: p.tasks[:n:n], callbacks: p.callbacks[:n:n]}
	p.records, p.tasks, p.callbacks = p.records[n:], p.tasks[n:], p.callbacks[n:]
	return g
}

// completeAppend runs the callbacks of a journalled group and starts a snapshot if one is
// due. It returns the error of a failed append, which ends the epoch.
func (o *owner) completeAppend(ctx context.Context, e appendEvent) error {
	o.commits.appending = false
	o.metrics.append.Update(o.config.Now().Sub(o.commits.appendBegan).Seconds())
	if e.err != nil {
		return e.err
	}
	o.commits.nextSeq = e.group.seq + 1
	for i, task := range e.group.tasks {
		if o.commits.uncommitted[task]--; o.commits.uncommitted[task] <= 0 {
			delete(o.commits.uncommitted, task)
		}
		if after := e.group.callbacks[i]; after != nil {
			after()
		}
	}
	afterAppend := o.commits.afterAppend
	o.commits.afterAppend = nil
	for _, after := range afterAppend {
		after()
	}
	if e.group.snapshot != nil {
		o.commits.snapshotting = true
		go func() {
			limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
			defer cancel()
			o.snapshots <- snapshotEvent{o.journal.Snapshot(limited, e.group.seq, e.group.snapshot)}
		}()
	}
	return nil
}

// completeSnapshot reports the outcome of a snapshot.
func (o *owner) completeSnapshot(e snapshotEvent) {
	o.commits.snapshotting = false
	if e.err != nil {
		o.config.Reporter.Report(reporter.SnapshotFailed, reporter.Fields{"cell": o.config.Cell, "error": e.err.Error()})
		return
	}
	o.config.Reporter.Report(reporter.SnapshotTaken, reporter.Fields{"cell": o.config.Cell})
}
