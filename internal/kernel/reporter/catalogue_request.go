package reporter

import "github.com/apex/log"

// Events of the area "request", numbered from 400.
const (
	AgentAnnounced Code = 400 + iota
	AgentLost
	AnswerInvalid
	ClaimOutcomeNotRecorded
	ReceiverDraining
)

var requestDefinitions = []Definition{
	{AgentAnnounced, log.InfoLevel, "agent announced", "An agent opened a session with this entry; requests can be sent to its upstreams."},
	{AgentLost, log.WarnLevel, "agent lost", "The session of an agent ended; this entry sends no more requests to its upstreams."},
	{AnswerInvalid, log.WarnLevel, "answer invalid", "An answer did not belong to its request or was incomplete; the caller received an unknown outcome."},
	{ClaimOutcomeNotRecorded, log.WarnLevel, "claim outcome not recorded", "The outcome of a keyed request could not be recorded; repeats of its key are refused with an unknown outcome."},
	{ReceiverDraining, log.InfoLevel, "receiver draining", "The entry refuses new requests and finishes those in flight."},
}
