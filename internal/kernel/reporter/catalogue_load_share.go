package reporter

import "github.com/apex/log"

// Events of shares of client accounts, numbered from 1020.
const (
	AccountAboveShare Code = 1020 + iota
	AccountAtQuota
	RunReclaimed
)

var shareDefinitions = []Definition{
	{AccountAboveShare, log.InfoLevel, "account above its share", "For some seconds the runs of a client account have held far more than its share, while other accounts want more than they have. Their tasks start first; use, recent use and what waits are parts of the cell."},
	{AccountAtQuota, log.InfoLevel, "account at its quota", "Tasks of a client account wait because its runs hold as much as its quota allows, or because VMs have not reported since a change of owner."},
	{RunReclaimed, log.InfoLevel, "run reclaimed", "A best-effort run of a client account far above its share is stopped for a waiting task of an account below its share. The field lost is the work that is discarded, rest how long the run would have lasted."},
}
