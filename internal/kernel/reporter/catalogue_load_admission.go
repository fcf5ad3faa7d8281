package reporter

import "github.com/apex/log"

// Events of admission of jobs, numbered from 1010.
const (
	JobNotAdmitted Code = 1010 + iota
	JobAdmittedOnReturn
	JobStartOverdue
	BacklogChanged
	AdmissionTableUnusable
	RefusalsRemoved
	RefusalUnreadable
)

var admissionDefinitions = []Definition{
	{JobNotAdmitted, log.InfoLevel, "job not admitted", "The job could not be of value to its caller under the present backlog. It never runs; the caller was told so and when to return. The fields are the inputs of the decision: wait is the expected wait for the first start, bound the longest one that leaves a value, table and table-age the owner's table. A bounded number is logged per second; skipped counts the others since the last line."},
	{JobAdmittedOnReturn, log.InfoLevel, "job admitted on return", "A job that was refused before has come again and is stored. Its objective counts from when it first came."},
	{JobStartOverdue, log.WarnLevel, "first start overdue", "No task of a job that was admitted under a backlog has started by the bound that was given at its admission."},
	{BacklogChanged, log.InfoLevel, "backlog changed", "A backlog of a second or more has begun or ended for the queues of a service and priority. The fields are the waiting work in core-seconds, the measured drain in core-seconds a second, and the wait that follows."},
	{AdmissionTableUnusable, log.WarnLevel, "admission table unusable", "The owner's admission table cannot be used by this entry: another build wrote it, or it is damaged. Jobs are admitted without it."},
	{RefusalsRemoved, log.InfoLevel, "refusals removed", "The owner has removed the records of refused jobs whose callers no longer return."},
	{RefusalUnreadable, log.ErrorLevel, "refusal unreadable", "The record of a refused job can't be read; another build wrote it, or it is damaged. The job counts as one that comes for the first time."},
}
