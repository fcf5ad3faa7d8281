package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/tests/harness"
)

// versionWatch notes the versions of the fleet that each process shows.
type versionWatch struct {
	mu    sync.Mutex
	shown map[string][]shownVersion // by process, in the order of time
}

type shownVersion struct {
	asked, answered time.Time
	pid             int
	version         int64
}

func watchVersions(t *testing.T, k *harness.Cluster) *versionWatch {
	t.Helper()
	w := &versionWatch{shown: make(map[string][]shownVersion)}
	for _, e := range k.Entries {
		w.follow(t, e.Process, "http://"+e.HTTP+"/readyz")
	}
	for _, vm := range k.VMs {
		w.follow(t, vm.Agent, "http://"+vm.Admin+"/readyz")
	}
	return w
}

func (w *versionWatch) follow(t *testing.T, p *harness.Process, url string) {
	t.Helper()
	background(t, func(ctx context.Context) {
		for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
			var state struct {
				Version int64 `json:"fleet-version"`
			}
			asked, pid := time.Now(), p.PID()
			if err := getJSON(ctx, url, &state); err != nil {
				continue
			}
			w.mu.Lock()
			w.shown[p.Name] = append(w.shown[p.Name], shownVersion{asked, time.Now(), pid, state.Version})
			w.mu.Unlock()
		}
	})
}

// checkInForce checks for each process that versions only rose and that each was
// in force, or overtaken by a higher one, within the limit after acceptance.
func checkInForce(t *testing.T, c *configScene, w *versionWatch, accepted *acceptances, last int64) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if want := len(c.Entries) + len(c.VMs); len(w.shown) != want {
		t.Errorf("%d processes showed a version, want %d", len(w.shown), want)
	}
	var worst time.Duration
	for process, shown := range w.shown {
		for i := 1; i < len(shown); i++ {
			if shown[i].version < shown[i-1].version && shown[i].pid == shown[i-1].pid {
				t.Errorf("%s went back from version %d to %d", process, shown[i-1].version, shown[i].version)
			}
		}
		for v := int64(2); v <= last; v++ {
			at := accepted.when(v)
			lag, seen := lagOf(shown, v, at)
			lag -= c.excused(process, at, at.Add(lag))
			if !seen || lag > inForceLimit {
				t.Errorf("%s had version %d in force %s after acceptance (ever: %v)", process, v, lag, seen)
			}
			worst = max(worst, lag)
		}
	}
	t.Logf("%d versions; the slowest was in force everywhere after %s", last, worst)
}

// checkLogs checks that the versions that each process logged as taken rose. A
// process that went back for a moment between two questions shows here.
func checkLogs(t *testing.T, c *configScene) {
	t.Helper()
	processes := []*harness.Process{}
	for _, e := range c.Entries {
		processes = append(processes, e.Process)
	}
	for _, vm := range c.VMs {
		processes = append(processes, vm.Agent)
	}
	for _, p := range processes {
		held, taken := int64(0), 0
		for _, line := range p.LogLines() {
			switch {
			case strings.Contains(line, fmt.Sprintf(" event=%d ", reporter.Listening)):
				held = 0 // started
			case strings.Contains(line, fmt.Sprintf(" event=%d ", reporter.FleetVersionTaken)):
				var version int64
				if _, err := fmt.Sscanf(line[strings.LastIndex(line, "version="):], "version=%d", &version); err != nil {
					t.Fatalf("%s: %v", line, err)
				}
				if version <= held {
					t.Errorf("%s took version %d after %d", p.Name, version, held)
				}
				held = version
				taken++
			}
		}
		if taken == 0 {
			t.Errorf("%s logged no version", p.Name)
		}
	}
}

// lagOf returns how long after acceptance a process first showed a version or a
// higher one. It counts to when the process was asked: its answer was later.
func lagOf(shown []shownVersion, version int64, accepted time.Time) (time.Duration, bool) {
	for _, s := range shown {
		if s.version >= version {
			return max(0, s.asked.Sub(accepted)), true
		}
	}
	return 0, false
}

// excused returns how much of the time between from and until a process could
// not be held to the limit.
func (c *configScene) excused(process string, from, until time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var total time.Duration
	for _, e := range c.excuse {
		if e.process != "" && e.process != process {
			continue
		}
		begin, end := e.from, e.until
		if begin.Before(from) {
			begin = from
		}
		if end.After(until) {
			end = until
		}
		total += max(0, end.Sub(begin))
	}
	return total
}
