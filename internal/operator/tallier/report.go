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

// Row is what became of the jobs of a queue.
type Row struct {
	Queue      string        `json:"queue"`
	Accepted   int           `json:"accepted"`
	Done       int           `json:"done"`
	Failed     int           `json:"failed"`
	Cancelled  int           `json:"cancelled"`
	Open       int           `json:"open"` // at the end of the log
	NotStarted int           `json:"not-started"`
	First      Spread        `json:"first-start"` // from acceptance
	Whole      Spread        `json:"turnaround"`  // of those that are done
	Waiting    time.Duration `json:"waiting-ns"`  // of all tasks, until their starts
	Working    time.Duration `json:"working-ns"`  // of all runs that ended
	Redone     int           `json:"redone"`      // runs that did not end done
}

// Spread is a distribution of durations.
type Spread struct {
	Median time.Duration `json:"median-ns"`
	High   time.Duration `json:"p95-ns"`
	Most   time.Duration `json:"most-ns"`
}

// Count is how often something was told.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Tally is the sum of a log.
type Tally struct {
	Queues     []Row         `json:"queues"`
	Ends       []Count       `json:"ends"`     // of runs
	Stops      []Count       `json:"stops"`    // by cause
	Waits      []Count       `json:"waits"`    // of steps, by the cause told
	Refusals   []Count       `json:"refusals"` // by reason
	Ownerless  time.Duration `json:"ownerless-ns"`
	Unreadable int           `json:"unreadable-lines"`
}

// Tally returns the sum of what was read.
func (t *Tallier) Tally() Tally {
	rows := make(map[string]*Row)
	first, whole := make(map[string][]time.Duration), make(map[string][]time.Duration)
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
			first[j.queue] = append(first[j.queue], j.started.Sub(j.accepted))
		}
		if !j.accepted.IsZero() && j.state == "done" {
			whole[j.queue] = append(whole[j.queue], j.ended.Sub(j.accepted))
		}
	}
	sum := Tally{
		Ends: counts(t.ends), Stops: counts(t.causes), Waits: counts(t.waits), Refusals: counts(t.refusals),
		Ownerless: t.ownerless, Unreadable: t.unreadable,
	}
	for _, queue := range slices.Sorted(maps.Keys(rows)) {
		r := rows[queue]
		r.First, r.Whole = spreadOf(first[queue]), spreadOf(whole[queue])
		sum.Queues = append(sum.Queues, *r)
	}
	return sum
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
	r.Waiting += j.waited
	r.Working += j.working
	r.Redone += j.redone
}

func spreadOf(all []time.Duration) Spread {
	if len(all) == 0 {
		return Spread{}
	}
	slices.Sort(all)
	return Spread{Median: all[len(all)/2], High: all[len(all)*95/100], Most: all[len(all)-1]}
}

func counts(m map[string]int) []Count {
	var all []Count
	for name, n := range m {
		all = append(all, Count{name, n})
	}
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Write prints the sum as tables.
func (t Tally) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "queue\taccepted\tdone\tfailed\tcancelled\topen\tnot started\tfirst start p50\tp95\tmost\tturnaround p50\tp95\tmost\ttasks waited\tworked\tredone")
	for _, r := range t.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Queue, r.Accepted, r.Done, r.Failed, r.Cancelled, r.Open, r.NotStarted,
			short(r.First.Median), short(r.First.High), short(r.First.Most), short(r.Whole.Median), short(r.Whole.High), short(r.Whole.Most), short(r.Waiting), short(r.Working), r.Redone)
	}
	for _, part := range []struct {
		title string
		rows  []Count
	}{{"runs ended", t.Ends}, {"stops decided", t.Stops}, {"steps that waited (told at a bounded rate)", t.Waits}, {"refused", t.Refusals}} {
		fmt.Fprintf(w, "\n%s\n", part.title)
		for _, c := range part.rows {
			fmt.Fprintf(w, "%d\t%s\n", c.Count, c.Name)
		}
	}
	fmt.Fprintf(w, "\nwithout an owner\t%s\nlines that are no events\t%d\n", short(t.Ownerless), t.Unreadable)
	return w.Flush()
}

func short(d time.Duration) string { return d.Round(time.Millisecond).String() }
