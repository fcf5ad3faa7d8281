package main

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sort"
)

// baseline is the variant to which ratios refer.
const baseline = "static-headroom"

// measure is a metric of a run.
type measure struct {
	name  string
	value func(*tally) float64
	ratio bool // also shown as a ratio to the baseline
}

func measures() []measure {
	return []measure{
		{"p99", (*tally).p99, true},
		{"work", func(t *tally) float64 { return t.work }, true},
		{"missed", (*tally).missedShare, false},
		{"tasks", func(t *tally) float64 { return float64(t.completed) }, true},
		{"evictions", func(t *tally) float64 { return float64(t.evictions) }, false},
		{"drained", func(t *tally) float64 { return float64(t.drained) }, false},
		{"zone-work", func(t *tally) float64 { return t.zoneWork }, true},
		{"zone-p99", (*tally).zoneP99, true},
		{"lost", func(t *tally) float64 { return float64(t.lost) }, false},
		{"throttles", func(t *tally) float64 { return float64(t.throttles) }, false},
		{"held", (*tally).committedShare, false},
		{"slowed", (*tally).throttledShare, false},
		{"worst-class", (*tally).worstClass, false},
		{"broken", func(t *tally) float64 { return float64(t.violations) }, false},
	}
}

// writeResults prints a table for each user and writes the CSV file and the plots.
func writeResults(folder string, outcomes []outcome) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create results directory: %w", err)
	}
	if err := writeCSV(filepath.Join(folder, "placement.csv"), outcomes); err != nil {
		return err
	}
	for _, u := range users() {
		rows := summarize(u.name, outcomes)
		printTable(u.name, rows)
		if err := plotTradeOff(filepath.Join(folder, "placement-"+u.name+".svg"), u.name, outcomes); err != nil {
			return err
		}
	}
	return nil
}

func writeCSV(path string, outcomes []outcome) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	defer f.Close()
	w := csv.NewWriter(f)
	header := []string{"user", "variant", "seed"}
	for _, m := range measures() {
		header = append(header, m.name)
	}
	_ = w.Write(header)
	for _, o := range outcomes {
		line := []string{o.user, o.variant, fmt.Sprint(o.seed)}
		for _, m := range measures() {
			line = append(line, fmt.Sprintf("%.4g", m.value(o.tally)))
		}
		_ = w.Write(line)
	}
	w.Flush()
	return w.Error()
}

// row summarizes the runs of a variant over all seeds.
type row struct {
	variant string
	means   map[string]float64
	ratios  map[string]spread // to the run of the baseline with the same seed
}

// spread is the median and the extremes of values.
type spread struct{ low, median, high float64 }

func summarize(user string, outcomes []outcome) []row {
	base := make(map[uint64]*tally)
	for _, o := range outcomes {
		if o.user == user && o.variant == baseline {
			base[o.seed] = o.tally
		}
	}
	var rows []row
	for _, v := range variants() {
		r := row{variant: v.name, means: make(map[string]float64), ratios: make(map[string]spread)}
		for _, m := range measures() {
			var values, ratios []float64
			for _, o := range outcomes {
				if o.user == user && o.variant == v.name {
					values = append(values, m.value(o.tally))
					if base[o.seed] != nil {
						ratios = append(ratios, m.value(o.tally)/m.value(base[o.seed]))
					}
				}
			}
			r.means[m.name] = mean(values)
			r.ratios[m.name] = newSpread(ratios)
		}
		if r.means["work"] > 0 {
			rows = append(rows, r)
		}
	}
	return rows
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v / float64(len(values))
	}
	return sum
}

func newSpread(values []float64) spread {
	sort.Float64s(values)
	n := len(values)
	if n == 0 {
		return spread{math.NaN(), math.NaN(), math.NaN()}
	}
	return spread{values[0], (values[(n-1)/2] + values[n/2]) / 2, values[n-1]}
}

func printTable(user string, rows []row) {
	fmt.Printf("\n%s: mean over the seeds; ratio to %s: median (least to greatest)\n\n", user, baseline)
	header, separator := "| variant |", "|---|"
	for _, m := range measures() {
		header, separator = header+" "+m.name+" |", separator+"---|"
	}
	fmt.Println(header)
	fmt.Println(separator)
	for _, r := range rows {
		line := "| " + r.variant + " |"
		for _, m := range measures() {
			cell := fmt.Sprintf("%.4g", r.means[m.name])
			if s := r.ratios[m.name]; m.ratio && r.variant != baseline {
				cell += fmt.Sprintf("; x%.2f (%.2f to %.2f)", s.median, s.low, s.high)
			}
			line += " " + cell + " |"
		}
		fmt.Println(line)
	}
}
