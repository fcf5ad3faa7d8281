package messenger

import (
	"encoding/json"

	"bamboospread/internal/job/specifier"
)

// Methods for jobs. An agent has one session with the owner of its cell: the agent
// sends reports, and the owner sends orders on the same connection.
const (
	MethodWorkReport  = "work/report"  // agent to owner: WorkReport, WorkReply
	MethodWorkOrders  = "work/orders"  // owner to agent: WorkOrders, Empty
	MethodWorkHint    = "work/hint"    // entry to owner: WorkHint, WorkHintReply
	MethodWorkState   = "work/state"   // entry to owner: WorkStateRequest, WorkStateReply
	MethodWorkDoubt   = "work/doubt"   // entry to owner: WorkStateRequest of a job whose submission has an unknown outcome, Empty
	MethodWorkPending = "work/pending" // entry to owner: WorkPendingRequest, WorkPendingReply
	MethodWorkExplain = "work/explain" // entry to owner: WorkStateRequest, WorkExplainReply
	// MethodWorkExplainAccount is from entry to owner: WorkAccountRequest, WorkAccountReply.
	MethodWorkExplainAccount = "work/explain-account"
	// MethodWorkExplainQueue is from entry to owner: WorkQueueRequest, WorkQueueReply.
	MethodWorkExplainQueue = "work/explain-queue"

	MethodWorkOwner  = "work/owner"  // agent or entry to entry: Empty, WorkOwner
	MethodWorkStore  = "work/store"  // entry to owner: WorkStoreRequest, WorkStoreReply
	MethodWorkPolicy = "work/policy" // entry to owner: WorkPolicyRequest, WorkPolicyReply
	MethodWorkHello  = "work/hello"  // entry to owner: WorkHello, WorkOwner
)

// MethodStoreCall asks an entry to make a store call for the owner of the cell, whose VM the store
// refuses; package relayer has its messages.
const MethodStoreCall = "store/call"

// WorkReport contains the full state of the runs of an agent's worker.
type WorkReport struct {
	VM          string      `json:"vm"`
	Session     int64       `json:"session"`         // increases with each session of the agent
	Process     int64       `json:"process"`         // identifies the agent's process; a new process has no record of earlier orders
	VMInfo      *WorkVMInfo `json:"facts,omitempty"` // in the first report of a session
	Epoch       int64       `json:"epoch,omitempty"` // of the owner that the report was made for; 0: not known
	Incarnation string      `json:"life"`            // incarnation of the worker
	Ready       bool        `json:"ready"`
	// UnresponsiveMillis is how long the worker has not answered; 0: it does. Its runs may have ended.
	UnresponsiveMillis int64 `json:"unresponsive-ms,omitempty"`
	Granted            bool  `json:"granted"` // the agent has a grant; without one it starts nothing
	OrdersSeen         int64 `json:"orders-seen"`
	AgeMillis          int64 `json:"age-ms"` // of the reported state of the runs
	// LeaseMillis is how long runs may go on without contact although nobody has granted that.
	LeaseMillis int64     `json:"lease-left-ms,omitempty"`
	Runs        []WorkRun `json:"runs,omitempty"`
	Ends        []WorkEnd `json:"ends,omitempty"`
	MoreEnds    bool      `json:"more-ends,omitempty"` // the worker may have more; runs that are not listed may have ended
	// Unconfirmed starts: they were not answered and no status poll has shown the run yet.
	// The worker may still carry them out, even in another incarnation.
	UnconfirmedStarts []WorkUnconfirmedStart `json:"doubts,omitempty"`
	// LateStarts is set if a later incarnation of the worker under the same ID may carry them out.
	LateStarts bool        `json:"late-starts,omitempty"`
	Crashes    []WorkCrash `json:"crashes,omitempty"` // of the worker, that are not stored yet
	// An abridged report lists only runs that are new or changed in more than progress and
	// measure; wire/abridger restores the full report.
	Abridged bool       `json:"abridged,omitempty"`
	Part     int64      `json:"part,omitempty"`    // number of an abridged report in its session, from 1
	Updates  [][3]int64 `json:"figures,omitempty"` // id, progress and measure of other runs in which one of the two changed
	Removed  []int64    `json:"gone,omitempty"`    // ids of runs that are no longer listed
	// KeepsPayloads is how many payloads of jobs the agent keeps in a session; 0: none.
	KeepsPayloads int `json:"keeps-payloads,omitempty"`
}

// WorkVMInfo is the description of a VM.
type WorkVMInfo struct {
	WorkerID string              `json:"worker-id,omitempty"`
	Zone     string              `json:"zone"`
	Rack     string              `json:"rack"`
	Service  string              `json:"service"`
	Labels   []string            `json:"labels,omitempty"`
	Capacity specifier.Resources `json:"capacity"`
}

