package accountant

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"bamboospread/internal/job/specifier"
)

// Record is the progress of a job as the store keeps it. What runs is not in it:
// the workers know that.
type Record struct {
	State    JobState           `json:"state"`
	EndedAt  int64              `json:"ended-ms,omitempty"` // Unix ms
	Finished int                `json:"finished,omitempty"` // occurrences
	Next     int                `json:"next"`
	Open     []OccurrenceRecord `json:"open,omitempty"`
}

// OccurrenceRecord is the progress of an occurrence that is not finished.
type OccurrenceRecord struct {
	Number int          `json:"number"`
	Steps  []StepRecord `json:"steps"`
}

// StepRecord is the progress of a step.
type StepRecord struct {
	Done   string          `json:"done,omitempty"`   // hex of a bit for each task, lowest first
	Failed map[int][]int64 `json:"failed,omitempty"` // by task: numbers of the runs that ended failed
}

// Encode returns the record of a job.
func (j *Job) Encode() ([]byte, error) {
	r := Record{State: j.State, Finished: j.Finished, Next: j.Next}
	if j.State.Final() {
		r.EndedAt = j.EndedAt.UnixMilli()
	} else {
		for _, o := range j.Occurrences {
			r.Open = append(r.Open, o.record())
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode progress of job %s: %w", j.Spec.ID, err)
	}
	return b, nil
}

func (o *Occurrence) record() OccurrenceRecord {
	r := OccurrenceRecord{Number: o.Number}
	for _, s := range o.Steps {
		var sr StepRecord
		if s.Done > 0 {
			bits := make([]byte, (len(s.Tasks)+7)/8)
			for i, t := range s.Tasks {
				if t.Done {
					bits[i/8] |= 1 << (i % 8)
				}
			}
			sr.Done = hex.EncodeToString(bits)
		}
		for i, t := range s.Tasks {
			if len(t.Failed) > 0 {
				if sr.Failed == nil {
					sr.Failed = make(map[int][]int64)
				}
				sr.Failed[i] = t.Failed
			}
		}
		r.Steps = append(r.Steps, sr)
	}
	return r
}

// Restore gives a job, just added, the progress that the store has of it.
func (a *Accountant) Restore(id string, value []byte, now time.Time) error {
	j := a.Jobs[id]
	if j == nil {
		return fmt.Errorf("progress of job %s, which does not exist", id)
	}
	if err := j.restore(value, now); err != nil {
		// Begun anew it would run tasks a second time that are done.
		j.Unreadable, j.Occurrences = true, nil
		return fmt.Errorf("progress of job %s: %w", id, err)
	}
	a.open = nil
	a.openDue(j, now)
	return nil
}

func (j *Job) restore(value []byte, now time.Time) error {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	switch r.State {
	case JobQueued, JobRunning, JobDone, JobFailed, JobCancelled:
	default:
		return fmt.Errorf("state %q", r.State)
	}
	known := j.Spec.Ended == "" // remains have no steps and no occurrences
	if known && (r.Finished < 0 || r.Next < 0 || r.Next > j.Spec.Times() || r.Finished+len(r.Open) > r.Next) {
		return fmt.Errorf("%d occurrences finished and %d open of %d that were due", r.Finished, len(r.Open), r.Next)
	}
	j.Started = r.State != JobQueued
	var open []*Occurrence
	for _, or := range r.Open {
		o := newOccurrence(j, or.Number, now)
		if err := o.restore(or, now); err != nil {
			return err
		}
		open = append(open, o)
	}
	j.State, j.StoredState, j.Finished, j.Next = r.State, r.State, r.Finished, r.Next
	j.EndedAt = time.UnixMilli(r.EndedAt)
	j.Occurrences = open
	return nil
}

func (o *Occurrence) restore(r OccurrenceRecord, now time.Time) error {
	if len(r.Steps) != len(o.Steps) {
		return fmt.Errorf("occurrence %d has %d steps, its job %d", o.Number, len(r.Steps), len(o.Steps))
	}
	for i, sr := range r.Steps {
		s := o.Steps[i]
		bits, err := hex.DecodeString(sr.Done)
		if err != nil {
			return fmt.Errorf("done tasks of step %d: %w", i, err)
		}
		for n, t := range s.Tasks {
			if n/8 < len(bits) && bits[n/8]&(1<<(n%8)) != 0 {
				t.Done = true
				s.Done++
			}
			t.Failed, t.Ran = sr.Failed[n], o.Job.Started
		}
	}
	for _, s := range o.Steps {
		if s.Ready() {
			s.ReadyAt = now
		}
	}
	return nil
}

// Flush is what the store has to be told before ends are acknowledged: the jobs
// to write, and up to which end each VM may be acknowledged afterwards.
type Flush struct {
	Jobs []*Job
	ends []endMark
}

type endMark struct {
	vm   *VM
	life string
	seq  int64
}

// Empty tells that there is nothing to write and nothing to acknowledge.
func (f *Flush) Empty() bool { return len(f.Jobs) == 0 && len(f.ends) == 0 }

// BeginFlush collects the jobs whose progress the store lacks, and the ends that
// may be acknowledged once they are written.
func (a *Accountant) BeginFlush() *Flush {
	f := &Flush{}
	for _, id := range a.jobIDs() {
		if j := a.Jobs[id]; j.dirty {
			j.dirty, j.flight = false, true
			f.Jobs = append(f.Jobs, j)
		}
	}
	for _, vm := range a.VMs {
		if vm.EndSeen > vm.EndStored {
			f.ends = append(f.ends, endMark{vm, vm.Life, vm.EndSeen})
		}
	}
	return f
}

// EndFlush takes the outcome of a flush: states are the states written. After a
// failure the jobs are written again.
func (a *Accountant) EndFlush(f *Flush, states map[string]JobState, err error) {
	for _, j := range f.Jobs {
		j.flight = false
		if err != nil {
			j.dirty = true
			continue
		}
		j.StoredState = states[j.Spec.ID]
	}
	if err != nil {
		return
	}
	for _, e := range f.ends {
		if e.vm.Life == e.life {
			e.vm.EndStored = max(e.vm.EndStored, e.seq)
		}
	}
}

// Told returns the state that callers are told: a final one only once the store
// has it, so that it can never be taken back.
func (j *Job) Told() JobState {
	if j.State.Final() && !j.StoredState.Final() {
		if j.State == JobCancelled {
			return JobCancelled // its cancellation was stored before it came here
		}
		return JobRunning
	}
	return j.State
}

// Settle lets the jobs start whose time has come; all of them if every VM has
// reported. It returns how many still wait.
func (a *Accountant) Settle(allReported bool, now time.Time) int {
	waiting := 0
	for _, j := range a.Jobs {
		switch {
		case j.SettlesAt.IsZero():
		case allReported || !now.Before(j.SettlesAt):
			j.SettlesAt = time.Time{}
		default:
			waiting++
		}
	}
	return waiting
}

// Startable tells whether new runs of the job's tasks may begin.
func (j *Job) Startable() bool {
	return !j.State.Final() && j.SettlesAt.IsZero() && !j.Unreadable
}

// EncodeRemains returns what the store keeps of a job that has ended.
func (j *Job) EncodeRemains() ([]byte, error) {
	b, err := json.Marshal(j.Spec.Tombstone(string(j.State), j.EndedAt))
	if err != nil {
		return nil, fmt.Errorf("encode remains of job %s: %w", j.Spec.ID, err)
	}
	return b, nil
}

// DecodeJob reads a job as the store has it.
func DecodeJob(value []byte) (*specifier.Job, error) {
	var j specifier.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return nil, fmt.Errorf("decode job: %w", err)
	}
	if j.Ended != "" { // its remains have no steps
		return &j, nil
	}
	if err := specifier.Check(&j); err != nil {
		return nil, fmt.Errorf("job %s: %w", j.ID, err)
	}
	return &j, nil
}
