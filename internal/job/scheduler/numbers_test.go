package scheduler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/invoker"
)

// countedStarts is a task whose starts reach a stand-in worker and are stopped there at once, as those without an
// answer are.
type countedStarts struct {
	*replay
	worker  *executor.Executor
	numbers []int64 // of its runs
	refused int
}

func newCountedStarts(t *testing.T) *countedStarts {
	t.Helper()
	c := &countedStarts{replay: newReplayOf(t, 1, replayStep, 0)}
	c.worker = executor.New(executor.Config{VM: "vm-00", Now: func() time.Time { return c.now }})
	c.accepts = func(start messenger.WorkOrder) bool {
		c.numbers = append(c.numbers, start.Run)
		if !c.call(invoker.PathStart, invoker.Start{Task: start.Task, Run: start.Run, Epoch: c.epoch, LeaseMillis: 1 << 40}) {
			c.refused++
		}
		c.call(invoker.PathStop, invoker.Stop{Task: start.Task, Run: start.Run, Epoch: c.epoch})
		return false
	}
	c.submit("urgent", specifier.Step{Count: 1, Needs: specifier.Resources{CPUMillis: 1000, MemoryMB: 100}, EstimateMillis: 60_000, LongRunning: true})
	return c
}

// call reports whether the worker has accepted a call.
func (c *countedStarts) call(path string, params any) bool {
	c.t.Helper()
	body, err := json.Marshal(params)
	if err != nil {
		c.t.Fatal(err)
	}
	a := httptest.NewRecorder()
	c.worker.Handler().ServeHTTP(a, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))))
	return a.Code == http.StatusOK
}

// startTimes lets the owner start the task so many times more.
func (c *countedStarts) startTimes(n int) {
	c.t.Helper()
	want := len(c.numbers) + n
	if !c.runUntil(time.Duration(n)*10*time.Second+time.Minute, func() bool { return len(c.numbers) >= want }) {
		c.t.Fatalf("%d starts, want %d", len(c.numbers), want)
	}
}

// Guards against a task that nothing starts for long: an owner has started it more often than an epoch has numbers,
// and the next owner numbers its runs lower, so that the worker refuses them as old.
func TestStartsOfNextOwnerAreAccepted(t *testing.T) {
	for _, starts := range []int{1, 999, 1000, 1001, 1500, 4200} {
		c := newCountedStarts(t)
		for owner := range 3 {
			c.startTimes(starts)
			if c.refused > 0 {
				t.Errorf("%d starts by each owner: %d of owner %d are refused; the last run has the number %d", starts, c.refused, owner, c.numbers[len(c.numbers)-1])
				break
			}
			c.replaceOwner(time.Second)
		}
	}
}

// Guards against numbers that the next owner has too: the epoch that they belong to could not be stored.
func TestNumbersAreUsedOnceTheyAreStored(t *testing.T) {
	c := newCountedStarts(t)
	c.startTimes(runsPerEpoch/2 + 1) // one write has taken a further epoch
	c.store.down = true
	c.run(10 * time.Minute)
	if last := c.numbers[len(c.numbers)-1]; last != 2*runsPerEpoch {
		t.Errorf("the last run has the number %d while the store takes nothing, want %d", last, 2*runsPerEpoch)
	}
	c.store.down = false
	c.startTimes(1)
	c.replaceOwner(time.Second)
	c.startTimes(1)
	if c.refused > 0 {
		t.Errorf("%d starts are refused", c.refused)
	}
}

// Guards against a store call for each start.
func TestTakingNumbersTakesFewWrites(t *testing.T) {
	const starts = 3000
	c := newCountedStarts(t)
	writes := 0
	c.store.refuses = func(p keeper.Put) error {
		if p.Key == "cells/jobs/epoch" {
			writes++
		}
		return nil
	}
	c.startTimes(starts)
	if most := starts/runsPerEpoch + 1; writes > most {
		t.Errorf("%d writes for %d starts, want at most %d", writes, starts, most)
	}
}

// Guards against starts that are refused after an owner of an earlier build, which took no numbers, and against one
// that follows an owner of this build: it raises the epoch by one and numbers runs from there.
func TestNumbersBesideOwnersOfEarlierBuilds(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		c := newCountedStarts(t)
		task := c.owner.state.Jobs[fmt.Sprintf("%016x", c.jobs)].Occurrences[0].Steps[0].Tasks[0]
		task.LastNumber = 2700 // a worker has reported a run of it
		c.owner.numbers.most = 1_000_000
		c.startTimes(1)
		if c.numbers[0] != 2701 {
			t.Fatalf("the first run has the number %d", c.numbers[0])
		}
		c.replaceOwner(time.Second)
		c.startTimes(1)
		if c.refused > 0 || c.numbers[1] <= c.numbers[0] {
			t.Errorf("%d starts are refused, the numbers are %v", c.refused, c.numbers)
		}
	})
	t.Run("after", func(t *testing.T) {
		c := newCountedStarts(t)
		c.startTimes(1500)
		record, err := c.store.calls().GetRecord(t.Context(), "cells/jobs/epoch")
		if err != nil {
			t.Fatal(err)
		}
		var epoch int64
		if err := json.Unmarshal(record.Value, &epoch); err != nil {
			t.Fatal(err)
		}
		// The floor of the next owner, as earlier builds compute it.
		if floor, last := epoch*runsPerEpoch, c.numbers[len(c.numbers)-1]; floor < last || epoch > record.Revision {
			t.Errorf("its floor is %d after a run with the number %d; epoch %d at revision %d", floor, last, epoch, record.Revision)
		}
	})
}

// Guards against starts that wait for ever, and an epoch that is taken for unreadable: a report names a number that
// no owner can have given.
func TestImpossibleNumberTakesNoEpochs(t *testing.T) {
	c := newCountedStarts(t)
	task := c.owner.state.Jobs[fmt.Sprintf("%016x", c.jobs)].Occurrences[0].Steps[0].Tasks[0]
	task.LastNumber = 1 << 60
	c.startTimes(3)
	if taken := c.owner.numbers.taken.Load(); taken != c.epoch {
		t.Errorf("epochs up to %d are taken, by the owner with epoch %d", taken, c.epoch)
	}
}

// Guards against inherited jobs that wait again for a lost VM: the record of silent members is not of the epoch before
// the next owner's.
func TestSilencesAreStoredOfTheLastEpochTaken(t *testing.T) {
	c := newCountedStarts(t)
	c.startTimes(1500)
	if err := c.owner.writeSilences(t.Context(), map[string]int64{"vm-99": 2000}); err != nil {
		t.Fatal(err)
	}
	c.replaceOwner(time.Second)
	if _, ok := c.owner.silences.earlier["vm-99"]; !ok {
		t.Errorf("the owner with epoch %d does not use the record of its predecessor", c.epoch)
	}
}
