package locator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// serve returns the address of an entry that names an owner of the given epoch; 0: it knows none.
func serve(t *testing.T, epoch int64) string {
	t.Helper()
	return serveAfter(t, epoch, 0)
}

// serveAfter is serve with an answer that takes a while.
func serveAfter(t *testing.T, epoch int64, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- connector.Serve(ctx, l, func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
			time.Sleep(delay)
			return messenger.WorkOwner{Owner: messenger.CellOwner{EntryID: "owner", Epoch: epoch}}, nil
		}, nil)
	}()
	t.Cleanup(func() { cancel(); <-served })
	return l.Addr().String()
}

// silent returns an address that accepts connections and never answers.
func silent(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// Guards against agents that reach a new owner only after they have waited for each entry that does
// not answer, one after the other.
func TestSilentEntriesDelayFindBriefly(t *testing.T) {
	var addresses []string
	for range maxEntries - 1 {
		addresses = append(addresses, silent(t))
	}
	l := New(append(addresses, serve(t, 7)))
	began := time.Now()
	o, err := l.Find(t.Context())
	if err != nil || o.Epoch != 7 {
		t.Fatalf("owner %+v, error %v", o, err)
	}
	const most = 750 * time.Millisecond // two rounds of 300 ms and some time to spare
	if took := time.Since(began); took > most {
		t.Errorf("found after %s, want %s at most", took, most)
	}
	began = time.Now()
	if _, err := New(append(addresses, silent(t))).Find(t.Context()); err == nil {
		t.Error("an owner was found among silent entries")
	}
	if took := time.Since(began); took > most {
		t.Errorf("eight silent entries took %s, want %s at most", took, most)
	}
}

func TestEntriesThatKnowNoOwner(t *testing.T) {
	if _, err := New([]string{serve(t, 0), serve(t, 0)}).Find(t.Context()); err == nil {
		t.Error("an owner was found")
	}
	if _, err := New(nil).Find(t.Context()); err == nil {
		t.Error("an owner was found without entries")
	}
}

// Guards against agents that forget the entries they know when a new owner, which few entries have
// reached yet, names only one.
func TestEarlierEntriesFillUpTheList(t *testing.T) {
	named := func(from, to int) (all []messenger.PeerAddress) {
		for n := from; n < to; n++ {
			all = append(all, messenger.PeerAddress{EntryID: fmt.Sprint("entry-", n), Address: fmt.Sprint("address-", n)})
		}
		return all
	}
	l := New(nil)
	l.Remember(named(0, maxEntries))
	l.Remember(named(maxEntries, maxEntries+1))
	l.Remember(nil)
	if len(l.entries) != maxEntries || l.entries[0].EntryID != fmt.Sprint("entry-", maxEntries) || l.entries[1].EntryID != "entry-0" {
		t.Errorf("entries %+v", l.entries)
	}
}

// Guards against tasks that run twice: an agent and a worker that have both started again know no epoch. They follow
// a former owner whose lease lasts by its own clock if it, or an entry that follows it, answers first.
func TestAgentFindsLatestOwnerThatEntriesName(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration // of the answer that names the latest owner
	}{
		{"nearby", 5 * time.Millisecond},
		{"in the farthest zone", 30 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New([]string{serve(t, 4), serve(t, 4), serveAfter(t, 5, tt.delay)})
			o, err := l.Find(t.Context())
			if err != nil || o.Epoch != 5 {
				t.Errorf("epoch %d, error %v, want epoch 5", o.Epoch, err)
			}
		})
	}
}
