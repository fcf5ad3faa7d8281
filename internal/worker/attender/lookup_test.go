package attender

import (
	"testing"

	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Guards against an agent that follows no owner while an odd record stays in the store: it counted as an owner, or
// as one that takes over, so the agent asked no entry.
func TestOddRecordNamesNoOwner(t *testing.T) {
	const key = "cells/c/owner"
	for _, value := range []string{`null`, `{}`, `{"cell":"c","epoch":4,"entry-id":"e"}`, `{"cell":"d","epoch":4,"entry-id":"e","address":"127.0.0.1:2"}`, `{"cell":"c","entry-id":"e","address":"127.0.0.1:2"}`} {
		o, err := decodeOwner(key, "c", []keeper.Record{{Key: key, Value: []byte(value)}})
		if _, takingOver := err.(errTakingOver); err == nil || takingOver || keeper.IsErrKeyNotExist(err) || o != (messenger.CellOwner{}) {
			t.Errorf("%s: %+v, %v", value, o, err)
		}
	}
	sound := keeper.Record{Key: key, Value: []byte(`{"cell":"c","epoch":4,"entry-id":"e","address":"127.0.0.1:2"}`)}
	if o, err := decodeOwner(key, "c", []keeper.Record{{Key: key, Value: []byte(`{}`)}, sound}); err != nil || o.Epoch != 4 {
		t.Errorf("the sound record after an odd one: %+v, %v", o, err)
	}
}
