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

// Limits. An append slower than slowAppend refuses new work, so that its
// submitter learns at once that nothing was done.
const (
	slowAppend = time.Second
	// appendRest is the least time from the beginning of an append to the next.
	// A store that answers in half a millisecond would else be sent an entry for
	// nearly each decision, and its writes are counted; a lone decision still
	// goes at once.
	appendRest    = 10 * time.Millisecond
	snapshotLimit = time.Minute
)

// group is what one journal entry carries.
type group struct {
	records  []json.RawMessage
	tasks    []string
	after    []func()
	seq      int64
	snapshot []byte // state as of this entry, if a snapshot is due
}

// commits gathers decisions while an append is in flight.
type commits struct {
	next         int64 // sequence number of the next append
	waiting      group
	bytes        int
	appending    bool
	resting      bool // the last append began less than appendRest ago
	began        time.Time
	settled      []func() // run when the append in flight is settled
	snapshotting bool
	open         map[string]int // records of a task that are not journalled yet
}

func (c *commits) idle() bool { return !c.appending && len(c.waiting.records) == 0 }

// slow tells that the journal does not take entries now.
func (o *owner) slow() bool {
	return o.commits.appending && o.config.Now().Sub(o.commits.began) > slowAppend
}

// decide applies a record and hands it to the journal. After, if set, runs once
// it is journalled; nothing that others act on may be sent before. If the
// record is refused nothing changes.
func (o *owner) decide(r bookkeeper.Record, code reporter.Code, d messenger.Decision, after func()) bool {
	r.At = o.config.Now().Round(0).UTC()
	if code != 0 {
		d.Code = int(code)
		r.Decision = &d
	}
	raw, err := json.Marshal(r)
	if err == nil {
		err = o.books.Apply(r)
	}
	if err != nil {
		o.config.Reporter.Report(reporter.RecordRefused, reporter.Fields{"cell": o.config.Cell, "error": err.Error()})
		return false
	}
	w := &o.commits.waiting
	w.records = append(w.records, raw)
	o.commits.bytes += len(raw)
	w.tasks = append(w.tasks, d.Task)
	w.after = append(w.after, after)
	o.commits.open[d.Task]++
	o.dirty = true
	if code != 0 {
		o.config.Reporter.Report(code, reporter.Fields{"cell": o.config.Cell, "task": d.Task, "vm": d.VM, "reason": d.Reason})
	}
	return true
}

// flush starts an append of all that waits, unless one is in flight or began
// just now: whatever is decided meanwhile goes into the next, so that writes grow
// with the time that passes and not with the number of decisions.
func (o *owner) flush(ctx context.Context) {
	c := &o.commits
	if c.appending || c.resting || len(c.waiting.records) == 0 {
		return
	}
	if o.config.GroupLimit != 1 { // a baseline without groups is not slowed down
		c.resting = true
		o.rest.Reset(appendRest)
	}
	g := o.commits.takeGroup(o.config.GroupLimit)
	g.seq = o.commits.next
	if len(o.commits.waiting.records) == 0 && !o.commits.snapshotting && o.journal.SnapshotDue() {
		// The books hold exactly what the journal will after this entry.
		if state, err := o.books.Encode(); err == nil {
			g.snapshot = state
		}
	}
	o.commits.appending, o.commits.began = true, o.config.Now()
	o.meters.group.Update(float64(len(g.records)))
	o.meters.appends.Inc()
	go func() {
		o.appended <- appendEvent{group: g, err: o.journal.Append(ctx, g.records)}
	}()
}

// takeGroup takes as many waiting records as fit into one entry.
func (c *commits) takeGroup(limit int) group {
	n, size := 0, 0
	for n < len(c.waiting.records) && (limit <= 0 || n < limit) {
		size += len(c.waiting.records[n])
		if n > 0 && size > journaler.MaxEntryBytes {
			size -= len(c.waiting.records[n])
			break
		}
		n++
	}
	w := &c.waiting
	g := group{records: w.records[:n:n], tasks: w.tasks[:n:n], after: w.after[:n:n]}
	w.records, w.tasks, w.after = w.records[n:], w.tasks[n:], w.after[n:]
	c.bytes -= size
	return g
}

// settle acts on a journalled group, or ends the epoch.
func (o *owner) settle(ctx context.Context, e appendEvent) error {
	o.commits.appending = false
	o.meters.append.Update(o.config.Now().Sub(o.commits.began).Seconds())
	if e.err != nil {
		return e.err
	}
	o.commits.next = e.group.seq + 1
	for i, task := range e.group.tasks {
		if o.commits.open[task]--; o.commits.open[task] <= 0 {
			delete(o.commits.open, task)
		}
		if after := e.group.after[i]; after != nil {
			after()
		}
	}
	settled := o.commits.settled
	o.commits.settled = nil
	for _, after := range settled {
		after()
	}
	if e.group.snapshot != nil {
		o.commits.snapshotting = true
		go func() {
			limited, cancel := context.WithTimeout(ctx, snapshotLimit)
			defer cancel()
			o.snapshots <- snapshotEvent{o.journal.Snapshot(limited, e.group.seq, e.group.snapshot)}
		}()
	}
	return nil
}

func (o *owner) takeSnapshot(e snapshotEvent) {
	o.commits.snapshotting = false
	if e.err != nil {
		o.config.Reporter.Report(reporter.SnapshotFailed, reporter.Fields{"cell": o.config.Cell, "error": e.err.Error()})
		return
	}
	o.config.Reporter.Report(reporter.SnapshotTaken, reporter.Fields{"cell": o.config.Cell})
}
