package reporter

import "github.com/apex/log"

// Events of the area "agent" about requests, numbered from 600; those about tasks
// are in catalogue_runner.go.
const (
	UpstreamAnnounced Code = 600 + iota
	UpstreamLeaving
	UpstreamRemoved
	SessionOpened
	SessionLost
	DrainBegan
	DrainEnded
)

var agentRequestDefinitions = []Definition{
	{UpstreamAnnounced, log.InfoLevel, "upstream announced", "An upstream on the agent's VM announced itself and can take requests."},
	{UpstreamLeaving, log.InfoLevel, "upstream leaving", "An upstream on the agent's VM is leaving: it finishes running requests and takes no new ones."},
	{UpstreamRemoved, log.InfoLevel, "upstream removed", "An upstream on the agent's VM has not renewed its announcement and was removed."},
	{SessionOpened, log.InfoLevel, "session opened", "The agent is connected to an entry and announced its upstreams there."},
	{SessionLost, log.WarnLevel, "session lost", "The connection to an entry ended or could not be opened; the agent tries again."},
	{DrainBegan, log.InfoLevel, "drain started", "The agent is leaving: it notifies all entries, refuses new requests and finishes running ones."},
	{DrainEnded, log.InfoLevel, "drain ended", "No entry is waiting for a response from the agent any more."},
}
