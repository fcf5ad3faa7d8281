package reporter

import "github.com/apex/log"

// Events of the area "request", numbered from 400.
const (
	AgentAnnounced Code = 400 + iota
	AgentLost
	AnswerBroken
	ClaimUnsettled
	ReceiverDraining
)

var requestDefinitions = []Definition{
	{AgentAnnounced, log.InfoLevel, "agent announced", "An agent opened a session with this entry; its upstreams can be sent requests."},
	{AgentLost, log.WarnLevel, "agent lost", "The session of an agent ended; its upstreams are sent nothing more by this entry."},
	{AnswerBroken, log.WarnLevel, "answer broken", "An answer did not belong to its request or was not whole; the caller was told that the outcome is unknown."},
	{ClaimUnsettled, log.WarnLevel, "claim unsettled", "The end of a keyed request could not be recorded; repeats of its key are refused with an unknown outcome."},
	{ReceiverDraining, log.InfoLevel, "receiver draining", "The entry refuses new requests and finishes those in flight."},
}
