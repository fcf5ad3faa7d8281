package reporter

import "github.com/apex/log"

// Events of the area "agent" about tasks, numbered from 670.
const (
	RunnerSessionOpened Code = 670 + iota
	RunnerSessionLost
	RunnerOrderRefused
	RunnerWorkerNotResponding
	RunnerReplyRefused
)

var runnerDefinitions = []Definition{
	{RunnerSessionOpened, log.InfoLevel, "session with owner opened", "The owner of the cell renews the lease of this VM."},
	{RunnerSessionLost, log.WarnLevel, "session with owner lost", "No owner answers; tasks keep running until their lease ends."},
	{RunnerOrderRefused, log.InfoLevel, "order refused", "The agent did not start a task; the reason says why. The attempt can't start any more."},
	{RunnerWorkerNotResponding, log.WarnLevel, "worker not responding", "The worker of this VM does not answer its agent."},
	{RunnerReplyRefused, log.WarnLevel, "reply of an earlier owner refused", "A process that no longer owns the cell answered; its reply was ignored."},
}
