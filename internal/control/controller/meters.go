package controller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/wire/messenger"
)

// meters are the metrics of a cell.
type meters struct {
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

func newMeters(set *metrics.Set, cell string) meters {
	name := func(metric string) string { return fmt.Sprintf("bamboospread_cell_%s{cell=%q}", metric, cell) }
	return meters{
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

// waited notes how long a batch task waited for its first start, and turned
// round how long it took from its submission to its completion. Tenants and
// classes are bounded by the fleet text, so the labels are too.
func (m meters) waited(s messenger.TaskSpec, d time.Duration)      { m.task("start_wait", s, d) }
func (m meters) turnedRound(s messenger.TaskSpec, d time.Duration) { m.task("turnaround", s, d) }

func (m meters) task(metric string, s messenger.TaskSpec, d time.Duration) {
	if s.Service != "" {
		return
	}
	name := fmt.Sprintf("bamboospread_task_%s_seconds{cell=%q,tenant=%q,class=%q}", metric, m.cell, s.Tenant, s.Class)
	m.set.GetOrCreateHistogram(name).Update(d.Seconds())
}

func (m meters) ended(next messenger.TaskState) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bamboospread_cell_attempts_ended_total{cell=%q,next=%q}", m.cell, next)).Inc()
}
