package reporter

import "github.com/apex/log"

// Events of the area "fleet", numbered from 300.
const (
	FleetVersionApplied Code = 300 + iota
	FleetChangeAccepted
	FleetChangeOutcomeUnknown
	FleetUnreadable
	FleetVersionDecreased
	FleetRecordDeleted
	FleetStoreUnreachable
	FleetStoreReachable
)

var fleetDefinitions = []Definition{
	{FleetVersionApplied, log.InfoLevel, "fleet version applied", "This process now uses the given version of the fleet text; source says whether it came from the store or from a peer."},
	{FleetChangeAccepted, log.InfoLevel, "fleet change accepted", "A change sent through this entry is stored; every process applies it within seconds."},
	{FleetChangeOutcomeUnknown, log.WarnLevel, "fleet change outcome unknown", "The store's answer to a change was lost and its outcome could not be resolved in time. Send the change again with the same change id to get its outcome."},
	{FleetUnreadable, log.ErrorLevel, "fleet record unreadable", "The stored record can't be read by this program, for instance because a newer one wrote it. The current version stays in force, but nothing is started under it; upgrade this process."},
	{FleetVersionDecreased, log.ErrorLevel, "fleet record version decreased", "The store shows a lower version than this process has: it has lost data or was restored. The higher version stays in force; apply the text again with a version above it."},
	{FleetRecordDeleted, log.ErrorLevel, "fleet record deleted", "The record was deleted in the store. The current version stays in force; apply the text again."},
	{FleetStoreUnreachable, log.WarnLevel, "fleet store unreachable", "The store can't be read; the current version stays in force and peers are asked for newer ones."},
	{FleetStoreReachable, log.InfoLevel, "fleet store reachable again", "The store can be read again."},
}
