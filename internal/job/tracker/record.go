package tracker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/store/decoder"
	"bamboospread/internal/worker/attributor"
)

// Record is the stored progress of a job. It does not list the runs: those are
// reported by the workers.
type Record struct {
	State    JobState           `json:"state"`
	EndedAt  int64              `json:"ended-ms,omitempty"` // Unix ms
	Finished int                `json:"finished,omitempty"` // occurrences
	Next     int                `json:"next"`
	Open     []OccurrenceRecord `json:"open,omitempty"`
	Reason   string             `json:"reason,omitempty"` // why the job failed
}

// OccurrenceRecord is the progress of an unfinished occurrence.
type OccurrenceRecord struct {
	Number int          `json:"number"`
	Steps  []StepRecord `json:"steps"`
}

// StepRecord is the progress of a step.
type StepRecord struct {
	Done        string                     `json:"done,omitempty"`        // hex-encoded bitmap with one bit per task, lowest bit first
	Failed      map[int][]int64            `json:"failed,omitempty"`      // numbers of the failed runs by task index
	Crashes     map[int][]attributor.Crash `json:"crashes,omitempty"`     // of workers, that a task is suspected of, by task index
	Checkpoints map[int]string             `json:"checkpoints,omitempty"` // to resume from, by task index
	// HasRun is a bitmap like Done of the long-running tasks that have run. Agents do not report tasks
	// that have no run. Empty: not known.
	HasRun string `json:"has-run,omitempty"`
	// WaitSince is since when, in Unix ms, long-running tasks that have run are without a run, by task
	// index.
	WaitSince map[int]int64 `json:"wait-since-ms,omitempty"`
}

// Restore applies the stored progress of a job that was just added.
func (tr *Tracker) Restore(id string, value []byte, now time.Time) error {
	j := tr.Jobs[id]
	if j == nil {
		return fmt.Errorf("restore progress of job %s: no such job", id)
	}
	if err := j.restore(value, now); err != nil {
		// Starting the job from scratch would repeat tasks that are done.
		j.Unreadable, j.Occurrences = true, nil
		return fmt.Errorf("restore progress of job %s: %w", id, err)
	}
	tr.restoreSuspected(j)
	tr.updateOpen(j)
	tr.openDue(j, now)
	return nil
}

// DecodeRecord decodes the progress of a job whole or not at all. A field that its writer always states must be there;
// the error names it.
func DecodeRecord(value []byte) (Record, error) {
	r, err := decoder.Decode[Record](value)
	if err != nil {
		return Record{}, fmt.Errorf("decode: %w", err)
	}
	switch r.State {
	case JobQueued, JobRunning, JobDone, JobFailed, JobCancelled:
	default:
		return Record{}, decoder.ErrField{Field: "state", Problem: fmt.Sprintf("%.100q is unknown", r.State)}
	}
	if r.State.Final() && r.EndedAt <= 0 { // the job would be forgotten at once
		return Record{}, decoder.ErrField{Field: "ended-ms", Problem: "missing"}
	}
	return r, nil
}

// checkOccurrences returns an error if the occurrences are not those of a job. Each one that was opened is finished
// or open, until the job has ended.
func (r Record) checkOccurrences(count int) error {
	opened := r.Finished + len(r.Open)
	if r.Finished < 0 || r.Next < 0 || r.Next > count || opened > r.Next || opened < r.Next && !r.State.Final() {
		return fmt.Errorf("inconsistent occurrences: %d finished, %d open, %d opened so far of %d", r.Finished, len(r.Open), r.Next, count)
	}
	numbers := make(map[int]bool, len(r.Open))
	for i, o := range r.Open {
		if o.Number < 0 || o.Number >= r.Next || numbers[o.Number] {
			return decoder.ErrField{Field: fmt.Sprintf("open[%d].number", i), Problem: fmt.Sprintf("%d is given twice or not opened", o.Number)}
		}
		numbers[o.Number] = true
	}
	return nil
}

func (j *Job) restore(value []byte, now time.Time) error {
	r, err := DecodeRecord(value)
	if err != nil {
		return err
	}
	if j.Spec.Ended == "" { // tombstones have no steps and no occurrences
		if err := r.checkOccurrences(j.Spec.OccurrenceCount()); err != nil {
			return err
		}
	}
	wasStarted := j.Started
	j.Started = r.State != JobQueued
	var open []*Occurrence
	for _, or := range r.Open {
		o := newOccurrence(j, or.Number, now)
		if err := o.restore(or, now); err != nil {
			j.Started = wasStarted
			return err
		}
		open = append(open, o)
	}
	j.State, j.StoredState, j.Finished, j.Next, j.storedNext = r.State, r.State, r.Finished, r.Next, r.Next
	j.EndedAt, j.Reason = time.UnixMilli(r.EndedAt), r.Reason
	j.Occurrences = open
	j.reopenLongRunning(now)
	return nil
}

