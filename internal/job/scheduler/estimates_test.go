package scheduler

import (
	"bytes"
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// estimatesFixture is an owner that is asked for estimates, with a store of the given records.
type estimatesFixture struct {
	o       *owner
	now     time.Time
	log     bytes.Buffer
	metrics *metrics.Set
	random  *rand.Rand
	jobs    int
}

func newEstimatesFixture(t *testing.T, asked bool, records map[string][]byte) *estimatesFixture {
	t.Helper()
	b := &estimatesFixture{now: time.Unix(2_000_000, 0), metrics: metrics.NewSet(), random: rand.New(rand.NewPCG(2, 2))}
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", Slack: 2}}, Load: specifier.LoadControl{Estimates: asked}}
	r, err := reporter.New(reporter.Config{Writer: &b.log, Level: "info", Format: "text"})
	if err != nil {
		t.Fatal(err)
	}
	get := func(_ context.Context, key string) (keeper.Record, error) {
		if v, ok := records[key]; ok {
			return keeper.Record{Key: key, Value: v, Revision: 3}, nil
		}
		return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
	}
	s := New(Config{Cell: "jobs", Reporter: r, Now: func() time.Time { return b.now }, Policy: func() *specifier.Policy { return policy }, Store: keeper.Calls{GetRecord: get}, Metrics: NewMetrics(b.metrics)})
	b.o = newOwner(s, 1, tracker.New(tracker.Config{Policy: policy}), b.now)
	b.o.loadSnapshots(t.Context(), b.now)
	return b
}

// run executes a job of one task whose run time is 1.5 s in the median, declared as 1 s.
func (b *estimatesFixture) run(t *testing.T, how tracker.End) {
	t.Helper()
	b.jobs++
	vm, _ := b.o.state.Attach(tracker.VMInfo{Name: "vm", Capacity: specifier.Resources{CPUMillis: 8000, MemoryMB: 8000}}, tracker.Report{Incarnation: "1", Ready: true}, b.now)
	spec := &specifier.Job{ID: jobIDOf(b.jobs), Queue: "q", AcceptedMillis: b.now.UnixMilli(), Steps: []specifier.Step{{Count: 1, Needs: specifier.Resources{CPUMillis: 1000, MemoryMB: 1}, EstimateMillis: 1000, Image: "i"}}}
	b.o.state.AddJob(spec, time.Time{}, b.now)
	task := b.o.state.Jobs[spec.ID].Occurrences[0].Steps[0].Tasks[0]
	r := b.o.state.Place(task, vm, 1, b.now)
	b.o.predictRunTime(r, planner.Start{Task: task, VM: vm})
	b.o.state.Apply(vm, tracker.Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq, Runs: []tracker.ReportedRun{{Key: r.Key(), Confirmed: true}}}, b.now)
	b.now = b.now.Add(time.Duration(1.5 * math.Exp(0.5*b.random.NormFloat64()) * float64(time.Second)))
	b.o.state.EndRun(vm, r.Key(), how, "", b.now)
	b.o.state.Cancel(spec.ID, b.now)
	b.o.checkRunTimes(b.now)
}

func jobIDOf(n int) string {
	return strings.Repeat("0", 13) + string(rune('0'+n/100%10)) + string(rune('0'+n/10%10)) + string(rune('0'+n%10))
}

// Predicted quantiles cover the share of the runs that they state, also right after a change of owner: the
// next one predicts from its first run on.
func TestPredictionsContinueAfterChangeOfOwner(t *testing.T) {
	first := newEstimatesFixture(t, true, nil)
	for range 400 {
		first.run(t, tracker.EndDone)
	}
	value, err := first.o.load.estimator.Encode()
	if err != nil {
		t.Fatal(err)
	}
	next := newEstimatesFixture(t, true, map[string][]byte{"cells/jobs/run-times": value})
	for range 200 {
		next.run(t, tracker.EndDone)
	}
	for _, tt := range []struct {
		name  string
		b     *estimatesFixture
		least int
	}{{"before", first, 380}, {"after", next, 200}} {
		c := tt.b.o.load.runTimes.coverages["q"]
		if c == nil || c.runs < tt.least {
			t.Fatalf("%s: predictions of %+v, want %d", tt.name, c, tt.least)
		}
		for i, want := range []struct{ least, most float64 }{{0.42, 0.58}, {0.84, 0.95}, {0.96, 1}} {
			if share := float64(c.covered[i]) / float64(c.runs); share < want.least || share > want.most {
				t.Errorf("%s: %.3f of the runs are below the predicted quantile of %d %%", tt.name, share, predictedQuantiles[i])
			}
		}
	}
	var text bytes.Buffer
	first.metrics.WritePrometheus(&text)
	if !strings.Contains(text.String(), `bamboospread_run_times_covered_total{queue="q",quantile="90"}`) || !strings.Contains(first.log.String(), "covered-90=") {
		t.Errorf("coverage is not shown: %s", text.String())
	}
}

// Guards against predictions that are kept for runs that were stopped: memory would grow with each.
func TestPredictionsOfStoppedRunsAreDropped(t *testing.T) {
	b := newEstimatesFixture(t, true, nil)
	for range 40 {
		b.run(t, tracker.EndDone)
	}
	for range 20 {
		b.run(t, tracker.EndStopped)
	}
	if n := len(b.o.load.runTimes.predictions); n != 0 {
		t.Errorf("%d predictions are kept", n)
	}
}

// Without load control nothing is predicted, and rounds decide by declared durations.
func TestEstimatesOnlyWhereAskedFor(t *testing.T) {
	b := newEstimatesFixture(t, false, nil)
	for range 40 {
		b.run(t, tracker.EndDone)
	}
	if in := b.o.input(b.now); in.Estimator != nil || in.Service != nil || len(b.o.load.runTimes.coverages) > 0 {
		t.Errorf("estimates decide although they are not asked for")
	}
	for _, s := range b.o.snapshots() {
		if s.name == "run-times" {
			t.Error("run times are stored")
		}
	}
}

// Guards against a takeover that fails, or restores a part, because the snapshot is damaged: the owner logs
// why and learns anew.
func TestTakeoverWithDamagedRunTimes(t *testing.T) {
	b := newEstimatesFixture(t, true, map[string][]byte{"cells/jobs/run-times": []byte(`{"version":1,"groups":[{"queue":"q","at-ms":1,"support":20,"done":[[1,80]]},{"queue":"p","at-ms":1,"support":-1,"done":null}]}`)})
	if n := b.o.load.estimator.Size(); n != 0 {
		t.Errorf("%d groups restored", n)
	}
	if got := b.log.String(); !strings.Contains(got, "cells/jobs/run-times") || !strings.Contains(got, "support -1 is out of range") {
		t.Errorf("log: %s", got)
	}
	for range 40 {
		b.run(t, tracker.EndDone)
	}
	if c := b.o.load.runTimes.coverages["q"]; c == nil || c.runs == 0 {
		t.Error("the owner did not learn anew")
	}
}
