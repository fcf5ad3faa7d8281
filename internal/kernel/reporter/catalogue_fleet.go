package reporter

import "github.com/apex/log"

// Events of the area "fleet", numbered from 300.
const (
	FleetVersionTaken Code = 300 + iota
	FleetChangeAccepted
	FleetChangeUnknown
	FleetUnreadable
	FleetWentBack
	FleetRecordDeleted
	FleetStoreAway
	FleetStoreBack
)

var fleetDefinitions = []Definition{
	{FleetVersionTaken, log.InfoLevel, "fleet version taken", "This process now works by the named version of the fleet text; source tells whether it came from the store or from a peer."},
	{FleetChangeAccepted, log.InfoLevel, "fleet change accepted", "A change sent through this entry is stored; every process takes it within seconds."},
	{FleetChangeUnknown, log.WarnLevel, "fleet change unsettled", "The store's answer to a change was lost and could not be had in time. Send the change again with the same change id to learn its outcome."},
	{FleetUnreadable, log.ErrorLevel, "fleet record unreadable", "The stored record can't be read by this program, for instance because a newer one wrote it. The version held stays in force and nothing is started by it; bring this process up to date."},
	{FleetWentBack, log.ErrorLevel, "fleet record went back", "The store shows a lower version than this process holds: it has lost data or was restored. The higher version stays in force; apply the text again above it."},
	{FleetRecordDeleted, log.ErrorLevel, "fleet record deleted", "Somebody deleted the record in the store. The version held stays in force; apply the text again."},
	{FleetStoreAway, log.WarnLevel, "fleet store away", "The store can't be read; the version held stays in force and peers are asked for newer ones."},
	{FleetStoreBack, log.InfoLevel, "fleet store back", "The store is read again."},
}