// WorkRun is a run that the worker has or may still start.
type WorkRun struct {
	ID         int64                `json:"id,omitempty"` // within the abridged reports of a session
	Task       string               `json:"task"`
	Run        int64                `json:"run"`
	Confirmed  bool                 `json:"confirmed,omitempty"` // the worker has reported the run
	Stopping   bool                 `json:"stopping,omitempty"`  // the agent is stopping the run
	Checkpoint string               `json:"checkpoint,omitempty"`
	Progress   int                  `json:"progress"` // percent
	Measure    int64                `json:"measure"`  // tail latency in ms for a long-running task with a target, else CPU use in thousandths of a core
	Needs      *specifier.Resources `json:"needs,omitempty"`
}

// WorkUnconfirmedStart is a start that was not answered and may still be carried out.
type WorkUnconfirmedStart struct {
	Task      string `json:"task"`
	Run       int64  `json:"run"`
	AgeMillis int64  `json:"age-ms"` // since it was sent
}

// WorkCrash is a crash of the worker.
type WorkCrash struct {
	Seq         int64            `json:"seq"`                    // in the agent's process, from 1
	AgoMillis   int64            `json:"ago-ms,omitempty"`       // since it came
	TimeUnknown bool             `json:"time-unknown,omitempty"` // no connection broke; it came some time before it was noticed
	Runs        []WorkCrashedRun `json:"runs"`
}

// WorkCrashedRun is a run that the worker had when it crashed.
type WorkCrashedRun struct {
	Task      string `json:"task"`
	Run       int64  `json:"run"`
	AgeMillis int64  `json:"age-ms"` // since its start
}

// WorkEnd is the end of a run that the owner has not stored yet.
type WorkEnd struct {
	Seq        int64  `json:"seq"`
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Outcome    string `json:"how"` // a tracker.End
	Checkpoint string `json:"checkpoint,omitempty"`
}

// WorkReply answers a report. The agent may keep its runs running for GrantMillis,
// counted from when it sent the report.
type WorkReply struct {
	Epoch         int64 `json:"epoch"`
	Outdated      bool  `json:"outdated,omitempty"` // the report was made for another epoch and has not been applied
	GrantMillis   int64 `json:"grant-ms"`
	EndsStored    int64 `json:"ends-stored"`              // the worker may discard ends up to this number
	CrashesStored int64 `json:"crashes-stored,omitempty"` // the agent may discard crashes up to this number
	// GapMillis is the minimum time between reports for agents of earlier builds, which apply it to news as well.
	GapMillis int64 `json:"gap-ms"`
	// QuietMillis is the minimum time between reports without news; 0: GapMillis.
	QuietMillis int64 `json:"quiet-ms,omitempty"`
	// Needs are the needs of the listed runs, in the answer to the first report of a
	// session: a restarted agent does not have them.
	Needs []WorkRun `json:"needs,omitempty"`
	// Unconfirmed starts of earlier processes of the agent, in the same answer.
	UnconfirmedStarts []WorkUnconfirmedStart `json:"doubts,omitempty"`
	Entries           []PeerAddress          `json:"entries,omitempty"` // some that the agent may query for the owner when this one is lost
}

// WorkOrderKind is the action of an order.
type WorkOrderKind string

// Kinds of orders.
const (
	WorkStart WorkOrderKind = "start"
	WorkStop  WorkOrderKind = "stop"
	WorkPace  WorkOrderKind = "pace"
)

// WorkOrders contains orders of one session, sorted by number.
type WorkOrders struct {
	Epoch       int64       `json:"epoch"`
	Session     int64       `json:"session"`
	EndsStored  int64       `json:"ends-stored"`
	Incarnation string      `json:"life"` // incarnation of the worker that they are intended for
	Orders      []WorkOrder `json:"orders,omitempty"`
}

// WorkOrder is an order about one run.
type WorkOrder struct {
	Seq     int64         `json:"seq"`
	Kind    WorkOrderKind `json:"kind"`
	Task    string        `json:"task"`
	Run     int64         `json:"run"`
	Payload string        `json:"payload,omitempty"`
	// KeptPayload is set if the payload is that of an earlier start of the job in the session; see
	// wire/abridger.
	KeptPayload bool                `json:"kept-payload,omitempty"`
	Checkpoint  string              `json:"checkpoint,omitempty"`
	Ticket      string              `json:"ticket,omitempty"`
	Needs       specifier.Resources `json:"needs"` // capacity of the VM that the run uses
	Percent     int                 `json:"percent,omitempty"`
}

// WorkHint notifies the owner of a record that an entry has just stored, so that the
// owner need not wait for its watch.
type WorkHint struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	// Admission is what the entry knows of admission; nil: it does not take part.
	Admission *AdmissionState `json:"admission,omitempty"`
}

// WorkHintReply answers a WorkHint.
type WorkHintReply struct {
	Admission *AdmissionUpdate `json:"admission,omitempty"`
}

// AdmissionState states which admission table an entry has; zero: none.
type AdmissionState struct {
	Epoch   int64 `json:"epoch"`
	Version int64 `json:"version"`
}

