package reporter

import "github.com/apex/log"

// Events of jobs at entries and owners, numbered from 900.
const (
	JobAccepted Code = 900 + iota
	JobRefused
	JobUnsettled
	JobCancelAccepted
	JobAnswerFailed
	JobLoaded
	JobEnded
	JobStartDecided
	JobStopDecided
	JobPaceDecided
	JobRunEnded
	JobRunLost
	JobRunAdopted
	VMAttached
	VMDetached
	CellTaken
	CellLost
	CellSettled
	JobRecordsUnreadable
	ProgressNotStored
	ProgressStored
	PolicyTaken
	PolicyUnreadable
	StoreLost
	StoreRegained
	OwnerUnreachable
	OwnerReached
	MessageMalformed
	VMJudged
	AdviceTaken
	JobMoveDecided
	JobStepWaits
	JobCancelSeen
	OrdersNotTaken
	JobStopOverdue
	StartsHeld
)

// Events of jobs at agents, numbered from 950.
const (
	WorkerAnnounced Code = 950 + iota
	WorkerReborn
	WorkerSilent
	WorkerRegained
	RunFound
	RunStarted
	RunEnded
	RunStopped
	StartRejected
	StartUnanswered
	StopUnanswered
	PaceFailed
	OrdersVoid
	OrderMalformed
	OwnerFollowed
	OwnerLost
	AnnouncementMalformed
	StopWithoutEffect
)

