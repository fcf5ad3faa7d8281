// Package bookkeeper holds the state of a cell: its tasks, VMs, attempts and
// claims. The state changes only through Apply, which uses no clock, network or
// randomness, so that the same records always give the same state.
package bookkeeper

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/attributor"
)

// Limits of the stored history.
const (
	maxDecisions     = 4096
	maxTaskDecisions = 16
	maxFinished      = 20000
	maxAnswerBytes   = 16 << 20 // of all stored answers together
)

// Task is the recorded state of a task.
type Task struct {
	Spec          messenger.TaskSpec  `json:"spec"`
	Digest        string              `json:"digest"`
	Order         int64               `json:"order"` // position in the submission order
	State         messenger.TaskState `json:"state"`
	Reason        string              `json:"reason,omitempty"`
	Impossible    bool                `json:"impossible,omitempty"`
	EndUnreported bool                `json:"unheard,omitempty"`      // held because it may have completed without a report
	VM            string              `json:"vm,omitempty"`           // VM on which it holds resources
	StartedOn     string              `json:"started-on,omitempty"`   // VM of the latest attempt
	StartedBy     int64               `json:"started-by,omitempty"`   // incarnation of that VM's agent
	StartedLife   string              `json:"started-life,omitempty"` // life of that VM's worker
	Confirmed     bool                `json:"confirmed,omitempty"`    // the agent reported that the latest attempt runs or may have run
	Attempt       int64               `json:"attempt"`
	Quarantines   int                 `json:"quarantines,omitempty"` // of the VM when the latest attempt started
	Stop          StopKind            `json:"stop,omitempty"`
	Percent       int                 `json:"percent,omitempty"`
	Failures      int                 `json:"failures,omitempty"`
	Evictions     int                 `json:"evictions,omitempty"`
	FailedOn      []string            `json:"failed-on,omitempty"`
	Checkpoint    string              `json:"checkpoint,omitempty"`
	NotBefore     time.Time           `json:"not-before,omitzero"`
	Submitted     time.Time           `json:"submitted"`
	Changed       time.Time           `json:"changed"`
	Crashes       []attributor.Crash  `json:"crashes,omitempty"`   // of workers, that it is suspected of
	Decisions     []int64             `json:"decisions,omitempty"` // numbers of the last few decisions
}

// HoldsResources reports whether the task holds resources of its VM.
func (t *Task) HoldsResources() bool {
	return t.State == messenger.TaskStarting || t.State == messenger.TaskRunning || t.State == messenger.TaskStopping
}

// Final reports whether the task has completed or was cancelled.
func (t *Task) Final() bool {
	return t.State == messenger.TaskCompleted || t.State == messenger.TaskCancelled
}

// VM is the recorded state of a VM.
type VM struct {
	Seen             VMSeen    `json:"seen"`
	Quarantined      string    `json:"quarantined,omitempty"`
	QuarantinedUntil time.Time `json:"until,omitzero"`
	Quarantines      int       `json:"quarantines,omitempty"` // consecutive quarantines without a success
	// FailedTasks lists the different tasks that failed on the VM since the last
	// success, and the tasks that found its worker unavailable.
	FailedTasks []string `json:"failing,omitempty"`
}

// Claim is the right to run a keyed request.
type Claim struct {
	Claimed
	At     time.Time               `json:"at"`
	State  messenger.ClaimState    `json:"state"` // granted, held or resolved
	Answer *messenger.StoredAnswer `json:"answer,omitempty"`
}

