package placer

import (
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
)

// A service misses its objective on every VM although no task runs there, and
// the queued class is predicted to triple its latency. Tasks first wait because
// of the prediction, then start anyway: one per VM, or an urgent task
// immediately on any VM. Without this rule they waited forever (30 of 34 tasks
// of TestTaskNeverRunsTwice never started).
func TestPredictionsDoNotStarveTasks(t *testing.T) {
	cases := []struct {
		name    string
		urgent  bool
		waited  time.Duration
		running bool // an interfering task already runs on each VM
		starts  int
	}{
		{"young task waits", false, overrideAfter / 2, false, 0},
		{"old task starts where nothing interferes, one per VM", false, overrideAfter, false, 2},
		{"old task waits where another task interferes", false, overrideAfter, true, 0},
		{"urgent task starts early where nothing interferes", true, urgentOverrideAfter / 2, false, 2},
		{"urgent task starts next to an interfering task", true, urgentOverrideAfter, true, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Snapshot{
				Now: start.Add(c.waited), Fleet: describer.New(fleetOf(describer.Tenant{Name: "s", Weight: 1})), VMs: vmsOf(2, "a"),
				Interference: func(string, string) (float64, float64) { return 2, 1 },
				Pressure:     func(string, string) float64 { return 1.5 },
			}
			for i := range s.VMs {
				s.VMs[i].Services = []string{"depth"}
				if c.running {
					placed := queued("running-"+s.VMs[i].Name, "s", cores(1))
					placed.VM, placed.Started = s.VMs[i].Name, start
					s.Placed = append(s.Placed, placed)
				}
			}
			for _, id := range []string{"t1", "t2", "t3"} {
				task := queued(id, "s", cores(1))
				task.Urgent = c.urgent
				s.Queued = append(s.Queued, task)
			}
			if got := len(New(Config{}).Plan(s).Starts); got != c.starts {
				t.Errorf("%d starts, want %d", got, c.starts)
			}
		})
	}
}