var jobDefinitions = []Definition{
	{JobAccepted, log.InfoLevel, "job accepted", "The job is stored; the caller was told so."},
	{JobRefused, log.InfoLevel, "job refused", "The caller was told that the job was not accepted, with the reason; it never runs."},
	{JobUnsettled, log.WarnLevel, "job unsettled", "The store's answer was lost: the caller was told that the outcome is unknown and asks again with the same id."},
	{JobCancelAccepted, log.InfoLevel, "cancellation accepted", "The cancellation is stored; what runs of the job is being stopped."},
	{JobAnswerFailed, log.WarnLevel, "question about a job failed", "Neither the owner nor the store could tell; the caller was told to come back."},
	{JobLoaded, log.InfoLevel, "job taken in", "The owner of the cell knows the job and will start its tasks."},
	{JobEnded, log.InfoLevel, "job ended", "All tasks are done, or the job failed or was cancelled."},
	{JobStartDecided, log.InfoLevel, "start decided", "A task was given to a VM; the fields tell what decided."},
	{JobStopDecided, log.InfoLevel, "stop decided", "A run is being stopped; the cause tells why."},
	{JobPaceDecided, log.InfoLevel, "pace decided", "Tasks that fill are slowed down or let go, for the sake of lasting tasks beside them."},
	{JobRunEnded, log.InfoLevel, "end of run noted", "The owner applied the end of a run; it is acknowledged once it is stored."},
	{JobRunLost, log.WarnLevel, "run lost", "A run is gone without a word: its worker began another life, its lease ran out, or its start was refused. The task waits again."},
	{JobRunAdopted, log.InfoLevel, "run adopted", "A worker has a run that this owner did not order, as after a change of owner."},
	{VMAttached, log.InfoLevel, "VM attached", "The agent of a VM has a session with this owner and told what runs."},
	{VMDetached, log.WarnLevel, "VM detached", "The agent of a VM is no longer heard; its runs count as running until their leases have run out."},
	{CellTaken, log.InfoLevel, "ownership taken", "This entry owns the cell from now on, with the epoch given."},
	{CellLost, log.WarnLevel, "ownership lost", "This entry no longer owns the cell; another one takes over."},
	{CellSettled, log.InfoLevel, "inherited jobs settled", "Every VM has reported, or its leases have run out: tasks of jobs from before the change of owner may start."},
	{JobRecordsUnreadable, log.ErrorLevel, "record unreadable", "A record in the store cannot be read and is left alone; somebody else wrote it, or it is damaged."},
	{ProgressNotStored, log.WarnLevel, "progress not stored", "Ends of runs could not be stored; they are not acknowledged and are written again."},
	{ProgressStored, log.DebugLevel, "progress stored", "Ends of runs are stored and may be forgotten by the workers."},
	{PolicyTaken, log.InfoLevel, "policy taken", "A newer version of queues and services, or a change of the availability zones that are out, is in force here."},
	{PolicyUnreadable, log.ErrorLevel, "policy unreadable", "What the operators wrote cannot be read; the version before stays in force. Zones go out and back all the same."},
	{StoreLost, log.WarnLevel, "store lost", "The store does not answer this process. Jobs go on; new ones are refused."},
	{StoreRegained, log.InfoLevel, "store regained", "The store answers again."},
	{OwnerUnreachable, log.WarnLevel, "owner unreachable", "This entry cannot reach the owner of the cell; it answers from the store what it can."},
	{OwnerReached, log.InfoLevel, "owner reached", "This entry reaches the owner of the cell again."},
	{MessageMalformed, log.ErrorLevel, "message malformed", "A message of another process cannot be read; it was ignored."},
	{VMJudged, log.WarnLevel, "VM quarantined", "Different tasks failed on the VM with none done in between, or most stood still; for some seconds nothing starts there, then one task at a time."},
	{AdviceTaken, log.InfoLevel, "advice taken", "The advising service told on which VMs a step may run."},
	{JobStepWaits, log.InfoLevel, "step waits", "Tasks of a step have waited for a second or more; the cause counts the VMs by what keeps them from taking one. The longest waits are told, a bounded number a second."},
	{JobCancelSeen, log.InfoLevel, "cancellation taken in", "The owner of the cell knows that the job is cancelled; by tells how it heard of it (hint, watch, list or takeover)."},
	{OrdersNotTaken, log.WarnLevel, "orders not taken", "An agent refused orders or did not answer them; its session ends, and in the next one they are decided anew."},
	{JobStopOverdue, log.WarnLevel, "stop overdue", "A run was ordered to stop long ago and its agent still lists it."},
	{JobMoveDecided, log.InfoLevel, "move decided", "A lasting task is stopped to start anew on another VM, so that filling tasks that it keeps from its VM may run there."},
	{StartsHeld, log.WarnLevel, "starts held", "The policy was read too long ago to start tasks by it: a zone may have been taken out since. With held=false they go on."},

	{WorkerAnnounced, log.InfoLevel, "worker announced itself", "The worker of this VM told its state."},
	{WorkerReborn, log.WarnLevel, "worker reborn", "The worker began another life and has forgotten everything; its runs are lost."},
	{WorkerSilent, log.WarnLevel, "worker silent", "The worker of this VM does not answer; nothing starts here."},
	{WorkerRegained, log.InfoLevel, "worker regained", "The worker answers again."},
	{RunFound, log.WarnLevel, "run found", "The worker has a run that this process did not start; the owner decides about it."},
	{RunStarted, log.InfoLevel, "run started", "The worker has confirmed the run."},
	{RunEnded, log.InfoLevel, "run ended", "The worker listed the end of the run."},
	{RunStopped, log.InfoLevel, "run is being stopped", "A stop was ordered, or a start was not answered and is being prevented."},
	{StartRejected, log.WarnLevel, "start rejected", "The run will not start here; the reason tells why."},
	{StartUnanswered, log.WarnLevel, "start not answered", "The worker did not answer a start. Its task waits until a look shows the run or that the start can not come any more."},
	{StopUnanswered, log.WarnLevel, "stop not answered", "The worker did not answer a stop; it is repeated."},
	{PaceFailed, log.WarnLevel, "pace not set", "The worker did not take a new speed of a run; the owner orders it again."},
	{OrdersVoid, log.WarnLevel, "orders void", "Orders of a session that is over, of an earlier owner or for another life of the worker were not carried out; the fields that differ from those here tell which."},
	{OrderMalformed, log.ErrorLevel, "order malformed", "An order cannot be read; it was not carried out."},
	{OwnerFollowed, log.InfoLevel, "owner followed", "This agent takes the orders of an owner with a higher epoch."},
	{OwnerLost, log.WarnLevel, "owner lost", "The owner of the cell does not answer; what runs goes on until the grant ends."},
	{StopWithoutEffect, log.WarnLevel, "stop without effect", "The worker answered a stop and still runs what it should have stopped; it is asked again."},
	{AnnouncementMalformed, log.WarnLevel, "announcement malformed", "Something announced itself to this agent that is no worker; it was ignored."},
}
