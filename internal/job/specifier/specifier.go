// Package specifier holds what a job is: steps of equal tasks that depend on each
// other. A job as callers submit it, as the store keeps it and as decisions read
// it is one type.
package specifier

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Limits of a submission.
const (
	MaxPayloadBytes = 4000   // of Job.Payload, as the callers' contract says
	MaxSteps        = 64     // far above the jobs seen (5), so that a record stays small
	MaxTasks        = 20_000 // of one occurrence, and of all that are open; a record of progress takes a bit each
	MaxOccurrences  = 1_000_000
	MaxOpen         = 1000 // occurrences at a time; later ones that are due wait for an end
)

// Resources is an amount of a VM.
type Resources struct {
	CPUMillis int64 `json:"cpu-millis"` // thousandths of a core
	MemoryMB  int64 `json:"memory-mb"`
	GPUs      int64 `json:"gpus,omitempty"`
}

// Add returns r and o together.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Fits tells whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPUMillis <= r.CPUMillis && o.MemoryMB <= r.MemoryMB && o.GPUs <= r.GPUs
}

// Step is a number of equal tasks.
type Step struct {
	Count          int       `json:"count"`
	Needs          Resources `json:"needs"` // of each task
	EstimateMillis int64     `json:"estimate-ms"`
	After          []int     `json:"after,omitempty"`       // steps, from 0, all of whose tasks must be done before
	Checkpoints    bool      `json:"checkpoints,omitempty"` // tasks resume from where they were
	Gang           bool      `json:"gang,omitempty"`        // the tasks work only all together
	SameRack       bool      `json:"same-rack,omitempty"`   // the tasks are slow on more than one rack
	Label          string    `json:"label,omitempty"`       // that a VM must have
	DataRack       string    `json:"data-rack,omitempty"`   // where the data lies; slow elsewhere
	MaxPerVM       int       `json:"max-per-vm,omitempty"`  // tasks of one occurrence on a VM; 0: any number
	Copies         bool      `json:"copies,omitempty"`      // a task may run several times at once, the first end counts
	Lasting        bool      `json:"lasting,omitempty"`     // runs until the job is cancelled
	MaxAway        int       `json:"max-away,omitempty"`    // lasting tasks that orders may take away at once; 0: no bound was asked for
	Image          string    `json:"image,omitempty"`       // tasks of one image behave alike
	TailMillis     int64     `json:"tail-target,omitempty"` // ms, of the response times that a lasting task serves
	Fills          bool      `json:"fills,omitempty"`       // uses processor time that others leave; none is set aside for it
}

// Estimate is the declared duration of a task.
func (s Step) Estimate() time.Duration { return time.Duration(s.EstimateMillis) * time.Millisecond }

// Committed is what a task takes of a VM's capacity: one that fills takes no
// processors of its own.
func (s Step) Committed() Resources {
	if s.Fills {
		return Resources{MemoryMB: s.Needs.MemoryMB, GPUs: s.Needs.GPUs}
	}
	return s.Needs
}

// CoreSeconds is the work that each task of the step declares.
func (s Step) CoreSeconds() float64 {
	return float64(s.Needs.CPUMillis) / 1000 * s.Estimate().Seconds()
}

// Job is a submission.
type Job struct {
	ID             string `json:"id"`
	Queue          string `json:"queue"`   // name of the queue that took it
	Payload        string `json:"payload"` // handed to each task unread
	Steps          []Step `json:"steps"`
	Occurrences    int    `json:"occurrences,omitempty"` // 0: runs once, at once
	FirstMillis    int64  `json:"first-ms,omitempty"`    // Unix ms when occurrence 0 is due
	IntervalMillis int64  `json:"interval-ms,omitempty"` // between occurrences
	AcceptedMillis int64  `json:"accepted-ms"`           // Unix ms at the entry that took it
	// Ended is the final state of a job that has ended, whose payload and steps are
	// dropped; empty for one that has not.
	Ended       string `json:"ended,omitempty"`
	EndedMillis int64  `json:"ended-ms,omitempty"` // Unix ms
}

// Remains is what is kept of a job once it has ended, so that a repeated submission
// finds it.
func (j *Job) Remains(state string, at time.Time) Job {
	return Job{ID: j.ID, Queue: j.Queue, AcceptedMillis: j.AcceptedMillis, Ended: state, EndedMillis: at.UnixMilli()}
}

// Times is how often the steps run.
func (j *Job) Times() int { return max(j.Occurrences, 1) }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.UnixMilli(j.AcceptedMillis)
	}
	return time.UnixMilli(j.FirstMillis + int64(occurrence)*j.IntervalMillis)
}

// Lasts tells whether the job ends only by being cancelled.
func (j *Job) Lasts() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}
	return false
}

// TaskID names a task. Its text form is JOB.OCCURRENCE.STEP.INDEX.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Less orders names of tasks.
func (t TaskID) Less(o TaskID) bool {
	switch {
	case t.Job != o.Job:
		return t.Job < o.Job
	case t.Occurrence != o.Occurrence:
		return t.Occurrence < o.Occurrence
	case t.Step != o.Step:
		return t.Step < o.Step
	}
	return t.Index < o.Index
}

// ParseTaskID reads the text form of a TaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task id %q: want JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task id %q: %q is not a number from 0", text, parts[i+1])
		}
		numbers[i] = n
	}
	return TaskID{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}
