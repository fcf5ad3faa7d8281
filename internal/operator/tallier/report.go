package tallier

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Row summarizes the jobs of a queue.
type Row struct {
	Queue            string        `json:"queue"`
	Accepted         int           `json:"accepted"`
	Done             int           `json:"done"`
	Failed           int           `json:"failed"`
	Cancelled        int           `json:"cancelled"`
	Open             int           `json:"open"` // not ended at the end of the log
	NotStarted       int           `json:"not-started"`
	FirstStart       Distribution  `json:"first-start"` // measured from acceptance
	Turnaround       Distribution  `json:"turnaround"`  // of jobs that are done
	WaitTime         time.Duration `json:"waiting-ns"`  // of all tasks, until they start
	RunTime          time.Duration `json:"working-ns"`  // of all runs that ended
	UnsuccessfulRuns int           `json:"redone"`      // runs that did not end as done
}

// Distribution summarizes a set of durations.
type Distribution struct {
	Median time.Duration `json:"median-ns"`
	P95    time.Duration `json:"p95-ns"`
	Max    time.Duration `json:"most-ns"`
}

// Count is how often a value was logged.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Tally summarizes a log.
type Tally struct {
	Queues          []Row         `json:"queues"`
	RunEnds         []Count       `json:"ends"`     // of runs, by how they ended
	StopCauses      []Count       `json:"stops"`    // of runs, by cause
	Waits           []Wait        `json:"waits"`    // of steps, by queue and reason
	RefusalReasons  []Count       `json:"refusals"` // of jobs, by reason
	Delays          []Delay       `json:"delays"`   // between processes
	Ownerless       time.Duration `json:"ownerless-ns"`
	UnreadableLines int           `json:"unreadable-lines"`
	OverlongLines   int           `json:"overlong-lines"` // skipped
}

// Tally returns the summary of all lines read so far.
func (t *Tallier) Tally() Tally {
	rows := make(map[string]*Row)
	firstStart, turnaround := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for _, j := range t.jobs {
		if j.queue == "" {
			continue // accepted before the log begins
		}
		r := rows[j.queue]
		if r == nil {
			r = &Row{Queue: j.queue}
			rows[j.queue] = r
		}
		r.add(j)
		if !j.accepted.IsZero() && !j.started.IsZero() {
			firstStart[j.queue] = append(firstStart[j.queue], j.started.Sub(j.accepted))
		}
		if !j.accepted.IsZero() && j.state == "done" {
			turnaround[j.queue] = append(turnaround[j.queue], j.ended.Sub(j.accepted))
		}
	}
	tally := Tally{
		RunEnds: sortCounts(t.runEnds), StopCauses: sortCounts(t.stopCauses), Waits: t.sumWaits(), RefusalReasons: sortCounts(t.refusalReasons), Delays: t.delays.all(),
		Ownerless: t.ownerless, UnreadableLines: t.unreadableLines, OverlongLines: t.overlongLines,
	}
	for _, queue := range slices.Sorted(maps.Keys(rows)) {
		r := rows[queue]
		r.FirstStart, r.Turnaround = distributionOf(firstStart[queue]), distributionOf(turnaround[queue])
		tally.Queues = append(tally.Queues, *r)
	}
	return tally
}

func (r *Row) add(j *job) {
	r.Accepted++
	switch j.state {
	case "done":
		r.Done++
	case "failed":
		r.Failed++
	case "cancelled":
		r.Cancelled++
	default:
		r.Open++
		if j.started.IsZero() {
			r.NotStarted++
		}
	}
	r.WaitTime += j.waitTime
	r.RunTime += j.runTime
	r.UnsuccessfulRuns += j.unsuccessfulRuns
}

func distributionOf(all []time.Duration) Distribution {
	if len(all) == 0 {
		return Distribution{}
	}
	slices.Sort(all)
	return Distribution{Median: all[len(all)/2], P95: all[len(all)*95/100], Max: all[len(all)-1]}
}

func sortCounts(m map[string]int) []Count {
	var all []Count
	for name, n := range m {
		all = append(all, Count{name, n})
	}
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Write prints the summary as tables.
func (t Tally) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "queue\taccepted\tdone\tfailed\tcancelled\topen\tnot started\tfirst start p50\tp95\tmax\tturnaround p50\tp95\tmax\ttask wait\trun time\truns not done")
	for _, r := range t.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Queue, r.Accepted, r.Done, r.Failed, r.Cancelled, r.Open, r.NotStarted,
			formatDuration(r.FirstStart.Median), formatDuration(r.FirstStart.P95), formatDuration(r.FirstStart.Max), formatDuration(r.Turnaround.Median), formatDuration(r.Turnaround.P95), formatDuration(r.Turnaround.Max), formatDuration(r.WaitTime), formatDuration(r.RunTime), r.UnsuccessfulRuns)
	}
	for _, part := range []struct {
		title string
		rows  []Count
	}{{"runs ended", t.RunEnds}, {"stops decided", t.StopCauses}, {"refused", t.RefusalReasons}} {
		fmt.Fprintf(w, "\n%s\n", part.title)
		for _, c := range part.rows {
			fmt.Fprintf(w, "%d\t%s\n", c.Count, c.Name)
		}
	}
	writeWaits(w, t.Waits)
	if len(t.Delays) > 0 {
		fmt.Fprintln(w, "\ndelays between processes\tcount\tp50\tp95\tmax")
	}
	for _, d := range t.Delays {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", d.Name, d.Count, formatDuration(d.Median), formatDuration(d.P95), formatDuration(d.Max))
	}
	fmt.Fprintf(w, "\nwithout an owner\t%s\nlines without an event\t%d\noverlong lines skipped\t%d\n", formatDuration(t.Ownerless), t.UnreadableLines, t.OverlongLines)
	return w.Flush()
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
