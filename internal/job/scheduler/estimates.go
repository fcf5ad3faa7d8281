package scheduler

import (
	"maps"
	"slices"
	"time"

	"bamboospread/internal/job/estimator"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
)

// Intervals of what is kept of run times.
const (
	continuingInterval  = time.Second // between counts of the runs that continue
	serviceInterval     = 300 * time.Millisecond
	runTimesLogInterval = 5 * time.Second
)

// predictedQuantiles are the quantiles whose coverage is counted, in percent.
var predictedQuantiles = [...]int{50, 90, 99}

// prediction is the quantiles of a run time as predicted when the run was ordered.
type prediction [len(predictedQuantiles)]time.Duration

// coverage counts the completed runs of a queue with a prediction, and how many did not exceed each
// quantile.
type coverage struct {
	runs    int
	covered [len(predictedQuantiles)]int
}

// runTimes checks the predictions of run times and counts which jobs were served in time.
type runTimes struct {
	service      *planner.Service
	predictions  map[tracker.RunKey]prediction
	coverages    map[string]*coverage // by queue
	continuingAt time.Time            // when the runs that continue were last counted
	servedAt     time.Time            // when the service was last updated
	loggedAt     time.Time
}

func newRunTimes() *runTimes {
	return &runTimes{service: planner.NewService(), predictions: make(map[tracker.RunKey]prediction), coverages: make(map[string]*coverage)}
}

// sample returns what a run shows of run times.
func (l *loadControl) sample(r *tracker.Run, work time.Duration, now time.Time) estimator.Sample {
	s := r.Step()
	return estimator.Sample{
		Kind:     estimator.Kind{Queue: s.Occurrence.Job.Spec.Queue, Image: s.Spec.Image},
		Declared: s.Spec.Estimate(),
		Work:     specifier.Span(float64(work) * l.calibrator.Speed(r.VM.Name, now).Factor),
		Tasks:    len(s.Tasks),
		At:       now,
	}
}

// recordRunTime passes the run time of a completed run to the estimator.
func (l *loadControl) recordRunTime(r *tracker.Run, took time.Duration, now time.Time) {
	s := l.sample(r, r.Work(now), now)
	s.Took = took
	l.runTimes.check(r.Key(), s)
	l.estimator.Observe(s)
}

// recordStopped passes the run time of a run that was stopped to the estimator.
func (l *loadControl) recordStopped(r *tracker.Run, work time.Duration, now time.Time) {
	s := l.sample(r, work, now)
	s.Censored = true
	delete(l.runTimes.predictions, r.Key())
	l.estimator.Observe(s)
}

// check compares a completed run with its prediction.
func (t *runTimes) check(key tracker.RunKey, s estimator.Sample) {
	p, ok := t.predictions[key]
	if !ok {
		return
	}
	delete(t.predictions, key)
	c := t.coverages[s.Kind.Queue]
	if c == nil {
		c = &coverage{}
		t.coverages[s.Kind.Queue] = c
	}
	c.runs++
	for i, quantile := range p {
		if s.Work <= quantile {
			c.covered[i]++
		}
	}
}

// predictRunTime records the predicted run time of a run that is ordered, and logs why a copy is.
func (o *owner) predictRunTime(r *tracker.Run, start planner.Start) {
	s := r.Step()
	if !o.asked().Estimates || s.Spec.LongRunning {
		return
	}
	d := o.load.estimator.RunTime(estimator.Kind{Queue: s.Occurrence.Job.Spec.Queue, Image: s.Spec.Image}, s.Spec.Estimate())
	if d.Known() {
		var p prediction
		for i, percent := range predictedQuantiles {
			p[i] = d.Quantile(float64(percent) / 100)
		}
		o.load.runTimes.predictions[r.Key()] = p
	}
	if c := start.Straggler; c != nil {
		o.s.config.Metrics.copyOrdered(s.Occurrence.Job.Spec.Queue)
		o.s.config.Reporter.Report(reporter.CopyOrdered, reporter.Fields{
			"task": r.Key().Task.String(), "run": c.Run.Number, "vm": c.Run.VM.Name, "age": c.Age.String(), "progress": c.Run.Progress,
			"left": c.Left.String(), "new-run": c.NewRun.String(), "support": c.Support, "report-age": c.ReportAge.String(),
		})
	}
}

// checkRunTimes counts the runs that continue and the jobs served in time, and logs both.
func (o *owner) checkRunTimes(now time.Time) {
	if !o.asked().Estimates {
		return
	}
	t := o.load.runTimes
	if now.Sub(t.servedAt) >= serviceInterval {
		t.servedAt = now
		for _, c := range t.service.Update(o.state, now) {
			o.s.config.Reporter.Report(reporter.LargeJobsPreferred, reporter.Fields{
				"queue": c.Queue, "preferred": c.LargeFirst, "large-in-time": c.Large, "others-in-time": c.Rest, "large-over": c.Size,
			})
		}
	}
	if now.Sub(t.continuingAt) >= continuingInterval {
		t.continuingAt = now
		o.countContinuing(now)
	}
	if now.Sub(t.loggedAt) >= runTimesLogInterval {
		t.loggedAt = now
		o.logRunTimes()
	}
}

// countContinuing passes the runs that continue to the estimator and drops the predictions of runs
// that have been lost.
func (o *owner) countContinuing(now time.Time) {
	var samples []estimator.Sample
	known := make(map[tracker.RunKey]bool, len(o.load.runTimes.predictions))
	for _, vm := range o.state.VMs {
		for key, r := range vm.Runs {
			known[key] = true
			if r.Sampled() && vm.Attached {
				samples = append(samples, o.load.sample(r, r.Work(now), now))
			}
		}
	}
	o.load.estimator.SetContinuing(samples)
	maps.DeleteFunc(o.load.runTimes.predictions, func(key tracker.RunKey, _ prediction) bool { return !known[key] })
}

// logRunTimes logs and counts how well run times were predicted.
func (o *owner) logRunTimes() {
	t := o.load.runTimes
	for _, queue := range slices.Sorted(maps.Keys(t.coverages)) {
		c := t.coverages[queue]
		o.s.config.Metrics.runTimesCovered(queue, c)
		fields := reporter.Fields{"queue": queue, "runs": c.runs, "groups": o.load.estimator.Size(), "pace": o.load.estimator.Pace(queue)}
		for i, name := range [...]string{"covered-50", "covered-90", "covered-99"} {
			fields[name] = float64(c.covered[i]) / float64(c.runs)
		}
		o.s.config.Reporter.Report(reporter.RunTimesPredicted, fields)
	}
}
