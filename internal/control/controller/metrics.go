package controller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/wire/messenger"
)

// cellMetrics holds the metrics of a cell.
type cellMetrics struct {
	set       *metrics.Set
	cell      string
	submitted *metrics.Counter
	starts    *metrics.Counter
	evictions *metrics.Counter
	appends   *metrics.Counter
	contacts  *metrics.Counter
	group     *metrics.Histogram
	append    *metrics.Histogram
	round     *metrics.Histogram
}

func newCellMetrics(set *metrics.Set, cell string) cellMetrics {
	name := func(metric string) string { return fmt.Sprintf("bamboospread_cell_%s{cell=%q}", metric, cell) }
	return cellMetrics{
		set: set, cell: cell,
		submitted: set.GetOrCreateCounter(name("tasks_submitted_total")),
		starts:    set.GetOrCreateCounter(name("starts_total")),
		evictions: set.GetOrCreateCounter(name("evictions_total")),
		appends:   set.GetOrCreateCounter(name("journal_appends_total")),
		contacts:  set.GetOrCreateCounter(name("store_contacts_total")),
		group:     set.GetOrCreateHistogram(name("journal_group_records")),
		append:    set.GetOrCreateHistogram(name("journal_append_seconds")),
		round:     set.GetOrCreateHistogram(name("placement_round_seconds")),
	}
}

// observeStartWait records how long a batch task waited for its first start.
func (m cellMetrics) observeStartWait(s messenger.TaskSpec, d time.Duration) {
	m.observeTask("start_wait", s, d)
}

// observeTurnaround records how long a batch task took from submission to completion.
func (m cellMetrics) observeTurnaround(s messenger.TaskSpec, d time.Duration) {
	m.observeTask("turnaround", s, d)
}

// observeTask updates a histogram of batch tasks. The fleet text limits the number of
// tenants and classes, and with them the number of label values.
func (m cellMetrics) observeTask(metric string, s messenger.TaskSpec, d time.Duration) {
	if s.Service != "" {
		return
	}
	name := fmt.Sprintf("bamboospread_task_%s_seconds{cell=%q,tenant=%q,class=%q}", metric, m.cell, s.Tenant, s.Class)
	m.set.GetOrCreateHistogram(name).Update(d.Seconds())
}

// countEnded counts an ended attempt by the next state of its task.
func (m cellMetrics) countEnded(next messenger.TaskState) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bamboospread_cell_attempts_ended_total{cell=%q,next=%q}", m.cell, next)).Inc()
}
