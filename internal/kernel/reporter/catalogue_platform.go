package reporter

import "github.com/apex/log"

// Events of the area "platform", numbered from 200.
const (
	RegistrationFailed Code = 200 + iota
	Listening
	LeaveNotTold
	HandOverNotDone
)

var platformDefinitions = []Definition{
	{RegistrationFailed, log.WarnLevel, "registration failed", "The entry could not write or renew its address in the store; others still find it through the entries that they know."},
	{Listening, log.InfoLevel, "listening", "A listener of the process is open at the address given."},
	{LeaveNotTold, log.WarnLevel, "leave not told", "A stopping agent could not tell the cell's owner; the owner sees it when the session goes silent."},
	{HandOverNotDone, log.WarnLevel, "hand-over not done", "A stopping owner of a cell could not give it up in order, as when the store is away; another entry takes it when the lease has run out."},
}
