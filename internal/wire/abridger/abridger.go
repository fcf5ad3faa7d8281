// Package abridger shortens the reports of an agent to what its owner does not have yet.
//
// A full report lists all runs of a VM, since the owner treats an unlisted run as lost and
// starts it elsewhere. Nearly all of it is the same each time except for two numbers per run,
// and an owner of many VMs would spend its processor time on decoding it. Therefore the first
// report of a session is complete, and later ones refer to runs by id and contain only what
// has changed. The reports of a session are sent one at a time on one connection, each after
// the previous one was answered. A lost report ends the session, and the next session starts
// with a full report.
package abridger

import (
	"cmp"
	"fmt"
	"slices"

	"bamboospread/internal/wire/messenger"
)

// runKey identifies a run.
type runKey struct {
	task   string
	number int64
}

// Abridger is the agent's side, for one session after another. It is not safe for
// concurrent use.
type Abridger struct {
	session  int64
	part     int64 // reports of the session so far
	reported map[runKey]messenger.WorkRun
	lastID   int64
}

// New returns an Abridger that has reported nothing.
func New() *Abridger { return &Abridger{} }

// Abridge returns the abridged form of a full report. All reports of a session must be
// sent, in this order.
func (a *Abridger) Abridge(full messenger.WorkReport) messenger.WorkReport {
	if a.reported == nil || full.Session != a.session {
		a.session, a.part, a.reported, a.lastID = full.Session, 0, make(map[runKey]messenger.WorkRun), 0
	}
	a.part++
	abridged := full
	abridged.Abridged, abridged.Part, abridged.Runs = true, a.part, nil
	listed := make(map[runKey]bool, len(full.Runs))
	for _, r := range full.Runs {
		key := runKey{r.Task, r.Run}
		listed[key] = true
		before, ok := a.reported[key]
		if r.ID = before.ID; !ok {
			a.lastID++
			r.ID = a.lastID
		}
		switch {
		case !ok || !equalExceptProgress(before, r):
			abridged.Runs = append(abridged.Runs, r)
		case before.Progress != r.Progress || before.Measure != r.Measure:
			abridged.Updates = append(abridged.Updates, [3]int64{r.ID, int64(r.Progress), r.Measure})
		}
		a.reported[key] = r
	}
	for key, r := range a.reported {
		if !listed[key] {
			abridged.Removed = append(abridged.Removed, r.ID)
			delete(a.reported, key)
		}
	}
	slices.Sort(abridged.Removed)
	return abridged
}

// equalExceptProgress reports whether a and b differ at most in progress and measure.
func equalExceptProgress(a, b messenger.WorkRun) bool {
	if (a.Needs == nil) != (b.Needs == nil) || a.Needs != nil && *a.Needs != *b.Needs {
		return false
	}
	return a.Confirmed == b.Confirmed && a.Stopping == b.Stopping && a.Checkpoint == b.Checkpoint
}

// ErrUnknownRun is returned for a report that refers to a run that no report of the session
// contained: an earlier report was lost, and a new session has to be opened.
type ErrUnknownRun struct{ ID int64 }

func (e ErrUnknownRun) Error() string {
	return fmt.Sprintf("run %d was in no earlier report of the session", e.ID)
}

// ErrReportMissing is returned for a report that does not follow the last one read of its
// session: what it leaves out is unknown, and a new session has to be opened.
type ErrReportMissing struct{ Part, Want int64 }

func (e ErrReportMissing) Error() string {
	return fmt.Sprintf("received report %d of the session, expected report %d", e.Part, e.Want)
}

// Restorer is the owner's side of a connection. It is not safe for concurrent use.
type Restorer struct {
	session int64
	part    int64 // number of the last report read
	runs    map[int64]messenger.WorkRun
}

// NewRestorer returns a Restorer that has read no report.
func NewRestorer() *Restorer { return &Restorer{} }

// Restore returns the full report. A report that is not abridged is returned unchanged.
func (r *Restorer) Restore(abridged messenger.WorkReport) (messenger.WorkReport, error) {
	if !abridged.Abridged {
		return abridged, nil
	}
	if r.runs == nil || abridged.Session != r.session {
		r.session, r.part, r.runs = abridged.Session, 0, make(map[int64]messenger.WorkRun)
	}
	if abridged.Part != r.part+1 {
		return abridged, ErrReportMissing{Part: abridged.Part, Want: r.part + 1}
	}
	r.part = abridged.Part
	for _, changed := range abridged.Runs {
		r.runs[changed.ID] = changed
	}
	for _, u := range abridged.Updates {
		run, ok := r.runs[u[0]]
		if !ok {
			return abridged, ErrUnknownRun{u[0]}
		}
		run.Progress, run.Measure = int(u[1]), u[2]
		r.runs[u[0]] = run
	}
	for _, id := range abridged.Removed {
		if _, ok := r.runs[id]; !ok {
			return abridged, ErrUnknownRun{id}
		}
		delete(r.runs, id)
	}
	full := abridged
	full.Abridged, full.Part, full.Updates, full.Removed, full.Runs = false, 0, nil, nil, nil
	for _, run := range r.runs {
		full.Runs = append(full.Runs, run)
	}
	slices.SortFunc(full.Runs, func(a, b messenger.WorkRun) int { return cmp.Compare(a.ID, b.ID) })
	return full, nil
}
