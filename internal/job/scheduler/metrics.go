package scheduler

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/tracker"
)

// Metrics counts an owner's decisions. A nil Metrics counts nothing.
type Metrics struct {
	set    *metrics.Set
	labels accountLabels
}

// NewMetrics returns a Metrics that registers its metrics in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, labels: accountLabels{gauges: make(map[string]bool), named: make(map[string]bool), counted: make(map[string]bool)}}
}

func (m *Metrics) runEnded(outcome tracker.End) {
	if m != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_job_runs_ended_total{how=%q}`, outcome)).Inc()
	}
}

func (m *Metrics) runStarted(r *tracker.Run, now time.Time) {
	if m == nil {
		return
	}
	queue := r.Step().Occurrence.Job.Spec.Queue
	m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_job_starts_total{queue=%q}`, queue)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bamboospread_job_wait_seconds{queue=%q}`, queue)).Update(r.Task.CapacityWait(now).Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bamboospread_job_dependency_wait_seconds{queue=%q}`, queue)).Update(r.Task.DependencyWait().Seconds())
}

func (m *Metrics) jobEnded(j *tracker.Job, now time.Time) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_jobs_ended_total{queue=%q,state=%q}`, j.Spec.Queue, j.State)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bamboospread_job_turnaround_seconds{queue=%q}`, j.Spec.Queue)).Update(now.Sub(j.Spec.Due(0)).Seconds())
}

// runsOverlapped counts a task that was found to have two runs, though its step allows no copies.
func (m *Metrics) runsOverlapped() {
	if m != nil {
		m.set.GetOrCreateCounter("bamboospread_job_runs_overlapping_total").Inc()
	}
}

func (m *Metrics) stopsOverdue(runs int) {
	if m != nil {
		m.set.GetOrCreateGauge("bamboospread_job_stops_overdue", nil).Set(float64(runs))
	}
}

// decisionMade records the time that a kind of decision of the owner has taken.
func (m *Metrics) decisionMade(name string, took time.Duration) {
	if m != nil {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`bamboospread_job_decision_seconds{decision=%q}`, name)).Update(took.Seconds())
	}
}

func (m *Metrics) progressWritten(took time.Duration) {
	if m != nil {
		m.set.GetOrCreateHistogram("bamboospread_job_progress_write_seconds").Update(took.Seconds())
	}
}

// recordUnreadable counts a record of the store of a kind that can't be read.
func (m *Metrics) recordUnreadable(kind string) {
	if m != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_job_records_unreadable_total{record=%q}`, kind)).Inc()
	}
}

// largestRecord sets the size of the largest record of a kind.
func (m *Metrics) largestRecord(kind string, bytes int) {
	if m != nil {
		m.set.GetOrCreateGauge(fmt.Sprintf(`bamboospread_job_largest_record_bytes{record=%q}`, kind), nil).Set(float64(bytes))
	}
}

// runTimesCovered sets how many run times of a queue were predicted, and how many did not exceed each
// predicted quantile.
func (m *Metrics) runTimesCovered(queue string, c *coverage) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_run_times_predicted_total{queue=%q}`, queue)).Set(uint64(c.runs))
	for i, n := range c.covered {
		m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_run_times_covered_total{queue=%q,quantile="%d"}`, queue, predictedQuantiles[i])).Set(uint64(n))
	}
}

func (m *Metrics) admittedAboveBound(queue string) {
	if m != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_admission_overshoot_total{queue=%q}`, queue)).Inc()
	}
}

func (m *Metrics) startOverdue(queue string) {
	if m != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_admission_starts_overdue_total{queue=%q}`, queue)).Inc()
	}
}

func (m *Metrics) copyOrdered(queue string) {
	if m != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_job_copies_total{queue=%q}`, queue)).Inc()
	}
}
