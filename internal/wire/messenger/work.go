package messenger

import "bamboospread/internal/job/specifier"

// Methods for jobs. An agent has one session with the owner of its cell: it sends
// reports, and the owner sends orders on the same connection.
const (
	MethodWorkReport  = "work/report"  // agent to owner: WorkReport, WorkReply
	MethodWorkOrders  = "work/orders"  // owner to agent: WorkOrders, Empty
	MethodWorkHint    = "work/hint"    // entry to owner: WorkHint, Empty
	MethodWorkState   = "work/state"   // entry to owner: WorkStateRequest, WorkStateReply
	MethodWorkPending = "work/pending" // entry to owner: WorkPendingRequest, WorkPendingReply
	MethodWorkExplain = "work/explain" // entry to owner: WorkStateRequest, WorkExplainReply
	MethodWorkOwner   = "work/owner"   // agent to entry: Empty, WorkOwner
	MethodWorkStore   = "work/store"   // entry to owner: WorkStoreRequest, WorkStoreReply
	MethodWorkHello   = "work/hello"   // entry to owner: PeerAddress, WorkOwner
)

// WorkReport tells everything that an agent knows of its worker's runs.
type WorkReport struct {
	VM         string     `json:"vm"`
	Session    int64      `json:"session"`         // rises with each session of the agent
	Process    int64      `json:"process"`         // names the agent's process; another one knows no order of before
	Facts      *WorkFacts `json:"facts,omitempty"` // in the first report of a session
	Life       string     `json:"life"`            // of the worker
	Ready      bool       `json:"ready"`
	Granted    bool       `json:"granted"` // the agent holds a grant; without one it starts nothing
	OrdersSeen int64      `json:"orders-seen"`
	AgeMillis  int64      `json:"age-ms"` // of what is told of the runs
	Runs       []WorkRun  `json:"runs,omitempty"`
	Ends       []WorkEnd  `json:"ends,omitempty"`
	// Doubts are starts that were not answered and that no look has shown yet: the worker
	// may carry them out late, also in another life.
	Doubts []WorkDoubt `json:"doubts,omitempty"`
	// An abridged report lists the runs that are new or have changed by more than their
	// figures; wire/abridger restores the whole one.
	Abridged bool       `json:"abridged,omitempty"`
	Part     int64      `json:"part,omitempty"`    // number of an abridged report in its session, from 1
	Figures  [][3]int64 `json:"figures,omitempty"` // id, progress and measure of other runs whose figures have changed
	Gone     []int64    `json:"gone,omitempty"`    // ids of runs that are listed no more
}

// WorkFacts describe a VM.
type WorkFacts struct {
	WorkerID string              `json:"worker-id,omitempty"`
	Zone     string              `json:"zone"`
	Rack     string              `json:"rack"`
	Service  string              `json:"service"`
	Labels   []string            `json:"labels,omitempty"`
	Capacity specifier.Resources `json:"capacity"`
}

// WorkRun is a run that the worker has or may still get.
type WorkRun struct {
	ID         int64                `json:"id,omitempty"` // in the abridged reports of a session
	Task       string               `json:"task"`
	Run        int64                `json:"run"`
	Confirmed  bool                 `json:"confirmed,omitempty"` // the worker has it
	Stopping   bool                 `json:"stopping,omitempty"`  // the agent is stopping it
	Checkpoint string               `json:"checkpoint,omitempty"`
	Progress   int                  `json:"progress"` // percent
	Measure    int64                `json:"measure"`
	Needs      *specifier.Resources `json:"needs,omitempty"`
}

// WorkDoubt is a start that may still be carried out.
type WorkDoubt struct {
	Task      string `json:"task"`
	Run       int64  `json:"run"`
	AgeMillis int64  `json:"age-ms"` // since it was sent
}

// WorkEnd is a run that ended and whose end the owner has not stored yet.
type WorkEnd struct {
	Seq        int64  `json:"seq"`
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	How        string `json:"how"` // accountant.End
	Checkpoint string `json:"checkpoint,omitempty"`
}

// WorkReply answers a report. The agent may let its runs go on for GrantMillis,
// counted from when it sent the report.
type WorkReply struct {
	Epoch       int64 `json:"epoch"`
	GrantMillis int64 `json:"grant-ms"`
	EndsStored  int64 `json:"ends-stored"` // the worker may forget ends up to this number
	GapMillis   int64 `json:"gap-ms"`      // between reports, at least
	// Needs of the runs listed, in the answer to the first report of a session: an
	// agent that was restarted does not know them.
	Needs []WorkRun `json:"needs,omitempty"`
	// Doubts of earlier processes of the agent, in the same answer.
	Doubts  []WorkDoubt   `json:"doubts,omitempty"`
	Entries []PeerAddress `json:"entries,omitempty"` // to ask for the owner when this one is lost
}

