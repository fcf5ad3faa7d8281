// Package specifier defines jobs: steps of identical tasks with dependencies
// between the steps. The same type is used for submissions, in the store and by
// the scheduling decisions.
package specifier

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Limits of a submission.
const (
	MaxPayloadBytes = 4000   // of Job.Payload, as documented for callers
	MaxSteps        = 64     // keeps records small; jobs in use have at most 5
	MaxTasks        = 20_000 // of one occurrence, and of all open ones together; a progress record takes one bit per task
	MaxOccurrences  = 1_000_000
	MaxOpen         = 1000 // open occurrences of a job; further due ones wait until one has finished
)

// Resources is an amount of a VM's processors, memory and GPUs.
type Resources struct {
	CPUMillis int64 `json:"cpu-millis"` // thousandths of a core
	MemoryMB  int64 `json:"memory-mb"`
	GPUs      int64 `json:"gpus,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPUMillis * n, r.MemoryMB * n, r.GPUs * n}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPUMillis <= r.CPUMillis && o.MemoryMB <= r.MemoryMB && o.GPUs <= r.GPUs
}

// Count returns how many times o fits into r, at most limit.
func (r Resources) Count(o Resources, limit int) int {
	n := int64(limit)
	for _, d := range [...]struct{ have, need int64 }{{r.CPUMillis, o.CPUMillis}, {r.MemoryMB, o.MemoryMB}, {r.GPUs, o.GPUs}} {
		switch {
		case d.have < 0:
			return 0 // Fits refuses it, whatever is needed
		case d.need > 0:
			n = min(n, d.have/d.need)
		}
	}
	return int(n)
}

// Step is a group of identical tasks.
type Step struct {
	Count          int       `json:"count"`
	Needs          Resources `json:"needs"` // of each task
	EstimateMillis int64     `json:"estimate-ms"`
	After          []int     `json:"after,omitempty"`       // steps, counted from 0, that must be finished before this one starts
	Checkpoints    bool      `json:"checkpoints,omitempty"` // tasks resume from their last checkpoint
	Gang           bool      `json:"gang,omitempty"`        // the tasks make progress only while all of them run
	SameRack       bool      `json:"same-rack,omitempty"`   // the tasks are slow when spread over several racks
	Label          string    `json:"label,omitempty"`       // required of the VM
	DataRack       string    `json:"data-rack,omitempty"`   // rack that holds the input data; tasks are slow elsewhere
	MaxPerVM       int       `json:"max-per-vm,omitempty"`  // tasks of the step, within one occurrence, on a VM; 0: no limit
	Copies         bool      `json:"copies,omitempty"`      // several runs of a task are allowed at once; the first to end counts
	LongRunning    bool      `json:"lasting,omitempty"`     // long-running: runs until the job is cancelled
	MaxUnavailable int       `json:"max-away,omitempty"`    // long-running tasks that orders may make unavailable at once; 0: no limit requested
	Image          string    `json:"image,omitempty"`       // tasks of the same image behave alike
	TailMillis     int64     `json:"tail-target,omitempty"` // target for the tail latency of a long-running task, in ms
	BestEffort     bool      `json:"fills,omitempty"`       // best-effort: uses processor time that other tasks leave idle; none is reserved
}

// Estimate is the declared duration of a task, at most MaxEstimate.
func (s Step) Estimate() time.Duration { return min(Millis(s.EstimateMillis), MaxEstimate) }

// Committed returns the part of a VM's capacity that is reserved for a task. No
// processors are reserved for a best-effort task.
func (s Step) Committed() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Needs.MemoryMB, GPUs: s.Needs.GPUs}
	}
	return s.Needs
}

// CoreSeconds is the declared processor time of each task of the step.
func (s Step) CoreSeconds() float64 {
	return float64(s.Needs.CPUMillis) / 1000 * s.Estimate().Seconds()
}

// Job is a submission.
type Job struct {
	ID             string `json:"id"`
	Queue          string `json:"queue"`             // name of the queue that accepted it
	Account        string `json:"account,omitempty"` // client account (tenant) of the caller; empty: not known
	Payload        string `json:"payload"`           // passed to each task unchanged
	Steps          []Step `json:"steps"`
	Occurrences    int    `json:"occurrences,omitempty"` // 0: runs once, immediately
	FirstMillis    int64  `json:"first-ms,omitempty"`    // Unix ms when occurrence 0 is due
	IntervalMillis int64  `json:"interval-ms,omitempty"` // between occurrences
	AcceptedMillis int64  `json:"accepted-ms"`           // Unix ms, by the clock of the entry that accepted it
	// StartByMillis bounds the first start of a job that was admitted under a backlog, in Unix ms; 0:
	// not bounded.
	StartByMillis int64 `json:"start-by-ms,omitempty"`
	// QueueSettings are those of the queue when the job was accepted; nil: stored by an earlier build.
	QueueSettings *QueueSettings `json:"queue-settings,omitempty"`
	// Ended is the final state of a job that has ended; its payload and steps are
	// dropped then. It is empty while the job is open.
	Ended       string `json:"ended,omitempty"`
	EndedMillis int64  `json:"ended-ms,omitempty"` // Unix ms
}

// Tombstone returns the part of an ended job that is kept, so that a repeated
// submission still finds it, and runs that are still being stopped count for their account.
func (j *Job) Tombstone(state string, at time.Time) Job {
	return Job{ID: j.ID, Queue: j.Queue, Account: j.Account, AcceptedMillis: j.AcceptedMillis, Ended: state, EndedMillis: at.UnixMilli()}
}

// OccurrenceCount returns how many times the steps run.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// TaskCount returns the number of tasks of an occurrence.
func (j *Job) TaskCount() (tasks int) {
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return tasks
}

// HasTask reports whether the job has a task with the ID.
func (j *Job) HasTask(id TaskID) bool {
	return id.Job == j.ID && id.Occurrence >= 0 && id.Occurrence < j.OccurrenceCount() &&
		id.Step >= 0 && id.Step < len(j.Steps) && id.Index >= 0 && id.Index < j.Steps[id.Step].Count
}

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.UnixMilli(j.AcceptedMillis)
	}
	return time.UnixMilli(j.FirstMillis + int64(occurrence)*j.IntervalMillis)
}

// LongRunning reports whether the job has long-running tasks, so that it ends only when it is
// cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// TaskID identifies a task. Its text form is JOB.OCCURRENCE.STEP.INDEX.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Less reports whether t sorts before o.
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

// ParseTaskID parses the text form of a TaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task id %q: want JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task id %q: %q is not a non-negative integer", text, parts[i+1])
		}
		numbers[i] = n
	}
	return TaskID{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}
