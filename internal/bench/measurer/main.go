// Command bench compares placement policies under interference with their baselines,
// on a small simulated worker pool with the VM sizes of both users. It writes CSV
// files and plots.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"

	"bamboospread/internal/fleet/describer"
)

// outcome is the result of one run.
type outcome struct {
	user    string
	variant string
	seed    uint64
	tally   *tally
}

func main() {
	seeds := flag.Int("seeds", 10, "number of seeds, starting at 1")
	out := flag.String("out", "build/bench", "directory for CSV and SVG files")
	parallel := flag.Int("parallel", 4, "number of parallel runs")
	only := flag.String("only", "", "variants to run, separated by semicolons; empty: all")
	flag.Parse()
	outcomes := runAll(*seeds, *parallel, *only)
	if err := writeResults(*out, outcomes); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// runAll runs every combination of user, variant and seed.
func runAll(seeds, parallel int, only string) []outcome {
	var outcomes []outcome
	var jobs []func()
	for _, u := range users() {
		for _, v := range variants() {
			if only != "" && !slices.Contains(strings.Split(only, ";"), v.name) {
				continue
			}
			if v.weights != nil && sameWeights(*v.weights, u.policy) {
				continue // same as the variant "learned"
			}
			for seed := range seeds {
				outcomes = append(outcomes, outcome{user: u.name, variant: v.name, seed: uint64(seed + 1)})
				i := len(outcomes) - 1
				jobs = append(jobs, func() {
					outcomes[i].tally = newRunner(u, v, uint64(seed+1)).run()
				})
			}
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, job := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			job()
			<-slots
		})
	}
	wg.Wait()
	return outcomes
}

func sameWeights(a, b describer.Policy) bool {
	a.EvictionsPerMinute = b.EvictionsPerMinute
	return a == b
}
