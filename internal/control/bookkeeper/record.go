package bookkeeper

import (
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/attributor"
)

// Record is one journalled state change. Exactly one of the pointers after
// Decision is set. Decision, if set, is numbered and kept for explanations when
// the record is applied.
type Record struct {
	At       time.Time           `json:"at"`
	Decision *messenger.Decision `json:"decision,omitempty"`

	Takeover             *Takeover             `json:"took-over,omitempty"`
	EarlierLeasesExpired *EarlierLeasesExpired `json:"leases-settled,omitempty"`
	VMSeen               *VMSeen               `json:"vm-seen,omitempty"`
	VMRemoved            *VMRemoved            `json:"vm-gone,omitempty"`
	Quarantine           *Quarantine           `json:"quarantine,omitempty"`
	Submitted            *Submitted            `json:"submitted,omitempty"`
	Held                 *Held                 `json:"held,omitempty"`
	Queued               *Queued               `json:"queued,omitempty"`
	Cancelled            *Cancelled            `json:"cancelled,omitempty"`
	Started              *Started              `json:"started,omitempty"`
	Confirmed            *Confirmed            `json:"confirmed,omitempty"`
	Stopping             *Stopping             `json:"stopping,omitempty"`
	Ended                *Ended                `json:"ended,omitempty"`
	Throttled            *Throttled            `json:"throttled,omitempty"`
	CompletedEarlier     *CompletedEarlier     `json:"done-before,omitempty"`
	Claimed              *Claimed              `json:"claimed,omitempty"`
	ClaimClosed          *ClaimClosed          `json:"claim-closed,omitempty"`
	OldClaimsRemoved     *OldClaimsRemoved     `json:"claims-old,omitempty"`
}

// Takeover starts an epoch and gives the lengths of the leases that its owner
// may grant. It is journalled before the first grant, since nothing can be
// journalled during the store outage for which the longer lease is meant.
type Takeover struct {
	Epoch       int64         `json:"epoch"`
	EntryID     string        `json:"entry-id"`
	VMLease     time.Duration `json:"vm-lease"`
	OutageLease time.Duration `json:"outage-lease"`
}

// EarlierLeasesExpired records that no lease granted in an earlier epoch is in
// force any more.
type EarlierLeasesExpired struct{}

// VMSeen is the description of a VM as reported by its agent.
type VMSeen struct {
	Capacity    messenger.Capacity `json:"capacity"`
	AgentID     string             `json:"agent-id"`
	Incarnation int64              `json:"incarnation"`
	Services    []ServiceUsage     `json:"services,omitempty"`
	Leaving     bool               `json:"leaving,omitempty"`
}

// ServiceUsage is the number of upstreams of one service on a VM and the
// resources of each.
type ServiceUsage struct {
	Service string              `json:"service"`
	Count   int64               `json:"count"`
	Needs   describer.Resources `json:"needs"` // of one upstream
}

// VMRemoved removes a VM on which no task holds resources.
type VMRemoved struct {
	VM string `json:"vm"`
}

// Quarantine excludes a VM from new tasks until a time, or ends the quarantine.
type Quarantine struct {
	VM     string    `json:"vm"`
	Reason string    `json:"reason,omitempty"` // empty if the quarantine ended; one task may then probe the VM
	Until  time.Time `json:"until,omitzero"`
}

// Submitted accepts a task whose needs and run time are filled in.
type Submitted struct {
	Spec   messenger.TaskSpec `json:"spec"`
	Digest string             `json:"digest"` // of the spec as submitted
}

// Held keeps a queued task from starting.
type Held struct {
	Task       string `json:"task"`
	Reason     string `json:"reason"`
	Impossible bool   `json:"impossible,omitempty"` // held because of its needs; retried when the fleet text or the VMs change
}

// Queued returns a held task to the queue.
type Queued struct {
	Task       string `json:"task"`
	Checkpoint string `json:"checkpoint,omitempty"` // empty: keep the earlier one
}

// Cancelled ends a task that holds no resources.
type Cancelled struct {
	Task string `json:"task"`
}

// Started assigns a queued task to a VM.
type Started struct {
	Task    string `json:"task"`
	VM      string `json:"vm"`
	Attempt int64  `json:"attempt"`
	// Incarnation is the incarnation of the VM's agent when the start was
	// decided.
	Incarnation int64 `json:"incarnation,omitempty"`
	// WorkerLife is the life of the VM's worker that the agent had reported then.
	WorkerLife string `json:"worker-life,omitempty"`
}

// Confirmed records that the agent reported the attempt as running, or that it may have run.
type Confirmed struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
}

// StopKind is the reason why an attempt is being stopped.
type StopKind string

// Values of StopKind.
const (
	StopMove      StopKind = "move"   // checkpoint, then run elsewhere
	StopCancel    StopKind = "cancel" // cancel the task
	StopAbort     StopKind = "abort"  // withdraw the start, then run elsewhere
	StopCompleted StopKind = "done"   // an earlier attempt has completed the task
)

// Stopping records the order to stop an attempt.
type Stopping struct {
	Task    string   `json:"task"`
	Attempt int64    `json:"attempt"`
	Kind    StopKind `json:"kind"`
}

// Ended records the end of an attempt and releases its resources.
type Ended struct {
	Task          string              `json:"task"`
	Attempt       int64               `json:"attempt"`
	Next          messenger.TaskState `json:"next"` // completed, cancelled, held or queued
	Reason        string              `json:"reason,omitempty"`
	Checkpoint    string              `json:"checkpoint,omitempty"`  // empty: keep the earlier one
	Failed        bool                `json:"failed,omitempty"`      // counts as a failure of the task and of the VM
	Unavailable   bool                `json:"unavailable,omitempty"` // the worker was unavailable: counts as a failure of the VM only
	Evicted       bool                `json:"evicted,omitempty"`
	EndUnreported bool                `json:"unheard,omitempty"` // held because it may have completed without a report
	NotBefore     time.Time           `json:"not-before,omitzero"`
	Crashes       []attributor.Crash  `json:"crashes,omitempty"` // if its worker crashed: those that the task is suspected of from now on
}

// Throttled sets the processor share of a running task.
type Throttled struct {
	Task    string `json:"task"`
	Percent int    `json:"percent"`
}

// CompletedEarlier records that an attempt assumed lost had completed the task.
type CompletedEarlier struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
}

// Claimed grants one request the right to run a keyed request.
type Claimed struct {
	Tenant    string `json:"tenant"`
	Key       string `json:"key"`
	Service   string `json:"service"`
	Digest    string `json:"digest"`
	RequestID string `json:"request-id"`
}

// ClaimClosed records how a claimed request ended.
type ClaimClosed struct {
	Tenant    string                  `json:"tenant"`
	Key       string                  `json:"key"`
	RequestID string                  `json:"request-id"`
	Outcome   messenger.Outcome       `json:"outcome"`
	Answer    *messenger.StoredAnswer `json:"answer,omitempty"`
}

// OldClaimsRemoved removes claims made before a time.
type OldClaimsRemoved struct {
	Before time.Time `json:"before"`
}
