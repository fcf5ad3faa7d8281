package reporter

import "github.com/apex/log"

// Events of the area "platform", numbered from 200.
const (
	RegistrationFailed Code = 200 + iota
	Listening
	LeaveNotReported
	HandOverFailed
	ClientLimited
	RegistrationUnreadable
)

var platformDefinitions = []Definition{
	{RegistrationFailed, log.WarnLevel, "registration failed", "The entry could not write or renew its address in the store; others still find it through the entries that they know."},
	{Listening, log.InfoLevel, "listening", "A listener of the process is open at the given address."},
	{LeaveNotReported, log.WarnLevel, "leave not reported", "A stopping agent could not notify the cell's owner; the owner notices when the session times out."},
	{HandOverFailed, log.WarnLevel, "hand-over failed", "A stopping owner could not hand over its cell, for example because the store is unreachable; another entry takes over when the lease has expired."},
	{ClientLimited, log.WarnLevel, "client limited", "A client was refused or its connection closed at a limit of the HTTP servers; reason names the limit, count is how many since the previous line with this reason, at most one line in 10 s, and client is the latest of them."},
	{RegistrationUnreadable, log.WarnLevel, "registration unreadable", "The record of an entry in the store lacks a field, can't be read or is under another key: it names no entry to use. Logged once a minute for each key."},
}
