package agent

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// TestFrozenEntryDelaysFleetShortly fetches a fleet record from an entry that
// froze after it told of the version. Operators expect the change in force within
// 4 s, and the next heartbeat of another entry comes within one; so the wait must
// be short at first, and grow for a link on which no fetch ends in time.
func TestFrozenEntryDelaysFleetShortly(t *testing.T) {
	a, err := New(Config{
		ID: "a", VM: "vm", Zone: "z", Rack: "r", WorkerURL: "http://127.0.0.1:1", Cell: "main",
		LocalListen: "127.0.0.1:0", Listen: "127.0.0.1:0", Reporter: reporter.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.local.Close()
	defer a.admin.Close()
	var limits []time.Duration
	frozen := func(ctx context.Context) (messenger.FleetReply, error) {
		deadline, _ := ctx.Deadline()
		limits = append(limits, time.Until(deadline).Round(100*time.Millisecond))
		return messenger.FleetReply{}, context.DeadlineExceeded
	}
	for range 6 {
		a.takeFleet(1, frozen)
	}
	want := []time.Duration{firstFetch, 2 * firstFetch, 4 * firstFetch, 8 * firstFetch, longestFetch, longestFetch}
	for i, limit := range limits {
		if limit != want[i] {
			t.Errorf("fetch %d is given %s, want %s", i, limit, want[i])
		}
	}
	a.takeFleet(1, func(context.Context) (messenger.FleetReply, error) { return messenger.FleetReply{}, nil })
	if a.fetchLimit != firstFetch {
		t.Errorf("after an answer the limit is %s", a.fetchLimit)
	}
}
