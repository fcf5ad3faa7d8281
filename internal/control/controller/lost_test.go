package controller

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
)

// TestLostTaskIsHeld disconnects the agent of one of two VMs while print tasks run there.
// Some complete before the lease expires, others would take longer. The owner gets no
// reports and gives up the attempts. It can't determine which tasks have completed, so it
// holds them. When the VM is back, the completed tasks must be accepted as completed and
// not run again, and the others must resume.
func TestLostTaskIsHeld(t *testing.T) {
	c := newCell(t, 2, 1)
	c.waitFor("VMs known", func() bool { return len(c.status().VMs) == 2 })
	var ids []string
	for i := range 6 {
		run := int64(700)
		if i%2 == 1 {
			run = 4000
		}
		ids = append(ids, fmt.Sprintf("print-%d", i))
		c.submit(messenger.TaskSpec{ID: ids[i], Tenant: "caroni", Class: "prints", RunTimeMillis: run})
	}
	c.waitFor("running", func() bool { return c.counts()[messenger.TaskRunning] == len(ids) })
	c.disconnected[0].Store(true)
	c.waitFor("given up", func() bool {
		for _, id := range ids {
			if c.task(id).VM == "vm0" {
				return false
			}
		}
		return true
	})
	time.Sleep(vmLease) // long enough for them to be restarted elsewhere
	if held := c.counts()[messenger.TaskHeld]; held == 0 {
		t.Error("no task is held")
	}
	c.disconnected[0].Store(false)
	c.waitFor("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == len(ids) })
	c.checkWorkerEvents()
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

// TestSubmitRightAfterApply submits a task whose tenant was added by a change that is in the
// store but has not reached the owner. The submitter saw the change accepted, so a
// rejection, which is final, would be wrong. A tenant that is not in the store either is
// rejected.
func TestSubmitRightAfterApply(t *testing.T) {
	older := describer.New(describer.Config{Name: "test", Version: 1, Zones: []describer.Zone{{Name: "z0", State: describer.ZoneIn}}})
	c := newCellWith(t, 1, 1, func(config *Config) { config.Fleet = func() *describer.Fleet { return older } })
	if result := c.submit(messenger.TaskSpec{ID: "a", Tenant: "nobody", Class: "labels"})[0]; result.Accepted {
		t.Error("a task of a tenant that is not in the store was accepted")
	}
	c.setFleet(2, "")
	if result := c.submit(messenger.TaskSpec{ID: "b", Tenant: "caroni", Class: "labels"})[0]; !result.Accepted {
		t.Errorf("refused: %s", result.Reason)
	}
}