// state is the part of CellState that is encoded in snapshots.
type state struct {
	Epoch         int64                         `json:"epoch"`
	Owner         string                        `json:"owner"`
	VMLease       time.Duration                 `json:"vm-lease"`
	MaxLease      time.Duration                 `json:"max-lease"` // longest lease that an epoch not yet reconciled may have granted
	NextOrder     int64                         `json:"next-order"`
	NextDecision  int64                         `json:"next-event"`
	Tasks         map[string]*Task              `json:"tasks"`
	VMs           map[string]*VM                `json:"vms"`
	Claims        map[string]*Claim             `json:"claims"`
	Decisions     map[int64]*messenger.Decision `json:"decisions"`
	Finished      []string                      `json:"finished"`  // oldest first
	OwnLease      time.Duration                 `json:"own-lease"` // longest lease that the current owner may grant
	StoredAnswers []storedAnswer                `json:"answered"`  // claims with an answer, oldest first
	AnswerBytes   int                           `json:"answers"`   // total bytes of these answers
}

// storedAnswer refers to a claim whose answer is stored and gives the size of its
// body.
type storedAnswer struct {
	Claim string `json:"claim"`
	Bytes int    `json:"bytes"`
}

// CellState is the state of a cell. It must be used from a single goroutine.
type CellState struct {
	data   state
	onVM   map[string]map[string]*Task // tasks that hold resources, by VM
	queued map[string]*Task
	counts map[messenger.TaskState]int
}

// New returns the state of a cell without tasks, VMs or claims.
func New() *CellState {
	s := &CellState{data: state{
		Tasks: make(map[string]*Task), VMs: make(map[string]*VM),
		Claims: make(map[string]*Claim), Decisions: make(map[int64]*messenger.Decision),
		NextDecision: 1, NextOrder: 1,
	}}
	s.buildIndexes()
	return s
}

// Decode returns the state encoded in a snapshot.
func Decode(snapshot []byte) (*CellState, error) {
	s := New()
	if err := json.Unmarshal(snapshot, &s.data); err != nil {
		return nil, fmt.Errorf("decode snapshot of cell: %w", err)
	}
	s.buildIndexes()
	return s, nil
}

// Encode returns a snapshot. Equal states give equal bytes.
func (s *CellState) Encode() ([]byte, error) {
	out, err := json.Marshal(s.data)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of cell: %w", err)
	}
	return out, nil
}

func (s *CellState) buildIndexes() {
	s.onVM = make(map[string]map[string]*Task)
	s.queued = make(map[string]*Task)
	s.counts = make(map[messenger.TaskState]int)
	for _, t := range s.data.Tasks {
		s.addToIndexes(t)
	}
}

func (s *CellState) addToIndexes(t *Task) {
	s.counts[t.State]++
	switch {
	case t.State == messenger.TaskQueued:
		s.queued[t.Spec.ID] = t
	case t.HoldsResources():
		if s.onVM[t.VM] == nil {
			s.onVM[t.VM] = make(map[string]*Task)
		}
		s.onVM[t.VM][t.Spec.ID] = t
	}
}

func (s *CellState) removeFromIndexes(t *Task) {
	s.counts[t.State]--
	delete(s.queued, t.Spec.ID)
	delete(s.onVM[t.VM], t.Spec.ID)
}

// Epoch returns the epoch of the latest takeover.
func (s *CellState) Epoch() int64 { return s.data.Epoch }

// Owner returns the ID of the entry that took over last.
func (s *CellState) Owner() string { return s.data.Owner }

// MaxLease returns the longest lease that may still be in force on a VM through
// a grant of an earlier owner.
func (s *CellState) MaxLease() time.Duration { return s.data.MaxLease }

// Task returns a task, or nil. The caller must not change it.
func (s *CellState) Task(id string) *Task { return s.data.Tasks[id] }

// VM returns a VM, or nil. The caller must not change it.
func (s *CellState) VM(name string) *VM { return s.data.VMs[name] }

// VMs returns the names of all VMs in alphabetical order.
func (s *CellState) VMs() []string { return sortedKeys(s.data.VMs) }

// Tasks returns all tasks in submission order.
func (s *CellState) Tasks() []*Task { return inSubmissionOrder(s.data.Tasks) }

