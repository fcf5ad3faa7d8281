package tallier

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	waitPeriods      = 10 // of equal length, into which the time of the logged waits is divided
	maxReasonsOfWait = 8  // that a table lists for a queue
)

// Wait is one reason for which the tasks of a queue waited.
type Wait struct {
	Queue    string `json:"queue"`
	Reason   string `json:"reason"`
	Lines    int    `json:"lines"`     // that give it
	VMRounds int    `json:"vm-rounds"` // sum of the VMs that it applied to, over the lines
	// Percent is its share of the queue's VM-rounds in each period of the time of the waits.
	Percent []int `json:"percent"`
}

// waitLine is a logged wait of a step.
type waitLine struct {
	job     string
	at      time.Time
	reasons []waitReason
}

type waitReason struct {
	text string
	vms  int
}

var (
	vmsPart = regexp.MustCompile(`^(\d+) (?:VMs|tasks) (.*)$`)
	// detail is the part of a reason that differs from one step to the next.
	detail = regexp.MustCompile(` while \S+ is observed| within \S+|: tasks of .* come first$`)
)

// parseCause splits the cause of a wait into its reasons. One that names no number of VMs counts
// once.
func parseCause(cause string) (reasons []waitReason) {
	for part := range strings.SplitSeq(cause, ", ") {
		r := waitReason{text: part, vms: 1}
		if m := vmsPart.FindStringSubmatch(part); m != nil {
			r.text = m[2]
			if n, err := strconv.Atoi(m[1]); err == nil {
				r.vms = n
			}
		}
		r.text = detail.ReplaceAllString(r.text, "")
		reasons = append(reasons, r)
	}
	return reasons
}

// sumWaits sums the logged waits by queue and reason, the most frequent reasons of a queue first.
func (t *Tallier) sumWaits() []Wait {
	type reasonOf struct{ queue, reason string }
	sums, rounds := make(map[reasonOf]*Wait), make(map[reasonOf][]int)
	totals := make(map[string][]int) // VM-rounds of each period, by queue
	first, last := t.timeOfWaits()
	for _, w := range t.waits {
		queue := t.job(w.job).queue
		period := min(int(waitPeriods*w.at.Sub(first)/max(last.Sub(first), 1)), waitPeriods-1)
		if totals[queue] == nil {
			totals[queue] = make([]int, waitPeriods)
		}
		for _, r := range w.reasons {
			k := reasonOf{queue, r.text}
			if sums[k] == nil {
				sums[k], rounds[k] = &Wait{Queue: queue, Reason: r.text}, make([]int, waitPeriods)
			}
			sums[k].Lines++
			sums[k].VMRounds += r.vms
			rounds[k][period] += r.vms
			totals[queue][period] += r.vms
		}
	}
	var all []Wait
	for k, w := range sums {
		for period, n := range rounds[k] {
			w.Percent = append(w.Percent, 100*n/max(totals[k.queue][period], 1))
		}
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(b.VMRounds, a.VMRounds), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// timeOfWaits returns the times of the first and the last logged wait.
func (t *Tallier) timeOfWaits() (first, last time.Time) {
	for _, w := range t.waits {
		if first.IsZero() || w.at.Before(first) {
			first = w.at
		}
		if w.at.After(last) {
			last = w.at
		}
	}
	return first, last
}

// writeWaits prints the most frequent reasons of each queue.
func writeWaits(w *tabwriter.Writer, waits []Wait) {
	fmt.Fprintf(w, "\nwhy steps waited (logged at a limited rate)\nqueue\treason\tlines\tVM-rounds\tpercent of the queue's VM-rounds, in each tenth of the time\n")
	listed := make(map[string]int)
	for _, s := range waits {
		if listed[s.Queue]++; listed[s.Queue] > maxReasonsOfWait {
			continue
		}
		shares := make([]string, len(s.Percent))
		for i, p := range s.Percent {
			shares[i] = strconv.Itoa(p)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", s.Queue, s.Reason, s.Lines, s.VMRounds, strings.Join(shares, " "))
	}
}