// AdmissionUpdate is the owner's newest admission table.
type AdmissionUpdate struct {
	Epoch     int64 `json:"epoch"`
	Version   int64 `json:"version"`
	AgeMillis int64 `json:"age-ms"` // of the table when this was sent
	// Table is an admitter.Table, empty if the entry has it. It is decoded apart, so that a table of
	// another build costs nothing but the table.
	Table json.RawMessage `json:"table,omitempty"`
}

// WorkHello announces an entry to the owner.
type WorkHello struct {
	PeerAddress

	// Admission is set if the entry takes part in admission.
	Admission *AdmissionState `json:"admission,omitempty"`
}

// WorkStoreRequest asks the owner to create a record under its work prefix for an
// entry that can't reach the store.
type WorkStoreRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// WorkStoreOutcome is the outcome of a WorkStoreRequest.
type WorkStoreOutcome string

// Outcomes of a WorkStoreRequest.
const (
	WorkStored         WorkStoreOutcome = "stored"    // by this request or an earlier one
	WorkRefused        WorkStoreOutcome = "refused"   // definitely not stored
	WorkOutcomeUnknown WorkStoreOutcome = "unsettled" // outcome unknown
)

// WorkStoreReply answers a WorkStoreRequest.
type WorkStoreReply struct {
	Outcome WorkStoreOutcome `json:"outcome"`
	Reason  string           `json:"reason,omitempty"`
}

// WorkStateRequest asks for the state of a job.
type WorkStateRequest struct {
	Job string `json:"job"`
}

// WorkStateReply contains the state of a job. Known is false if the owner has no such
// job, which does not prove that it was never accepted.
type WorkStateReply struct {
	Known  bool   `json:"known"`
	State  string `json:"state,omitempty"`  // a tracker.JobState
	Reason string `json:"reason,omitempty"` // why the job failed
	// InDoubt is set if the job is not known and a write may still store it.
	InDoubt bool `json:"in-doubt,omitempty"`
	// CancelsFull is set if the job is not known and the owner keeps as many cancellations of unknown jobs
	// as it may.
	CancelsFull bool `json:"cancels-full,omitempty"`
}

// WorkPendingRequest asks how many jobs of a queue have not started.
type WorkPendingRequest struct {
	Queue string `json:"queue"`
}

// WorkPendingReply answers a WorkPendingRequest.
type WorkPendingReply struct {
	Pending int `json:"pending"`
}

// WorkExplainReply contains the owner's full state of a job.
type WorkExplainReply struct {
	Known        bool             `json:"known"`
	Job          string           `json:"job"`
	Queue        string           `json:"queue"`
	State        string           `json:"state"`
	Reason       string           `json:"reason,omitempty"`    // why it failed
	Epoch        int64            `json:"epoch"`               // epoch of the owner
	Unreconciled bool             `json:"unsettled,omitempty"` // the owner waits for VMs that an earlier owner may have used
	Occurrences  int              `json:"occurrences"`
	Finished     int              `json:"finished-occurrences"`
	Steps        []WorkStepStatus `json:"steps,omitempty"` // of the open occurrences
	// StartByMillis is the bound on the first start, in Unix ms; 0: none was given.
	StartByMillis int64 `json:"start-by-ms,omitempty"`
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
	Suspected  []string        `json:"suspected,omitempty"` // tasks that are suspected of having crashed workers
	Reason     string          `json:"reason,omitempty"`    // why its tasks wait
	Runs       []WorkRunStatus `json:"runs,omitempty"`
}

// WorkRunStatus is the state of a run that has not ended.
type WorkRunStatus struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	VM    string `json:"vm"`
	State string `json:"state"`
}

// WorkPolicyRequest asks the owner for the operators' records, for an entry that can't reach the
// store.
type WorkPolicyRequest struct {
	After int64 `json:"after"` // revision of the store up to which the entry has them; 0: it has none
}

// WorkPolicyReply answers a WorkPolicyRequest.
type WorkPolicyReply struct {
	Revision  int64          `json:"revision"`          // of the store, up to which the owner has the records
	AgeMillis int64          `json:"age-ms"`            // since they were certainly the newest
	Changed   bool           `json:"changed"`           // one may have changed since the revision of the request
	Records   []PolicyRecord `json:"records,omitempty"` // all, if one may have changed
}

// PolicyRecord is a record of the operators.
type PolicyRecord struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// WorkOwner contains the owner of the cell as known to an entry.
type WorkOwner struct {
	Owner CellOwner `json:"owner"` // zero value if unknown
	// Entries are some that the caller may ask for the owner when it can reach neither this one nor
	// the store; in the answer to a WorkHello.
	Entries []PeerAddress `json:"entries,omitempty"`
	// Admission is set in the answer to a WorkHello if the owner gives tables.
	Admission *AdmissionUpdate `json:"admission,omitempty"`
}