// Queued returns the queued tasks in submission order.
func (s *CellState) Queued() []*Task { return inSubmissionOrder(s.queued) }

// CountQueued returns the number of queued tasks.
func (s *CellState) CountQueued() int { return len(s.queued) }

// On returns the tasks that hold resources of a VM, in submission order.
func (s *CellState) On(vm string) []*Task { return inSubmissionOrder(s.onVM[vm]) }

// CountOn returns how many tasks hold resources of a VM.
func (s *CellState) CountOn(vm string) int { return len(s.onVM[vm]) }

// CountProbes returns how many tasks a VM that was quarantined has to wait for before another may
// start there. Tasks of before the quarantine show nothing of its worker now. A replica that runs has
// shown what it can: it does not complete.
func (s *CellState) CountProbes(vm string) int {
	n := 0
	for _, t := range s.onVM[vm] {
		if t.Quarantines == s.data.VMs[vm].Quarantines && (t.Spec.Service == "" || t.State != messenger.TaskRunning) {
			n++
		}
	}
	return n
}

// Counts returns the number of tasks by state, without states that have none.
func (s *CellState) Counts() map[messenger.TaskState]int {
	counts := make(map[messenger.TaskState]int, len(s.counts))
	for state, n := range s.counts {
		if n > 0 {
			counts[state] = n
		}
	}
	return counts
}

// Committed returns the resources of a VM held by tasks and upstreams. An
// upstream that belongs to a replica task counts once.
func (s *CellState) Committed(vm string) describer.Resources {
	var sum describer.Resources
	replicas := make(map[string]int64)
	for _, t := range s.onVM[vm] {
		sum = sum.Add(t.Spec.Needs)
		if t.Spec.Service != "" {
			replicas[t.Spec.Service]++
		}
	}
	v := s.data.VMs[vm]
	if v == nil {
		return sum
	}
	for _, u := range v.Seen.Services {
		for n := replicas[u.Service]; n < u.Count; n++ {
			sum = sum.Add(u.Needs)
		}
	}
	return sum
}

// Claim returns the claim for a key of a tenant, or nil.
func (s *CellState) Claim(tenant, key string) *Claim { return s.data.Claims[claimKey(tenant, key)] }

// CountClaims returns the number of claims.
func (s *CellState) CountClaims() int { return len(s.data.Claims) }

// OldestClaim returns when the oldest claim was made, or the zero time if there
// are no claims.
func (s *CellState) OldestClaim() time.Time {
	var oldest time.Time
	for _, c := range s.data.Claims {
		if oldest.IsZero() || c.At.Before(oldest) {
			oldest = c.At
		}
	}
	return oldest
}

// Decisions returns up to limit decisions with numbers greater than above.
func (s *CellState) Decisions(above int64, limit int) []messenger.Decision {
	var out []messenger.Decision
	for n := max(above+1, s.data.NextDecision-maxDecisions); n < s.data.NextDecision && len(out) < limit; n++ {
		if d := s.data.Decisions[n]; d != nil {
			out = append(out, *d)
		}
	}
	return out
}

// FindDecisions returns the decisions for which match is true, oldest first.
func (s *CellState) FindDecisions(match func(*messenger.Decision) bool) []messenger.Decision {
	var out []messenger.Decision
	for _, d := range s.data.Decisions {
		if match(d) {
			out = append(out, *d)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

func claimKey(tenant, key string) string { return tenant + "\x00" + key }

func inSubmissionOrder(tasks map[string]*Task) []*Task {
	out := make([]*Task, 0, len(tasks))
	for _, t := range tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Order < out[j].Order })
	return out
}

func sortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// NextOrder returns the position that the next submitted task gets in the
// submission order.
func (s *CellState) NextOrder() int64 { return s.data.NextOrder }

// Count returns the number of tasks in one state.
func (s *CellState) Count(t messenger.TaskState) int { return s.counts[t] }
