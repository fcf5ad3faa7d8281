package controller

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
)

// TestHeldWhenLost cuts the agent of one of two VMs while prints run there, of
// which some end before the lease does and some would go on past it. The owner
// hears nothing and gives the attempts up. It can't know which prints are done,
// so the tenant sees them held; when the VM is back, what completed is taken as
// completed and runs no second time, and the rest resumes.
func TestHeldWhenLost(t *testing.T) {
	c := newCell(t, 2, 1)
	c.eventually("VMs known", func() bool { return len(c.status().VMs) == 2 })
	var ids []string
	for i := range 6 {
		run := int64(700)
		if i%2 == 1 {
			run = 4000
		}
		ids = append(ids, fmt.Sprintf("print-%d", i))
		c.submit(messenger.TaskSpec{ID: ids[i], Tenant: "caroni", Class: "prints", RunTimeMillis: run})
	}
	c.eventually("running", func() bool { return c.counts()[messenger.TaskRunning] == len(ids) })
	c.cutAgents[0].Store(true)
	c.eventually("given up", func() bool {
		for _, id := range ids {
			if c.task(id).VM == "vm0" {
				return false
			}
		}
		return true
	})
	time.Sleep(vmLease) // in which they would run elsewhere
	if held := c.counts()[messenger.TaskHeld]; held == 0 {
		t.Error("no task is held")
	}
	c.cutAgents[0].Store(false)
	c.eventually("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == len(ids) })
	c.checkWitness()
	for _, id := range ids {
		completions := 0
		for _, w := range c.workers {
			for _, e := range w.Events() {
				if e.Task == id && e.Event == worker.EventCompleted {
					completions++
				}
			}
		}
		if completions != 1 {
			t.Errorf("%s completed %d times", id, completions)
		}
	}
}

// TestSubmitRightAfterApply submits a task whose tenant was added by a change that
// the store has and the owner has not heard of. The submitter saw the change
// accepted; a refusal, which is final, would be wrong. A tenant that the store does
// not have either is refused.
func TestSubmitRightAfterApply(t *testing.T) {
	older := describer.New(describer.Config{Name: "test", Version: 1, Zones: []describer.Zone{{Name: "z0", State: describer.ZoneIn}}})
	c := newCellWith(t, 1, 1, func(config *Config) { config.Fleet = func() *describer.Fleet { return older } })
	if v := c.submit(messenger.TaskSpec{ID: "a", Tenant: "nobody", Class: "labels"})[0]; v.Accepted {
		t.Error("a tenant that is nowhere was accepted")
	}
	c.setFleet(2, "")
	if v := c.submit(messenger.TaskSpec{ID: "b", Tenant: "caroni", Class: "labels"})[0]; !v.Accepted {
		t.Errorf("refused: %s", v.Reason)
	}
}