// WorkOrderKind says what an order is.
type WorkOrderKind string

// Kinds of orders.
const (
	WorkStart WorkOrderKind = "start"
	WorkStop  WorkOrderKind = "stop"
	WorkPace  WorkOrderKind = "pace"
)

// WorkOrders are orders of one session, in the order of their numbers.
type WorkOrders struct {
	Epoch      int64       `json:"epoch"`
	Session    int64       `json:"session"`
	EndsStored int64       `json:"ends-stored"`
	Life       string      `json:"life"` // of the worker that they are meant for
	Orders     []WorkOrder `json:"orders,omitempty"`
}

// WorkOrder is one order.
type WorkOrder struct {
	Seq        int64               `json:"seq"`
	Kind       WorkOrderKind       `json:"kind"`
	Task       string              `json:"task"`
	Run        int64               `json:"run"`
	Payload    string              `json:"payload,omitempty"`
	Checkpoint string              `json:"checkpoint,omitempty"`
	Ticket     string              `json:"ticket,omitempty"`
	Needs      specifier.Resources `json:"needs"` // what it takes of the VM's capacity
	Percent    int                 `json:"percent,omitempty"`
}

// WorkHint tells the owner of a record that an entry has just stored, so that it
// need not wait for its watch.
type WorkHint struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// WorkStoreRequest asks the owner to create a record below its work prefix for an
// entry that does not reach the store.
type WorkStoreRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// WorkStoreOutcome tells what became of a record.
type WorkStoreOutcome string

// Outcomes.
const (
	WorkStored    WorkStoreOutcome = "stored"    // now or before
	WorkRefused   WorkStoreOutcome = "refused"   // surely not
	WorkUnsettled WorkStoreOutcome = "unsettled" // not known
)

// WorkStoreReply tells the outcome.
type WorkStoreReply struct {
	Outcome WorkStoreOutcome `json:"outcome"`
	Reason  string           `json:"reason,omitempty"`
}

// WorkStateRequest asks for the state of a job.
type WorkStateRequest struct {
	Job string `json:"job"`
}

// WorkStateReply tells the state of a job; Known is false if the owner has no such
// job, which is not proof that none was accepted.
type WorkStateReply struct {
	Known bool   `json:"known"`
	State string `json:"state,omitempty"` // accountant.JobState
}

// WorkPendingRequest asks how many jobs of a queue have not started.
type WorkPendingRequest struct {
	Queue string `json:"queue"`
}

// WorkPendingReply tells it.
type WorkPendingReply struct {
	Pending int `json:"pending"`
}

// WorkExplainReply tells everything that the owner knows of a job.
type WorkExplainReply struct {
	Known       bool             `json:"known"`
	Job         string           `json:"job"`
	Queue       string           `json:"queue"`
	State       string           `json:"state"`
	Epoch       int64            `json:"epoch"`               // of the owner
	Unsettled   bool             `json:"unsettled,omitempty"` // waits for VMs that an earlier owner may have used
	Occurrences int              `json:"occurrences"`
	Finished    int              `json:"finished-occurrences"`
	Steps       []WorkStepStatus `json:"steps,omitempty"` // of the open occurrences
}

// WorkStepStatus is the state of a step of an open occurrence.
type WorkStepStatus struct {
	Occurrence int             `json:"occurrence"`
	Step       int             `json:"step"`
	Tasks      int             `json:"tasks"`
	Done       int             `json:"done"`
	Running    int             `json:"running"`
	Waiting    int             `json:"waiting"`
	Failures   int             `json:"failures"`
	Reason     string          `json:"reason,omitempty"` // why its tasks wait
	Runs       []WorkRunStatus `json:"runs,omitempty"`
}

// WorkRunStatus is a live run.
type WorkRunStatus struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	VM    string `json:"vm"`
	State string `json:"state"`
}

// WorkOwner tells who owns the cell as far as an entry knows, and which entries
// it knows.
type WorkOwner struct {
	Owner   CellOwner     `json:"owner"` // zero if unknown
	Entries []PeerAddress `json:"entries,omitempty"`
}
