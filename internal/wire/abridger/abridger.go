// Package abridger leaves out of an agent's reports what its owner knows already.
//
// A report tells everything of a VM's runs, since what it does not list the owner starts
// elsewhere. Nearly all of it is the same each time but for two figures a run, and an
// owner of many VMs would spend its processor on reading it. So a session's first report is whole, and those that follow name the runs by numbers
// and tell what has changed. The reports of a session come one after the other on one
// connection, each once the one before was answered; a report that gets lost ends the
// session, and the next one begins whole again.
package abridger

import (
	"cmp"
	"fmt"
	"slices"

	"bamboospread/internal/wire/messenger"
)

// run names a run.
type run struct {
	task   string
	number int64
}

// Abridger is the agent's side of a session after the other. It is not safe for
// concurrent use.
type Abridger struct {
	session int64
	part    int64 // reports of the session so far
	told    map[run]messenger.WorkRun
	next    int64
}

// New returns an Abridger that has told nothing.
func New() *Abridger { return &Abridger{} }

// Abridge returns what the owner has to be told of a whole report. The reports of a
// session must all be sent, in this order.
func (a *Abridger) Abridge(whole messenger.WorkReport) messenger.WorkReport {
	if a.told == nil || whole.Session != a.session {
		a.session, a.part, a.told, a.next = whole.Session, 0, make(map[run]messenger.WorkRun), 0
	}
	a.part++
	short := whole
	short.Abridged, short.Part, short.Runs = true, a.part, nil
	listed := make(map[run]bool, len(whole.Runs))
	for _, r := range whole.Runs {
		key := run{r.Task, r.Run}
		listed[key] = true
		before, ok := a.told[key]
		if r.ID = before.ID; !ok {
			a.next++
			r.ID = a.next
		}
		switch {
		case !ok || !sameButFigures(before, r):
			short.Runs = append(short.Runs, r)
		case before.Progress != r.Progress || before.Measure != r.Measure:
			short.Updates = append(short.Updates, [3]int64{r.ID, int64(r.Progress), r.Measure})
		}
		a.told[key] = r
	}
	for key, r := range a.told {
		if !listed[key] {
			short.Removed = append(short.Removed, r.ID)
			delete(a.told, key)
		}
	}
	slices.Sort(short.Removed)
	return short
}

func sameButFigures(a, b messenger.WorkRun) bool {
	if (a.Needs == nil) != (b.Needs == nil) || a.Needs != nil && *a.Needs != *b.Needs {
		return false
	}
	return a.Confirmed == b.Confirmed && a.Stopping == b.Stopping && a.Checkpoint == b.Checkpoint
}

// ErrUnknownRun is returned for a report that names a run that was never told: one before
// it was lost, and the session has to begin anew.
type ErrUnknownRun struct{ ID int64 }

func (e ErrUnknownRun) Error() string { return fmt.Sprintf("run %d was never told", e.ID) }

// ErrReportMissing is returned for a report of a session that does not follow the last one
// that was read: what it leaves out is not known, and the session has to begin anew.
type ErrReportMissing struct{ Part, Want int64 }

func (e ErrReportMissing) Error() string {
	return fmt.Sprintf("report %d of the session came in place of %d", e.Part, e.Want)
}

// Restorer is the owner's side of a connection. It is not safe for concurrent use.
type Restorer struct {
	session int64
	part    int64 // last one read
	known   map[int64]messenger.WorkRun
}

// NewRestorer returns a Restorer that knows nothing.
func NewRestorer() *Restorer { return &Restorer{} }

// Restore returns the whole report. One that is not abridged is returned as it is.
func (r *Restorer) Restore(short messenger.WorkReport) (messenger.WorkReport, error) {
	if !short.Abridged {
		return short, nil
	}
	if r.known == nil || short.Session != r.session {
		r.session, r.part, r.known = short.Session, 0, make(map[int64]messenger.WorkRun)
	}
	if short.Part != r.part+1 {
		return short, ErrReportMissing{Part: short.Part, Want: r.part + 1}
	}
	r.part = short.Part
	for _, told := range short.Runs {
		r.known[told.ID] = told
	}
	for _, f := range short.Updates {
		known, ok := r.known[f[0]]
		if !ok {
			return short, ErrUnknownRun{f[0]}
		}
		known.Progress, known.Measure = int(f[1]), f[2]
		r.known[f[0]] = known
	}
	for _, id := range short.Removed {
		if _, ok := r.known[id]; !ok {
			return short, ErrUnknownRun{id}
		}
		delete(r.known, id)
	}
	whole := short
	whole.Abridged, whole.Part, whole.Updates, whole.Removed, whole.Runs = false, 0, nil, nil, nil
	for _, known := range r.known {
		whole.Runs = append(whole.Runs, known)
	}
	slices.SortFunc(whole.Runs, func(a, b messenger.WorkRun) int { return cmp.Compare(a.ID, b.ID) })
	return whole, nil
}
