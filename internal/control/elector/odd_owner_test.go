package elector

import (
	"testing"

	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Guards against an entry that forgets the owner, or sends calls to no address, after it has read an odd record.
func TestOddRecordDoesNotReplaceTheKnownOwner(t *testing.T) {
	known := messenger.CellOwner{Cell: "c", Epoch: 3, EntryID: "other", Address: "127.0.0.1:1"}
	for _, value := range []string{
		`null`, `{}`, `{"cell":"c","epoch":4,"entry-id":"other"}`, `{"epoch":4,"entry-id":"odd","address":"127.0.0.1:2"}`,
		`{"cell":"d","epoch":4,"entry-id":"odd","address":"127.0.0.1:2"}`, `{"cell":"c","entry-id":"odd","address":"127.0.0.1:2"}`, "\x00",
	} {
		e := New(Config{Cell: "c"})
		e.LearnOwner(known)
		e.rememberOwner(keeper.Record{Value: []byte(value), Lease: 7})
		if got, ok := e.LastSeenOwner(); !ok || got != known {
			t.Errorf("%s: the owner is %+v, known %t", value, got, ok)
		}
	}
}
