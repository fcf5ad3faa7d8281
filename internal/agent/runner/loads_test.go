package runner

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// The worker reports a window that ended some seconds ago. The load of the
// services that is sent with it must be of the same window, not the current load.
func TestLoadMatchesTheLaggingWindow(t *testing.T) {
	r := New(Config{})
	start := time.UnixMilli(1_000_000)
	for i := range 60 {
		r.recordLoad(start.Add(time.Duration(i)*time.Second), []messenger.ServiceLoad{{Service: "labelling", Requests: int64(i)}})
	}
	for _, c := range []struct {
		end  time.Duration // of the worker's window
		want int64         // 0: unknown
	}{{59 * time.Second, 59}, {56400 * time.Millisecond, 56}, {35 * time.Second, 35}, {10 * time.Second, 0}, {62 * time.Second, 0}} {
		got := int64(0)
		if loads := r.loadAt(start.Add(c.end)); len(loads) > 0 {
			got = loads[0].Requests
		}
		if got != c.want {
			t.Errorf("window that ends at %s: load of second %d, want %d", c.end, got, c.want)
		}
	}
	if len(r.loads) > 31 {
		t.Errorf("%d load windows stored, want at most 31", len(r.loads))
	}
}
