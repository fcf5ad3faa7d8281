package reporter

import "github.com/apex/log"

// Events of jobs at entries and owners, numbered from 900.
const (
	JobAccepted Code = 900 + iota
	JobRefused
	JobOutcomeUnknown
	JobCancelAccepted
	JobQueryFailed
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
	CellOwnershipTaken
	CellOwnershipLost
	CellReconciled
	JobRecordsUnreadable
	ProgressNotStored
	ProgressStored
	PolicyApplied
	PolicyUnreadable
	StoreUnreachable
	StoreReachable
	OwnerUnreachable
	OwnerReachable
	MessageMalformed
	JobVMQuarantined
	AdviceReceived
	JobMoveDecided
	JobStepWaits
	JobCancelReceived
	OrdersNotAccepted
	JobStopOverdue
	StartsHeld
	JobTaskSuspected
	JobTaskCleared
	PolicyConfirmed
	OwnerBehind
	StoreCallsRelayed
	JobVMReleased
	GangRoomMade
	MembersAwaited
	PolicyWatchOverdue
	JobRunEndUnassigned
	JobRecordLarge
	JobRecordRefused
	JobRunsOverlap
	RunNumbersTaken
)

// Events of jobs at agents, numbered from 950.
const (
	WorkerAnnounced Code = 950 + iota
	WorkerRestarted
	WorkerNotResponding
	WorkerResponding
	RunFound
	RunStarted
	RunEnded
	RunStopped
	StartRejected
	StartUnanswered
	StopUnanswered
	PaceFailed
	OrdersExpired
	OrderMalformed
	OwnerAccepted
	OwnerLost
	AnnouncementMalformed
	StopWithoutEffect
	WorkerCrashed
	CrashesNotStored
	EndsNotListed
	PollUnanswered
	PollAnsweredByOther
	RunNotListed
	EndsMissing
	RunsGivenUp
	AnnouncementLate
)

