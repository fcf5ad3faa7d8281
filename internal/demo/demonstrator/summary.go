package demonstrator

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"bamboospread/internal/standin/worker"
)

// Summary holds the counts of callers and stand-ins.
type Summary struct {
	RequestsSent      int     `json:"requests-sent"`
	RequestsAnswered  int     `json:"requests-answered"`
	RequestsRefused   int     `json:"requests-refused"`
	RequestsWrong     int     `json:"requests-wrong"` // not the caller's own answer, or incomplete
	TasksSubmitted    int     `json:"tasks-submitted"`
	TasksCompleted    int     `json:"tasks-completed"`
	TasksRunTwice     int     `json:"tasks-run-twice"` // completed twice, or had two attempts at the same time
	Evictions         int     `json:"evictions"`
	StartsInZoneOut   int     `json:"starts-in-zone-out"` // more than 3 s after the change
	OverCommitted     int     `json:"vms-over-committed"`
	JobState          string  `json:"job-state"`
	JobTasksDone      int     `json:"job-tasks-done"`
	JobTasksTwice     int     `json:"job-tasks-run-twice"`
	JobTasksEarly     int     `json:"job-tasks-early"` // started before the step that they depend on was done
	LatencyP50Millis  float64 `json:"latency-p50-ms"`
	LatencyP99Millis  float64 `json:"latency-p99-ms"`
	StoreCalls        int64   `json:"store-calls"`
	DurationMillis    int64   `json:"duration-ms"`
	GuaranteesHold    bool    `json:"promises-kept"`
	TasksNotCompleted int     `json:"tasks-not-completed"`
}

// workerCounts holds the counts of the workers.
type workerCounts struct {
	completed, twice, evictions, inZoneOut, overCommitted int
}

// countTasks counts tasks in the events of all workers.
func (d *Demonstrator) countTasks(obs *observations) workerCounts {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	var w workerCounts
	completions := make(map[string]int)
	running := make(map[string]int)
	for _, e := range d.events() {
		if e.OverCommitted {
			w.overCommitted++
		}
		switch e.Event {
		case worker.EventStart:
			running[e.Task]++
			if running[e.Task] > 1 {
				w.twice++
			}
			if e.Zone == zoneOutName && obs.isForbiddenStart(e.Time) {
				w.inZoneOut++
			}
		case worker.EventCheckpointed:
			w.evictions++
			running[e.Task]--
		case worker.EventCompleted:
			completions[e.Task]++
			running[e.Task]--
		default:
			running[e.Task]--
		}
	}
	for task, n := range completions {
		if n > 1 {
			w.twice++
		}
		if obs.submitted[task] {
			w.completed++
		}
	}
	return w
}

// isForbiddenStart reports whether a start in the zone at the given time violates the guarantee.
func (o *observations) isForbiddenStart(at time.Time) bool {
	return !o.zoneOut.IsZero() && at.After(o.zoneOut.Add(zoneOutGrace)) && (o.zoneIn.IsZero() || at.Before(o.zoneIn))
}

// events returns the events of all workers, oldest first.
func (d *Demonstrator) events() []worker.Event {
	var all []worker.Event
	for _, w := range d.workers {
		all = append(all, w.Events()...)
	}
	sortEvents(all)
	return all
}

func (d *Demonstrator) summarize(obs *observations) Summary {
	w := d.countTasks(obs)
	obs.mu.Lock()
	defer obs.mu.Unlock()
	job := d.countJob(obs.jobState)
	sortDurations(obs.latencies)
	s := Summary{
		RequestsSent: obs.sent, RequestsAnswered: obs.answered, RequestsRefused: obs.refused, RequestsWrong: obs.wrong,
		TasksSubmitted: len(obs.submitted), TasksCompleted: w.completed, TasksRunTwice: w.twice,
		Evictions: w.evictions, StartsInZoneOut: w.inZoneOut, OverCommitted: w.overCommitted,
		JobState: job.state, JobTasksDone: job.done, JobTasksTwice: job.twice, JobTasksEarly: job.early,
		LatencyP50Millis: millis(percentile(obs.latencies, 0.5)), LatencyP99Millis: millis(percentile(obs.latencies, 0.99)),
		DurationMillis: time.Since(d.startedAt).Milliseconds(),
	}
	for _, n := range d.store.Calls().Calls {
		s.StoreCalls += n
	}
	s.TasksNotCompleted = s.TasksSubmitted - s.TasksCompleted
	s.GuaranteesHold = s.RequestsWrong == 0 && s.TasksRunTwice == 0 && s.StartsInZoneOut == 0 &&
		s.OverCommitted == 0 && job.guaranteesHold() && s.TasksNotCompleted == 0 &&
		s.RequestsAnswered+s.RequestsRefused == s.RequestsSent
	return s
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Print writes the summary for people.
func (s Summary) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\t%d sent, %d answered, %d refused, %d wrong\n",
		s.RequestsSent, s.RequestsAnswered, s.RequestsRefused, s.RequestsWrong)
	fmt.Fprintf(table, "latency\tp50 %.1f ms, p99 %.1f ms\n", s.LatencyP50Millis, s.LatencyP99Millis)
	fmt.Fprintf(table, "tasks\t%d submitted, %d completed, %d run twice, %d evictions\n",
		s.TasksSubmitted, s.TasksCompleted, s.TasksRunTwice, s.Evictions)
	fmt.Fprintf(table, "job\t%s, %d of %d tasks done, %d run twice, %d too early\n",
		s.JobState, s.JobTasksDone, jobTaskCount(), s.JobTasksTwice, s.JobTasksEarly)
	fmt.Fprintf(table, "zone out\t%d starts more than %s after it was taken out\n", s.StartsInZoneOut, zoneOutGrace)
	fmt.Fprintf(table, "VMs\t%d times over-committed\n", s.OverCommitted)
	fmt.Fprintf(table, "store\t%d calls\n", s.StoreCalls)
	result := "all guarantees hold"
	if !s.GuaranteesHold {
		result = "A GUARANTEE WAS VIOLATED"
	}
	fmt.Fprintf(table, "result\t%s\n", result)
	// An error here means that the output is closed; there is nowhere to report it.
	_ = table.Flush()
}

func sortEvents(events []worker.Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time.Before(events[j].Time) })
}
