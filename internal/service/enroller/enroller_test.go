package enroller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// TestRegistrationIsRestored removes the record of an entry with an expired lease, deletes
// it, or replaces it by that of an earlier process of the entry, whose lease ends soon. The
// entry must write its record again at the next poll.
func TestRegistrationIsRestored(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(t *testing.T, k *keeper.Keeper, e *Enroller, stored keeper.Record)
	}{
		{"lease expired", func(t *testing.T, k *keeper.Keeper, e *Enroller, _ keeper.Record) {
			if err := k.RevokeLease(t.Context(), e.lease); err != nil {
				t.Fatal(err)
			}
		}},
		{"deleted", func(t *testing.T, k *keeper.Keeper, _ *Enroller, stored keeper.Record) {
			if err := k.DeleteRecord(t.Context(), stored.Key, stored.Revision); err != nil {
				t.Fatal(err)
			}
		}},
		{"written by an earlier process", func(t *testing.T, k *keeper.Keeper, _ *Enroller, stored keeper.Record) {
			lease, err := k.GrantLease(t.Context(), time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := k.CompareAndSwap(t.Context(), keeper.SwapOptions{Key: stored.Key, Value: stored.Value, ExpectRevision: stored.Revision, Lease: lease.ID}); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(storer.New(storer.Config{}).Handler())
			t.Cleanup(server.Close)
			k := keeper.New(keeper.Config{URL: server.URL})
			e := New(Config{Self: messenger.PeerAddress{EntryID: "e1", Address: "127.0.0.1:1"}, Keeper: k})
			key := keyPrefix + "e1"
			register := func() keeper.Record {
				t.Helper()
				if err := e.register(t.Context()); err != nil {
					t.Fatal(err)
				}
				record, err := k.GetRecord(t.Context(), key)
				if err != nil {
					t.Fatal(err)
				}
				return record
			}
			first := register()
			if again := register(); again.Revision != first.Revision {
				t.Error("an unchanged record was written again")
			}
			tt.invalidate(t, k, e, first)
			if record := register(); record.Lease != e.lease {
				t.Errorf("the record is under lease %d, the entry renews %d", record.Lease, e.lease)
			}
		})
	}
}

// Guards against an entry that can't register: its own record is not in the first page of the list, so
// it takes the record for missing and writes against it.
func TestRegistrationBeyondFirstPageIsFound(t *testing.T) {
	const others = 1100 // a page has 1,000 records
	server := httptest.NewServer(storer.New(storer.Config{}).Handler())
	t.Cleanup(server.Close)
	k := keeper.New(keeper.Config{URL: server.URL})
	for n := range others {
		value, err := json.Marshal(messenger.PeerAddress{EntryID: fmt.Sprintf("a-%04d", n), Address: fmt.Sprintf("127.0.0.1:%d", 10_000+n)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := k.CompareAndSwap(t.Context(), keeper.SwapOptions{Key: fmt.Sprintf("%sa-%04d", keyPrefix, n), Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	e := New(Config{Self: messenger.PeerAddress{EntryID: "e1", Address: "127.0.0.1:1"}, Keeper: k})
	for range 2 {
		if err := e.register(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(e.peers); got != others {
		t.Errorf("%d peers are known, want %d", got, others)
	}
}

// Guards against an entry that can never register, and against peers that are none: another writer has replaced the
// entry's record, or left an odd one among those of the others. The sound one that follows is read all the same.
func TestOddRegistrationsChangeNothing(t *testing.T) {
	const sound = `{"entry-id":"z","address":"127.0.0.1:9"}`
	tests := []struct {
		name, key, value string
	}{
		{"own record null", "e1", `null`},
		{"own record not JSON", "e1", "\x00"},
		{"own record of another", "e1", `{"entry-id":"e2","address":"127.0.0.1:2"}`},
		{"this entry under another key", "e2", `{"entry-id":"e1","address":"127.0.0.1:2"}`},
		{"null", "e2", `null`},
		{"nothing", "e2", `{}`},
		{"no address", "e2", `{"entry-id":"e2"}`},
		{"address of another type", "e2", `{"entry-id":"e2","address":7}`},
		{"address that is none", "e2", `{"entry-id":"e2","address":"127.0.0.1"}`},
		{"no entry", "e2", `{"address":"127.0.0.1:2"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(storer.New(storer.Config{}).Handler())
			t.Cleanup(server.Close)
			k := keeper.New(keeper.Config{URL: server.URL})
			for key, value := range map[string]string{tt.key: tt.value, "z": sound} {
				if _, err := k.CompareAndSwap(t.Context(), keeper.SwapOptions{Key: keyPrefix + key, Value: []byte(value)}); err != nil {
					t.Fatal(err)
				}
			}
			var output bytes.Buffer
			r, err := reporter.New(reporter.Config{Writer: &output, Format: "text", Level: "info"})
			if err != nil {
				t.Fatal(err)
			}
			e := New(Config{Self: messenger.PeerAddress{EntryID: "e1", Address: "127.0.0.1:1"}, Keeper: k, Reporter: r})
			for range 2 {
				if err := e.register(t.Context()); err != nil {
					t.Error(err)
				}
			}
			if n := strings.Count(output.String(), "key="+keyPrefix+tt.key); n != 1 {
				t.Errorf("logged %d times:\n%s", n, &output)
			}
			if record, err := k.GetRecord(t.Context(), keyPrefix+"e1"); err != nil || record.Lease != e.lease {
				t.Errorf("the entry is not registered: %+v, %v", record, err)
			}
			if p := e.peers["127.0.0.1:9"]; p == nil || len(e.peers) != 1 {
				t.Errorf("peers: %v", e.peers)
			}
		})
	}
}

// Guards against peers that are none: any bytes are read as an entry of this key or as none.
func FuzzDecodeEntry(f *testing.F) {
	for _, value := range []string{`{"entry-id":"e2","address":"127.0.0.1:2"}`, `null`, `{}`, `{"entry-id":"e2","address":":"}`, `{"Entry-id":"e2"}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		a, err := decodeEntry(keeper.Record{Key: keyPrefix + "e2", Value: value})
		if err == nil && (a.EntryID != "e2" || len(a.Address) < len("a:1")) || err != nil && a != (messenger.PeerAddress{}) {
			t.Errorf("%+v, %v", a, err)
		}
	})
}
