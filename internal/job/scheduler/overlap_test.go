package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/wire/messenger"
)

// Guards against tasks that run twice without a trace of which conclusion was wrong: the owner's log names
// what had shown that the first run had ended.
func TestSecondRunIsLoggedWithTheLossOfTheFirst(t *testing.T) {
	tests := []struct {
		name  string
		lose  func(b *stopFixture) // makes the owner give up the run on vm-1
		cause string
	}{
		{"the leases expire", func(b *stopFixture) {
			b.now = b.now.Add(reportTimeout + time.Millisecond)
			b.o.checkVMContact(b.now)
			b.now = b.now.Add(b.o.leaseExpiry())
			b.o.checkVMContact(b.now)
		}, "leases expired"},
		{"the agent does not report it", func(b *stopFixture) {
			b.report.Runs = nil
			b.sendReport()
		}, "no longer reported by the worker"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newStopFixture(t)
			set := metrics.NewSet()
			b.o.s.config.Metrics = NewMetrics(set)
			b.sendReport()
			first := b.report
			tt.lose(b)
			b.report.VM, b.report.Runs = "vm-2", []messenger.WorkRun{{Task: stoppedJob + ".0.0.0", Run: 2, Confirmed: true}}
			b.sendReport()
			if strings.Contains(b.log.String(), "task has two runs") {
				t.Fatalf("one run is logged as two: %s", b.log)
			}
			b.report = first
			b.sendReport()
			lines := strings.Split(strings.TrimSpace(b.log.String()), "\n")
			last := lines[len(lines)-1]
			for _, want := range []string{"task has two runs", "run=1 ", "vm=vm-1", "other-run=2", "other-vm=vm-2", "run 1 on vm-1", tt.cause} {
				if !strings.Contains(last, want) {
					t.Errorf("the line lacks %q: %s", want, last)
				}
			}
			if n := set.GetOrCreateCounter("bamboospread_job_runs_overlapping_total").Get(); n != 1 {
				t.Errorf("%d overlaps are counted, want 1", n)
			}
		})
	}
}
