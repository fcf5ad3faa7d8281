package reporter

import "github.com/apex/log"

// Events of the area "control", numbered from 500. Those about tasks and VMs
// are also used as the codes of the cell's decisions.
const (
	TaskSubmitted Code = 500 + iota
	TaskHeld
	TaskRequeued
	TaskCancelled
	StartDecided
	StartWithdrawn
	StartConfirmed
	StartRefused
	MoveDecided
	StopDecided
	ThrottleDecided
	TaskCompleted
	AttemptFailed
	AttemptMoved
	AttemptLost
	UnassignedAttemptStopped
	VMJoined
	VMChanged
	VMLost
	VMRemoved
	VMQuarantined
	VMReleased
	EpochOpened
	OwnershipLost
	OutageLeaseGranted
	OutageLeaseEnded
	EarlierLeasesEnded
	SnapshotTaken
	SnapshotFailed
	RecoveryFailed
	RecordRefused
)

var controlDefinitions = []Definition{
	{TaskSubmitted, log.DebugLevel, "task submitted", "A task is journalled and waits for a VM."},
	{TaskHeld, log.WarnLevel, "task held", "A task can't run; the reason says what to change. It blocks no other task."},
	{TaskRequeued, log.InfoLevel, "task queued again", "The condition that kept a held task from running has changed."},
	{TaskCancelled, log.DebugLevel, "task cancelled", "A task was cancelled and no attempt of it is running."},
	{StartDecided, log.DebugLevel, "start decided", "A task was assigned to a VM; its resources are committed from now on."},
	{StartWithdrawn, log.InfoLevel, "start withdrawn", "A start was withdrawn before it was confirmed, usually because its availability zone was taken out."},
	{StartConfirmed, log.DebugLevel, "start confirmed", "The agent reports the task as running."},
	{StartRefused, log.InfoLevel, "start refused by agent", "The agent refused a start, so the attempt did not run; the task is queued again."},
	{MoveDecided, log.InfoLevel, "move decided", "A running task is checkpointed to resume on another VM."},
	{StopDecided, log.DebugLevel, "stop decided", "A running task is stopped because of a cancellation."},
	{ThrottleDecided, log.InfoLevel, "throttle decided", "A running task gets a smaller share of the processors, or its full share back."},
	{TaskCompleted, log.DebugLevel, "task completed", "A task has completed."},
	{AttemptFailed, log.InfoLevel, "attempt failed", "A task ended with an error; it is retried on another VM until its attempts are used up."},
	{AttemptMoved, log.InfoLevel, "attempt moved", "A task was checkpointed and waits to resume."},
	{AttemptLost, log.WarnLevel, "attempt lost", "An attempt ended without a result because its VM or lease was lost; the task is queued again."},
	{UnassignedAttemptStopped, log.WarnLevel, "unassigned attempt stopped", "An agent reported an attempt that is not the current one; it was ordered to stop."},
	{VMJoined, log.InfoLevel, "VM joined", "An agent opened the first session of a VM with the cell."},
	{VMChanged, log.InfoLevel, "VM changed", "The size, location, agent or upstreams of a VM changed."},
	{VMLost, log.WarnLevel, "VM lost", "The lease of a VM has definitely expired; its tasks are queued again."},
	{VMRemoved, log.InfoLevel, "VM removed", "A VM that has been disconnected for a long time and has no tasks was removed."},
	{VMQuarantined, log.WarnLevel, "VM quarantined", "Several different tasks in a row failed on a VM, or its worker was unavailable for several starts; it gets no tasks until the given time."},
	{VMReleased, log.InfoLevel, "VM released from quarantine", "The VM is probed with one task at a time."},
	{EpochOpened, log.InfoLevel, "cell taken over", "This process owns the cell from now on."},
	{OwnershipLost, log.WarnLevel, "ownership lost", "Another process owns the cell or soon will."},
	{OutageLeaseGranted, log.WarnLevel, "outage lease granted", "The store can't be reached; tasks keep running under the longer lease."},
	{OutageLeaseEnded, log.InfoLevel, "outage ended", "The store can be reached again; VMs get the short lease."},
	{EarlierLeasesEnded, log.InfoLevel, "earlier leases ended", "No lease of an earlier owner is in force any more."},
	{SnapshotTaken, log.DebugLevel, "snapshot taken", "The journal was truncated after a snapshot."},
	{SnapshotFailed, log.WarnLevel, "snapshot failed", "The journal grows until a later snapshot succeeds; recovery takes longer."},
	{RecoveryFailed, log.ErrorLevel, "recovery failed", "This process could not read the cell's journal and tries again."},
	{RecordRefused, log.ErrorLevel, "record refused", "A decision was inconsistent with the state and was dropped; this is a bug."},
}
