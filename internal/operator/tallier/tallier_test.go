package tallier

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const sample = `
  0.1 entry-1 timestamp=2026-04-01T02:00:00Z level=info message="job accepted" event=900 job=00000000000004d2 queue=q
  0.2 entry-1 timestamp=2026-04-01T02:00:01Z level=info message="start decided" event=907 task=00000000000004d2.0.0.0 run=1 vm=a waited=1s
  timestamp=2026-04-01T02:00:02Z level=info message="step waits" event=931 job=00000000000004d2 step=0 cause="2 VMs without free capacity"
timestamp=2026-04-01T02:00:03Z level=info message="stop decided" event=908 task=00000000000004d2.0.0.0 run=1 cause="can continue elsewhere"
timestamp=2026-04-01T02:00:03Z level=info message="run end recorded" event=910 task=00000000000004d2.0.0.0 run=1 how=stopped
timestamp=2026-04-01T02:00:04Z level=warn message="ownership lost" event=916 name=entry-1
timestamp=2026-04-01T02:00:06Z level=info message="ownership taken" event=915 name=entry-2
timestamp=2026-04-01T02:00:06Z level=info message="start decided" event=907 task=00000000000004d2.0.0.0 run=2 vm=b waited=3s
timestamp=2026-04-01T02:00:07Z level=info message="run end recorded" event=910 task=00000000000004d2.0.0.0 run=2 how=done
timestamp=2026-04-01T02:00:07Z level=info message="job ended" event=906 job=00000000000004d2 queue=q state=done
timestamp=2026-04-01T02:00:08Z level=info message="job accepted" event=900 job=00000000000004d3 queue=q
timestamp=2026-04-01T02:00:09Z level=info message="job refused" event=901 reason="store not reached"
timestamp=2026-04-01T02:00:09Z level=info message="cut off in the mid`

func TestTally(t *testing.T) {
	tallier := New()
	if err := tallier.Read(strings.NewReader(sample)); err != nil {
		t.Fatal(err)
	}
	want := Tally{
		Queues: []Row{{
			Queue: "q", Accepted: 2, Done: 1, Open: 1, NotStarted: 1,
			FirstStart: Distribution{time.Second, time.Second, time.Second},
			Turnaround: Distribution{7 * time.Second, 7 * time.Second, 7 * time.Second},
			WaitTime:   4 * time.Second, RunTime: 3 * time.Second, UnsuccessfulRuns: 1,
		}},
		RunEnds:         []Count{{"done", 1}, {"stopped", 1}},
		StopCauses:      []Count{{"can continue elsewhere", 1}},
		WaitCauses:      []Count{{"2 VMs without free capacity", 1}},
		RefusalReasons:  []Count{{"store not reached", 1}},
		Ownerless:       2 * time.Second,
		UnreadableLines: 2,
	}
	if diff := cmp.Diff(want, tallier.Tally()); diff != "" {
		t.Error(diff)
	}
	var out strings.Builder
	if err := tallier.Tally().Write(&out); err != nil || !strings.Contains(out.String(), "2 VMs without free capacity") {
		t.Errorf("%v: %s", err, out.String())
	}
}

func TestLogWithoutEventsIsRejected(t *testing.T) {
	for _, text := range []string{"", "hello\n", `{"json": "lines"}`} {
		if err := New().Read(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted as a log", text)
		}
	}
}
