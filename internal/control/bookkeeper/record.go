package bookkeeper

import (
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// Record is one journalled fact. Exactly one of the pointers is set. Decision,
// if set, is numbered and kept for explanations when the record is applied.
type Record struct {
	At       time.Time           `json:"at"`
	Decision *messenger.Decision `json:"decision,omitempty"`

	TookOver    *TookOver      `json:"took-over,omitempty"`
	Settled     *LeasesSettled `json:"leases-settled,omitempty"`
	VMSeen      *VMSeen        `json:"vm-seen,omitempty"`
	VMGone      *VMGone        `json:"vm-gone,omitempty"`
	Quarantine  *Quarantine    `json:"quarantine,omitempty"`
	Submitted   *Submitted     `json:"submitted,omitempty"`
	Held        *Held          `json:"held,omitempty"`
	Queued      *Queued        `json:"queued,omitempty"`
	Cancelled   *Cancelled     `json:"cancelled,omitempty"`
	Started     *Started       `json:"started,omitempty"`
	Confirmed   *Confirmed     `json:"confirmed,omitempty"`
	Stopping    *Stopping      `json:"stopping,omitempty"`
	Ended       *Ended         `json:"ended,omitempty"`
	Throttled   *Throttled     `json:"throttled,omitempty"`
	DoneBefore  *DoneBefore    `json:"done-before,omitempty"`
	Claimed     *Claimed       `json:"claimed,omitempty"`
	ClaimClosed *ClaimClosed   `json:"claim-closed,omitempty"`
	ClaimsOld   *ClaimsOld     `json:"claims-old,omitempty"`
}

// TookOver opens an epoch and tells how long the leases are that its owner may
// grant. It is journalled before the first grant, since nothing can be
// journalled in the store outage for which the longer lease is meant.
type TookOver struct {
	Epoch       int64         `json:"epoch"`
	EntryID     string        `json:"entry-id"`
	VMLease     time.Duration `json:"vm-lease"`
	OutageLease time.Duration `json:"outage-lease"`
}

// LeasesSettled tells that no grant of an earlier epoch is in force any more.
type LeasesSettled struct{}

// VMSeen describes a VM as its agent does.
type VMSeen struct {
	Capacity    messenger.Capacity `json:"capacity"`
	AgentID     string             `json:"agent-id"`
	Incarnation int64              `json:"incarnation"`
	Services    []ServiceHold      `json:"services,omitempty"`
	Leaving     bool               `json:"leaving,omitempty"`
}

// ServiceHold is what the upstreams of one service hold on a VM.
type ServiceHold struct {
	Service string              `json:"service"`
	Count   int64               `json:"count"`
	Needs   describer.Resources `json:"needs"` // of one upstream
}

// VMGone removes a VM that holds nothing.
type VMGone struct {
	VM string `json:"vm"`
}

// Quarantine keeps new tasks from a VM until a time, or ends that.
type Quarantine struct {
	VM     string    `json:"vm"`
	Reason string    `json:"reason,omitempty"` // empty: ended, one task may probe the VM
	Until  time.Time `json:"until,omitzero"`
}

// Submitted accepts a task; its needs and run time are filled in.
type Submitted struct {
	Spec   messenger.TaskSpec `json:"spec"`
	Digest string             `json:"digest"` // of the spec as submitted
}

// Held keeps a queued task from starting.
type Held struct {
	Task       string `json:"task"`
	Reason     string `json:"reason"`
	Impossible bool   `json:"impossible,omitempty"` // by its needs; tried again when fleet or VMs change
}

// Queued returns a held task to the queue.
type Queued struct {
	Task       string `json:"task"`
	Checkpoint string `json:"checkpoint,omitempty"` // empty: the earlier one stays
}

// Cancelled ends a task that holds nothing.
type Cancelled struct {
	Task string `json:"task"`
}

// Started gives a queued task to a VM.
type Started struct {
	Task    string `json:"task"`
	VM      string `json:"vm"`
	Attempt int64  `json:"attempt"`
	// Incarnation is that of the VM's agent when the start was decided.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// Confirmed tells that the agent reported the attempt running.
type Confirmed struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
}

// StopKind tells why an attempt is being stopped.
type StopKind string

// Kinds of stops.
const (
	StopMove   StopKind = "move"   // checkpoint, then run elsewhere
	StopCancel StopKind = "cancel" // end for good
	StopAbort  StopKind = "abort"  // start withdrawn, run elsewhere
	StopDone   StopKind = "done"   // an earlier attempt has completed the task
)

// Stopping orders the end of an attempt.
type Stopping struct {
	Task    string   `json:"task"`
	Attempt int64    `json:"attempt"`
	Kind    StopKind `json:"kind"`
}

// Ended frees what an attempt held.
type Ended struct {
	Task       string              `json:"task"`
	Attempt    int64               `json:"attempt"`
	Next       messenger.TaskState `json:"next"` // completed, cancelled, held or queued
	Reason     string              `json:"reason,omitempty"`
	Checkpoint string              `json:"checkpoint,omitempty"` // empty: the earlier one stays
	Failed     bool                `json:"failed,omitempty"`     // counts against the task and the VM
	Evicted    bool                `json:"evicted,omitempty"`
	Unheard    bool                `json:"unheard,omitempty"` // held since it may have completed without a report
	NotBefore  time.Time           `json:"not-before,omitzero"`
}

// Throttled sets the processor share of a running task.
type Throttled struct {
	Task    string `json:"task"`
	Percent int    `json:"percent"`
}

// DoneBefore tells that an attempt given up as lost had completed the task.
type DoneBefore struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
}

// Claimed gives the right to run a keyed request to one request.
type Claimed struct {
	Tenant    string `json:"tenant"`
	Key       string `json:"key"`
	Service   string `json:"service"`
	Digest    string `json:"digest"`
	RequestID string `json:"request-id"`
}

// ClaimClosed tells how a claimed request ended.
type ClaimClosed struct {
	Tenant    string                `json:"tenant"`
	Key       string                `json:"key"`
	RequestID string                `json:"request-id"`
	Outcome   messenger.Outcome     `json:"outcome"`
	Answer    *messenger.KeptAnswer `json:"answer,omitempty"`
}

// ClaimsOld forgets claims made before a time.
type ClaimsOld struct {
	Before time.Time `json:"before"`
}
