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

// versionLog records the versions of the fleet text that each process reports.
type versionLog struct {
	mu    sync.Mutex
	shown map[string][]shownVersion // by process, ordered by time
}

type shownVersion struct {
	polledAt, answeredAt time.Time
	pid                  int
	version              int64
}

func watchVersions(t *testing.T, k *harness.Cluster) *versionLog {
	t.Helper()
	w := &versionLog{shown: make(map[string][]shownVersion)}
	for _, e := range k.Entries {
		w.poll(t, e.Process, "http://"+e.HTTP+"/readyz")
	}
	for _, vm := range k.VMs {
		w.poll(t, vm.Agent, "http://"+vm.Admin+"/readyz")
	}
	return w
}

func (w *versionLog) poll(t *testing.T, p *harness.Process, url string) {
	t.Helper()
	runInBackground(t, func(ctx context.Context) {
		for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
			var state struct {
				Version int64 `json:"fleet-version"`
			}
			polledAt, pid := time.Now(), p.PID()
			if err := getJSON(ctx, url, &state); err != nil {
				continue
			}
			w.mu.Lock()
			w.shown[p.Name] = append(w.shown[p.Name], shownVersion{polledAt, time.Now(), pid, state.Version})
			w.mu.Unlock()
		}
	})
}

// checkPropagation checks for each process that its version only increased and that each
// version, or a higher one, was in effect within propagationLimit after acceptance.
func checkPropagation(t *testing.T, c *configTestbed, w *versionLog, accepted *acceptanceLog, last int64) {
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
			at := accepted.acceptedAt(v)
			lag, seen := lagOf(shown, v, at)
			lag -= c.exemptTime(process, at, at.Add(lag))
			if !seen || lag > propagationLimit {
				t.Errorf("%s had version %d in effect %s after acceptance (seen: %v)", process, v, lag, seen)
			}
			worst = max(worst, lag)
		}
	}
	t.Logf("%d versions; the slowest was in effect in all processes after %s", last, worst)
}

// checkLogs checks that the versions that each process logged as applied increased. This
// finds a process that reverted between two polls.
func checkLogs(t *testing.T, c *configTestbed) {
	t.Helper()
	processes := []*harness.Process{}
	for _, e := range c.Entries {
		processes = append(processes, e.Process)
	}
	for _, vm := range c.VMs {
		processes = append(processes, vm.Agent)
	}
	for _, p := range processes {
		current, applied := int64(0), 0
		for _, line := range p.LogLines() {
			switch {
			case strings.Contains(line, fmt.Sprintf(" event=%d ", reporter.Listening)):
				current = 0 // started
			case strings.Contains(line, fmt.Sprintf(" event=%d ", reporter.FleetVersionApplied)):
				var version int64
				if _, err := fmt.Sscanf(line[strings.LastIndex(line, "version="):], "version=%d", &version); err != nil {
					t.Fatalf("%s: %v", line, err)
				}
				if version <= current {
					t.Errorf("%s applied version %d after %d", p.Name, version, current)
				}
				current = version
				applied++
			}
		}
		if applied == 0 {
			t.Errorf("%s logged no version", p.Name)
		}
	}
}

// lagOf returns how long after acceptance a process first reported a version or a higher
// one. It uses the time at which the process was polled, since the answer came later.
func lagOf(shown []shownVersion, version int64, accepted time.Time) (time.Duration, bool) {
	for _, s := range shown {
		if s.version >= version {
			return max(0, s.polledAt.Sub(accepted)), true
		}
	}
	return 0, false
}

// exemptTime returns for how much of the time between from and until the limit did not
// apply to a process.
func (c *configTestbed) exemptTime(process string, from, until time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var total time.Duration
	for _, e := range c.exemptions {
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
