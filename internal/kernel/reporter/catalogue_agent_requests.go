package reporter

import "github.com/apex/log"

// Events of the area "agent" about requests, numbered from 600; those about tasks
// are in catalogue_agent.go.
const (
	UpstreamAnnounced Code = 600 + iota
	UpstreamLeaving
	UpstreamGone
	SessionOpened
	SessionLost
	DrainBegan
	DrainEnded
)

var agentRequestDefinitions = []Definition{
	{UpstreamAnnounced, log.InfoLevel, "upstream announced", "An upstream beside the agent announced itself and can take requests."},
	{UpstreamLeaving, log.InfoLevel, "upstream leaving", "An upstream beside the agent leaves: it finishes what runs and takes nothing new."},
	{UpstreamGone, log.InfoLevel, "upstream gone", "An upstream beside the agent has not renewed its announcement and was forgotten."},
	{SessionOpened, log.InfoLevel, "session opened", "The agent is connected with an entry and announced its upstreams there."},
	{SessionLost, log.WarnLevel, "session lost", "The connection with an entry ended or could not be opened; the agent tries again."},
	{DrainBegan, log.InfoLevel, "drain began", "The agent leaves: it tells all entries, refuses new requests and finishes what runs."},
	{DrainEnded, log.InfoLevel, "drain ended", "No entry waits for an answer of the agent any more."},
}
