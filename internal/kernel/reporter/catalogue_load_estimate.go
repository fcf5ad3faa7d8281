package reporter

import "github.com/apex/log"

// Events of run times, numbered from 1000.
const (
	RunTimesPredicted Code = 1000 + iota
	CopyOrdered
	LargeJobsPreferred
)

// Events of the speeds of VMs, numbered from 1005.
const (
	VMSpeedChanged Code = 1005 + iota
	SlowRunStopDecided
	SlowMoveDecided
)

var estimateDefinitions = []Definition{
	{RunTimesPredicted, log.InfoLevel, "run times predicted", "How well this owner has predicted run times of a queue so far: of the completed runs, the shares that did not exceed the predicted quantiles of 50, 90 and 99 %. The field pace is the mean ratio of run time to work, as best-effort tasks get a part of their processors."},
	{CopyOrdered, log.InfoLevel, "copy ordered", "A second run of a task was ordered because the expected rest of the run on the VM named exceeds the expected time of a new run. The fields are what decided it; support is the number of steps that the distribution was learned from, 0 if declared durations decided."},
	{LargeJobsPreferred, log.InfoLevel, "large jobs preferred", "Jobs of more than the mean size of the queue go first, or no longer do: the shares of them and of the others that ended in time show why."},
	{VMSpeedChanged, log.WarnLevel, "VM speed changed", "A VM has become slow, or with slow=false is sound again. The factor is its speed against other VMs, error the standard deviation of its logarithm, known-after the age of the earliest evidence, and evidence what showed it."},
	{SlowRunStopDecided, log.InfoLevel, "departure decided", "A run on a slow VM is stopped, since its task ends sooner on another one: left-there and left-elsewhere are the expected times. The field to names a VM that would take it now."},
	{SlowMoveDecided, log.InfoLevel, "move from slow VM decided", "A long-running task is over its target on a slow VM and moves to another one, where capacity is held for it."},
}