var jobDefinitions = []Definition{
	{JobAccepted, log.InfoLevel, "job accepted", "The job is stored and the caller was informed."},
	{JobRefused, log.InfoLevel, "job refused", "The job was not accepted and never runs; the caller received the reason."},
	{JobOutcomeUnknown, log.WarnLevel, "job outcome unknown", "The store's answer was lost: the caller received an unknown outcome and asks again with the same id."},
	{JobCancelAccepted, log.InfoLevel, "cancellation accepted", "The cancellation is stored; the runs of the job are being stopped. If it is not known, a submission that has no answer yet can no longer store it."},
	{JobQueryFailed, log.WarnLevel, "job query failed", "Neither the owner nor the store could answer; the caller was asked to retry."},
	{JobLoaded, log.InfoLevel, "job loaded", "The owner of the cell has loaded the job and will start its tasks."},
	{JobEnded, log.InfoLevel, "job ended", "All tasks are done, or the job failed or was cancelled."},
	{JobStartDecided, log.InfoLevel, "start decided", "A task was assigned to a VM; the fields show the inputs of the decision. The field lost says which run of the task was given up last without a report of its end, and what showed that it had ended."},
	{JobStopDecided, log.InfoLevel, "stop decided", "A run is being stopped; the cause says why."},
	{JobPaceDecided, log.InfoLevel, "pace decided", "Best-effort tasks are throttled, or their throttling is lifted, to protect co-located long-running tasks."},
	{JobRunEnded, log.InfoLevel, "run end recorded", "The owner applied the end of a run; it is acknowledged once it is stored."},
	{JobRunLost, log.WarnLevel, "run lost", "A run was lost without a report of its end: its worker restarted, its lease expired, or its start was refused. The task waits again. The field granted-ago says when the VM's last report was answered, which granted leases."},
	{JobRunAdopted, log.InfoLevel, "run adopted", "A worker has a run that this owner did not order, for example after a change of owner. The field lost is not empty if this owner has given up a run of the task."},
	{VMAttached, log.InfoLevel, "VM attached", "The agent of a VM has a session with this owner and reported its runs."},
	{VMDetached, log.WarnLevel, "VM detached", "There is no contact with the agent of a VM; its runs count as running until their leases have expired."},
	{CellOwnershipTaken, log.InfoLevel, "ownership taken", "This entry owns the cell from now on, with the given epoch."},
	{CellOwnershipLost, log.WarnLevel, "ownership lost", "This entry no longer owns the cell; another one takes over."},
	{CellReconciled, log.InfoLevel, "inherited jobs reconciled", "Every VM has reported, or its leases have expired: tasks of jobs that an earlier owner may have started may start."},
	{JobRecordsUnreadable, log.ErrorLevel, "record unreadable", "A record in the store lacks a field or can't be read, and changes nothing; it was written by another program or is damaged. Logged once a minute for each key; bamboospread_job_records_unreadable_total counts them."},
	{ProgressNotStored, log.WarnLevel, "progress not stored", "Ends of runs could not be stored; they are not acknowledged and are written again."},
	{ProgressStored, log.DebugLevel, "progress stored", "Ends of runs are stored and workers may discard them."},
	{PolicyApplied, log.InfoLevel, "policy applied", "A newer version of queues and services, or a change of the availability zones that are out, is in force here."},
	{PolicyUnreadable, log.ErrorLevel, "policy unreadable", "The configuration written by the operators can't be read; the previous version stays in force. Changes of availability zones are still applied."},
	{StoreUnreachable, log.WarnLevel, "store unreachable", "The store does not answer this process. Jobs continue; new ones are refused."},
	{StoreReachable, log.InfoLevel, "store reachable again", "The store answers again."},
	{OwnerUnreachable, log.WarnLevel, "owner unreachable", "This entry can't reach the owner of the cell; it answers from the store what it can."},
	{OwnerReachable, log.InfoLevel, "owner reachable again", "This entry can reach the owner of the cell again."},
	{MessageMalformed, log.ErrorLevel, "message malformed", "A message of another process can't be read and was ignored."},
	{JobVMQuarantined, log.WarnLevel, "VM quarantined", "Tasks of several jobs, or of jobs that succeed elsewhere, failed on the VM with none done in between, or most of its tasks stalled; for some seconds nothing starts there, then one task or gang at a time."},
	{AdviceReceived, log.InfoLevel, "advice received", "The advising service answered on which VMs a step may run. VMs that it refused are asked about again after ask-again-in, others at once."},
	{JobStepWaits, log.InfoLevel, "step waits", "Tasks of a step have waited for a second or more, urgent ones for 0.3 s; the cause counts the VMs by the reason why they can't take one. The longest waits of each queue are logged, a bounded number per second."},
	{JobCancelReceived, log.InfoLevel, "cancellation received", "The owner of the cell received the cancellation of a job; by says how it arrived (hint, watch, list or takeover)."},
	{OrdersNotAccepted, log.WarnLevel, "orders not accepted", "An agent refused orders or did not answer them; its session ends, and the orders are decided again in the next one."},
	{JobStopOverdue, log.WarnLevel, "stop overdue", "A run was ordered to stop long ago and its agent still lists it."},
	{JobMoveDecided, log.InfoLevel, "move decided", "A long-running task is stopped and restarted on another VM, so that best-effort tasks that it keeps off its VM may run there."},
	{JobTaskSuspected, log.WarnLevel, "task suspected", "A worker crashed while a run of the task was there. The field likely counts the likely causes: runs that had started within the second before, or repeat a crash. With sole=true the task was the only one; it is false with one likely cause if workers of several VMs crashed together, or if no connection broke, so that the time of the crash is not known. From its second crash on it starts apart from others, and its job fails after three crashes if it was the sole cause of the last and its runs had the same age at each, otherwise after four or five."},
	{JobTaskCleared, log.InfoLevel, "task cleared", "A run of a suspected task has outlived the time after which a worker crashed; the crashes do not count any more."},
	{StartsHeld, log.WarnLevel, "starts held", "The policy was read too long ago to start tasks by it: an availability zone may have been taken out since. With held=false, starts have resumed."},
	{PolicyConfirmed, log.InfoLevel, "policy confirmed by the owner", "The store does not answer this entry; the owner of the cell, which reaches it, has the same policy or has sent a newer one."},
	{OwnerBehind, log.WarnLevel, "owner falls behind", "A decision of the owner takes so long that it is made less often than planned: the VM of the owner is too small for the fleet. The fields say which decision, how long it takes and its interval. With behind=false it is made as often as planned again."},
	{StoreCallsRelayed, log.WarnLevel, "store calls relayed", "The store refuses this owner's VM and serves other entries: the owner keeps the cell and makes its calls by way of one of them. With relayed=false the store answers it directly again."},
	{JobVMReleased, log.InfoLevel, "VM released from probation", "A run on a VM that was quarantined has shown that its worker is sound, the worker has restarted, or tasks of the same jobs fail on other VMs too: the VM accepts tasks without limit again."},
	{GangRoomMade, log.InfoLevel, "room made for a gang", "Long-running tasks stop so that a gang that has waited too long finds room for all its tasks. Of the stops, so many move to another VM. With held=false only a part of them may stop at once, and the search is repeated after these moves."},
	{MembersAwaited, log.InfoLevel, "members awaited", "VMs that may run tasks of earlier owners have not reported to this owner. Tasks of jobs from before the change of owner, and of those that the former owner may have started since, start once all have, or once the leases of the others have certainly ended; at-most says how long that takes."},
	{PolicyWatchOverdue, log.WarnLevel, "policy watch overdue", "The watch of the operators' records was not answered in time: its answer may be lost, and the policy was about to count as old. All records were read beside it; with listed=true that was answered first. The field age says how old the policy was then, error why the records are not known."},
	{JobRunEndUnassigned, log.ErrorLevel, "run end of an unknown task", "A worker reported the end of a run of a task that this owner doesn't know: the record of its job, or of the job's progress, is missing or can't be read, or the task's ID is invalid. The end is acknowledged, since later ones could not be otherwise, and is not stored."},
	{JobRecordLarge, log.WarnLevel, "progress record large", "The record of a job's progress has more than half of the size that it may have. The fields omitted-* count the tasks whose notes do not fit any more, of each kind; the next owner will not know them: failed runs, crashes that a task is suspected of, since when long-running tasks are unavailable, checkpoints."},
	{JobRecordRefused, log.ErrorLevel, "progress record refused", "The store refuses the record of a job's progress, or another writer replaces it each time. Other jobs are stored. Nothing of the job starts until its record is stored; the ends of its runs are kept in another record. It is written again with fewer notes if it was refused for its content."},
	{JobRunsOverlap, log.ErrorLevel, "task has two runs", "A worker reports a run of a task that has another run, though its step allows no copies: the later one to be known is stopped. The field lost says which run this owner had given up last, and what showed that it had ended; empty, another owner had started the run."},
	{RunNumbersTaken, log.InfoLevel, "run numbers taken", "The owner has started a task more often than an epoch has numbers for its runs, and takes those of the epochs up to the given one: the next owner has a higher epoch. Something refuses or ends the runs of a task again and again."},

	{WorkerAnnounced, log.InfoLevel, "worker announced itself", "The worker of this VM reported its state."},
	{WorkerRestarted, log.WarnLevel, "worker restarted", "The worker restarted as a new incarnation and has lost its state; its runs are lost."},
	{WorkerNotResponding, log.WarnLevel, "worker not responding", "The worker of this VM does not answer; nothing starts here."},
	{WorkerResponding, log.InfoLevel, "worker responding again", "The worker answers again. The field clock-behind says by how much its clock has advanced less than that of its agent since its last answer: a worker that stood still keeps leases for longer by that."},
	{RunFound, log.WarnLevel, "run found", "The worker has a run that this process did not start, or has given up; the owner decides what to do with it. A field unanswered that is not empty says how long ago this agent sent a start of it that got no answer, perhaps to an earlier life of the worker."},
	{RunStarted, log.InfoLevel, "run started", "The worker has confirmed the run."},
	{RunEnded, log.InfoLevel, "run ended", "The worker reported the end of the run."},
	{RunStopped, log.InfoLevel, "run is being stopped", "A stop was ordered, or a start was not answered and is being prevented."},
	{StartRejected, log.WarnLevel, "start rejected", "The run will not start here; the reason says why."},
	{StartUnanswered, log.WarnLevel, "start not answered", "The worker did not answer a start. Its task waits until a status poll shows the run or shows that the start can't be carried out any more."},
	{StopUnanswered, log.WarnLevel, "stop not answered", "The worker did not answer a stop; it is repeated."},
	{PaceFailed, log.WarnLevel, "pace not set", "The worker did not answer a new speed of a run or refused it for now; the agent repeats the order until the worker accepts it or refuses it for good."},
	{OrdersExpired, log.WarnLevel, "orders expired", "Orders of an ended session, of an earlier owner or for another incarnation of the worker were not carried out; the fields that differ from the current values show which."},
	{OrderMalformed, log.ErrorLevel, "order malformed", "An order can't be read and was not carried out."},
	{OwnerAccepted, log.InfoLevel, "new owner accepted", "This agent follows the orders of an owner with a higher epoch from now on."},
	{OwnerLost, log.WarnLevel, "owner lost", "The owner of the cell does not answer; runs continue until the grant ends."},
	{StopWithoutEffect, log.WarnLevel, "stop without effect", "The worker answered a stop but the run is still running; the stop is repeated."},
	{WorkerCrashed, log.WarnLevel, "worker crashed", "The worker's process ended without having announced that it leaves. The field latest names the runs that it had, the latest starts first, with the time since each start; the field proof says what showed the end."},
	{CrashesNotStored, log.WarnLevel, "crashes not stored", "The agent stops although no owner has stored the crashes of its worker that it has seen, or (undecided=true) before it is known whether its worker, which does not answer, has crashed; they do not count against the tasks that ran there."},
	{EndsNotListed, log.WarnLevel, "ends not listed", "The worker lists only some of its ends at a time, and those are not stored yet: runs that it does not list count as running until the others are listed. With more=false it has listed all."},
	{PollUnanswered, log.WarnLevel, "status poll not answered", "The worker may have received the poll, and may carry it out later: the fields say which incarnation it was meant for, up to which number it lets the worker forget ends, and which lease it requests. With cancelled=true the agent itself has given it up for one with a new epoch or grant."},
	{PollAnsweredByOther, log.WarnLevel, "status poll answered by another incarnation", "A poll that was meant for one incarnation of the worker was carried out by another one. The field ends-seen says up to which number it let that one forget ends."},
	{RunNotListed, log.WarnLevel, "run not listed", "The worker lists neither the run nor its end, and will not list it: the owner is told that the run is gone. The reason says why the poll shows that."},
	{EndsMissing, log.WarnLevel, "ends missing", "The worker leaves out numbers in its list of ends: it has forgotten ends that this process has not read."},
	{RunsGivenUp, log.WarnLevel, "runs given up", "The worker does not respond, and its runs count as ended: the owner may start their tasks elsewhere. The field proof says what showed that: their leases have expired, the process has ended, or the worker has left. lease-left is how long leases that were requested could still last."},
	{AnnouncementLate, log.WarnLevel, "announcement late", "An incarnation of the worker announced itself, and another one answered the status poll that followed: the announcement was ignored."},
	{AnnouncementMalformed, log.WarnLevel, "announcement malformed", "An announcement to this agent did not come from a worker and was ignored: the field is missing or can't be right. Logged once a minute for each field; bamboospread_agent_announcements_malformed_total counts them."},
}