// reopenLongRunning opens the occurrences again that an earlier build closed because all their tasks had
// ended as done, the long-running ones among them. Those that exceed the limit of open ones stay closed.
func (j *Job) reopenLongRunning(now time.Time) {
	if j.State.Final() || j.Finished == 0 || !j.Spec.LongRunning() {
		return
	}
	isOpen := make(map[int]bool, len(j.Occurrences))
	for _, o := range j.Occurrences {
		isOpen[o.Number] = true
	}
	for n := 0; n < j.Next && j.Finished > 0 && j.canOpenNext(); n++ {
		if isOpen[n] {
			continue
		}
		o := newOccurrence(j, n, now)
		for _, s := range o.Steps {
			for _, t := range s.Tasks {
				t.HasRun = true
				if !s.Spec.LongRunning {
					t.Done = true
					s.Done++
				}
			}
		}
		o.markReady(now)
		j.Occurrences = append(j.Occurrences, o)
		j.Finished--
	}
	slices.SortFunc(j.Occurrences, func(a, b *Occurrence) int { return cmp.Compare(a.Number, b.Number) })
}

func (o *Occurrence) restore(r OccurrenceRecord, now time.Time) error {
	if len(r.Steps) != len(o.Steps) {
		return fmt.Errorf("occurrence %d has %d steps, its job has %d", o.Number, len(r.Steps), len(o.Steps))
	}
	for i, sr := range r.Steps {
		s := o.Steps[i]
		done, err := decodeBitmap(sr.Done)
		if err != nil {
			return fmt.Errorf("decode done tasks of step %d: %w", i, err)
		}
		for n, t := range s.Tasks {
			if done.has(n) && !s.Spec.LongRunning { // earlier builds took their ends done for the last ones
				t.Done = true
				s.Done++
			}
			t.Checkpoint = sr.Checkpoints[n]
			t.SetFailed(sr.Failed[n])
			t.SetCrashes(sr.Crashes[n])
			t.restoreLastNumber()
		}
		s.shareCheckpoint()
		if err := s.restoreRuns(sr, now); err != nil {
			return fmt.Errorf("decode has-run bitmap of step %d: %w", i, err)
		}
	}
	o.markReady(now)
	return nil
}

// restoreLastNumber raises the number of the latest run to that of the runs in the record: earlier builds may have
// numbered them above the floor of this owner.
func (t *Task) restoreLastNumber() {
	for _, n := range t.Failed() {
		t.LastNumber = max(t.LastNumber, n)
	}
	for _, c := range t.Crashes() {
		t.LastNumber = max(t.LastNumber, c.Run)
	}
}

// markReady records since when the steps wait for capacity that depend on no unfinished step.
func (o *Occurrence) markReady(now time.Time) {
	for _, s := range o.Steps {
		if s.Ready() {
			s.ReadyAt = now
		}
	}
}

// ReportedState returns the state that is reported to callers. A final state is reported only
// once it is stored, so that it can never be reverted.
func (j *Job) ReportedState() JobState {
	if j.State.Final() && !j.StoredState.Final() {
		if j.State == JobCancelled {
			return JobCancelled // the cancellation was stored before it was applied here
		}
		return JobRunning
	}
	return j.State
}

// ReportedReason returns why the job failed, once callers are told that it did.
func (j *Job) ReportedReason() string {
	if j.ReportedState() != JobFailed {
		return ""
	}
	return j.Reason
}

// Reconcile marks jobs as reconciled, so that they may start: all of them if every VM has
// reported, otherwise those for which all runs under earlier owners have certainly ended. None is
// while a VM has ends that its agent could not report yet. It returns how many jobs are not
// reconciled yet.
func (tr *Tracker) Reconcile(allReported bool, now time.Time) int {
	waiting := 0
	endsMissing := tr.endsMissing()
	for _, j := range tr.Jobs {
		switch {
		case j.ReconcileAt.IsZero():
		case endsMissing:
			waiting++
		case allReported || !now.Before(j.ReconcileAt):
			j.ReconcileAt = time.Time{}
		default:
			waiting++
		}
	}
	return waiting
}

func (tr *Tracker) endsMissing() bool {
	for _, vm := range tr.VMs {
		if vm.MoreEnds {
			return true
		}
	}
	return false
}

// Startable reports whether new runs of the job's tasks may start.
func (j *Job) Startable() bool {
	return !j.State.Final() && j.ReconcileAt.IsZero() && !j.Unreadable && !j.Refused
}

// EncodeTombstone returns the tombstone of an ended job in its stored form.
func (j *Job) EncodeTombstone() ([]byte, error) {
	b, err := json.Marshal(j.Spec.Tombstone(string(j.State), j.EndedAt))
	if err != nil {
		return nil, fmt.Errorf("encode tombstone of job %s: %w", j.Spec.ID, err)
	}
	return b, nil
}

// DecodeJob decodes and checks a job from its stored form.
func DecodeJob(value []byte) (*specifier.Job, error) {
	var j specifier.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return nil, fmt.Errorf("decode job: %w", err)
	}
	if j.Ended != "" { // a tombstone has no steps to check
		if !JobState(j.Ended).Final() {
			return nil, decoder.ErrField{Field: "ended", Problem: fmt.Sprintf("%.100q is no final state", j.Ended)}
		}
		if j.EndedMillis <= 0 {
			return nil, decoder.ErrField{Field: "ended-ms", Problem: "missing"}
		}
		return &j, nil
	}
	j.Bound()
	if err := specifier.Check(&j); err != nil {
		return nil, fmt.Errorf("invalid job %q: %w", j.ID, err)
	}
	return &j, nil
}
