package controller

import (
	"fmt"
	"testing"

	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
)

// TestHeldWhenLost cuts the agents of all VMs while prints run there that end
// before the leases do, or go on past them. The owner hears nothing and gives the
// attempts up. It can't know which prints are done, so the tenant sees them held;
// when the VMs are back, what completed is taken as completed and runs no second
// time, and the rest resumes. Without the hold, prints that completed unheard
// ran again.
func TestHeldWhenLost(t *testing.T) {
	c := newCell(t, 2, 1)
	const short, long = 3, 3
	var specs []messenger.TaskSpec
	for i := range short + long {
		run := int64(700)
		if i >= short {
			run = 4000
		}
		specs = append(specs, messenger.TaskSpec{ID: fmt.Sprintf("print-%d", i), Tenant: "caroni", Class: "prints", RunTimeMillis: run})
	}
	c.submit(specs...)
	c.eventually("running", func() bool { return c.counts()[messenger.TaskRunning] == short+long })
	for _, cut := range c.cutAgents {
		cut.Store(true)
	}
	c.eventually("held", func() bool { return c.counts()[messenger.TaskHeld] == short+long })
	if reason := c.task("print-0").Reason; reason == "" {
		t.Error("a held task does not tell why")
	}
	for _, cut := range c.cutAgents {
		cut.Store(false)
	}
	c.eventually("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == short+long })
	c.checkWitness()
	for i := range specs {
		starts, completions := 0, 0
		for _, w := range c.workers {
			for _, e := range w.Events() {
				if e.Task == specs[i].ID && e.Event == worker.EventStart {
					starts++
				}
				if e.Task == specs[i].ID && e.Event == worker.EventCompleted {
					completions++
				}
			}
		}
		if completions != 1 || i < short && starts != 1 {
			t.Errorf("%s completed %d times with %d starts", specs[i].ID, completions, starts)
		}
	}
}
