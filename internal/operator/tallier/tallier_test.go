package tallier

import (
	"fmt"
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
		Waits:           []Wait{{"q", "without free capacity", 1, 2, []int{100, 0, 0, 0, 0, 0, 0, 0, 0, 0}}},
		RefusalReasons:  []Count{{"store not reached", 1}},
		Ownerless:       2 * time.Second,
		UnreadableLines: 2,
	}
	if diff := cmp.Diff(want, tallier.Tally()); diff != "" {
		t.Error(diff)
	}
	var out strings.Builder
	if err := tallier.Tally().Write(&out); err != nil || !strings.Contains(out.String(), "without free capacity") {
		t.Errorf("%v: %s", err, out.String())
	}
}

// Guards against a summary with a line for each distinct set of numbers, which does not tell why a
// queue waited.
func TestWaitsAreSummedByReason(t *testing.T) {
	const (
		accepted = `timestamp=2026-04-01T02:00:00Z event=900 job=00000000000004d2 queue=q` + "\n"
		waits    = "timestamp=2026-04-01T02:00:%02dZ event=931 job=00000000000004d2 cause=%q\n"
	)
	tallier := New()
	log := accepted + fmt.Sprintf(waits, 1, "39 VMs where it would interfere with long-running tasks, 13 VMs without free capacity, 2 tasks restart within 1.5s after failures") +
		fmt.Sprintf(waits, 11, "1 VMs kept free of other starts while 00000000000004d2.0.0.1 is observed after crashes, 51 VMs without free capacity") +
		fmt.Sprintf(waits, 11, "no VM has reported")
	if err := tallier.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	want := []Wait{
		{"q", "without free capacity", 2, 64, []int{24, 0, 0, 0, 0, 0, 0, 0, 0, 96}},
		{"q", "where it would interfere with long-running tasks", 1, 39, []int{72, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
		{"q", "restart after failures", 1, 2, []int{3, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
		{"q", "kept free of other starts after crashes", 1, 1, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 1}},
		{"q", "no VM has reported", 1, 1, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 1}},
	}
	if diff := cmp.Diff(want, tallier.Tally().Waits); diff != "" {
		t.Error(diff)
	}
}

func TestLogWithoutEventsIsRejected(t *testing.T) {
	for _, text := range []string{"", "hello\n", `{"json": "lines"}`} {
		if err := New().Read(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted as a log", text)
		}
	}
}

// Guards against a summary that ends at the first overlong line of a log: the line is skipped and
// counted, and the report says so.
func TestOverlongLinesAreSkipped(t *testing.T) {
	overlong := `timestamp=2026-04-01T02:00:05Z level=info message="` + strings.Repeat("x", 3*maxLineBytes) + `" event=900 job=00000000000004d4 queue=q` + "\n"
	exact := "timestamp=" + strings.Repeat("x", maxLineBytes-len("timestamp="))
	for _, tt := range []struct {
		name                 string
		text                 string
		overlong, unreadable int
	}{
		{"none", sample, 0, 2},
		{"first", overlong + sample, 1, 2},
		{"between", sample + "\n" + overlong + sample, 1, 4},
		{"last, without an end of line", sample + "\n" + strings.TrimSpace(overlong), 1, 2},
		{"of the greatest length", sample + "\n" + exact + "\n", 0, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tallier := New()
			if err := tallier.Read(strings.NewReader(tt.text)); err != nil {
				t.Fatal(err)
			}
			got := tallier.Tally()
			if got.OverlongLines != tt.overlong || got.UnreadableLines != tt.unreadable || len(got.Queues) != 1 || got.Queues[0].Accepted != 2 {
				t.Errorf("%+v, want %d overlong lines and %d without an event", got, tt.overlong, tt.unreadable)
			}
			var out strings.Builder
			_ = got.Write(&out)
			if tt.overlong > 0 && !strings.Contains(out.String(), "overlong lines skipped") {
				t.Errorf("the report does not tell: %s", out.String())
			}
		})
	}
}
