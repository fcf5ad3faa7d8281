package agent

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// TestFrozenEntryDelaysFleetBriefly fetches a fleet record from an entry that froze after
// it reported the version. Operators expect a change to take effect within 4 s, and the
// next heartbeat of another entry comes within 1 s. So the timeout must be short at first,
// and increase for a link on which no fetch ends in time.
func TestFrozenEntryDelaysFleetBriefly(t *testing.T) {
	a, err := New(Config{
		ID: "a", VM: "vm", Zone: "z", Rack: "r", WorkerURL: "http://127.0.0.1:1", Cell: "main",
		LocalListen: "127.0.0.1:0", Listen: "127.0.0.1:0", Reporter: reporter.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.local.Close()
	defer a.admin.Close()
	var timeouts []time.Duration
	frozen := func(ctx context.Context) (messenger.FleetReply, error) {
		deadline, _ := ctx.Deadline()
		timeouts = append(timeouts, time.Until(deadline).Round(100*time.Millisecond))
		return messenger.FleetReply{}, context.DeadlineExceeded
	}
	for range 6 {
		a.updateFleet(1, frozen)
	}
	want := []time.Duration{minFetchTimeout, 2 * minFetchTimeout, 4 * minFetchTimeout, 8 * minFetchTimeout, maxFetchTimeout, maxFetchTimeout}
	for i, timeout := range timeouts {
		if timeout != want[i] {
			t.Errorf("fetch %d has timeout %s, want %s", i, timeout, want[i])
		}
	}
	a.updateFleet(1, func(context.Context) (messenger.FleetReply, error) { return messenger.FleetReply{}, nil })
	if a.fetchTimeout != minFetchTimeout {
		t.Errorf("timeout after an answer is %s", a.fetchTimeout)
	}
}
