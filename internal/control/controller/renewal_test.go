package controller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/standin/storer"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// longOutageLease outlasts the test: the worker ends no task by it.
const longOutageLease = 30 * time.Second

// TestNextOwnerWaitsForLeasesThatWereNotReplaced guards against tasks that run twice: an agent that
// follows the next owner, but could not renew the leases at its worker, does not show that the longer
// leases of the owner before have been replaced.
func TestNextOwnerWaitsForLeasesThatWereNotReplaced(t *testing.T) {
	t.Parallel()
	c := newCellWith(t, 2, 2, func(config *Config) { config.OutageLease = longOutageLease })
	c.waitFor("VMs known", func() bool { return len(c.status().VMs) == 2 })
	c.submit(messenger.TaskSpec{ID: "long", Tenant: "caroni", Class: "labels", RunTimeMillis: 20000})
	c.waitFor("running", func() bool { return c.task("long").State == messenger.TaskRunning })
	vm := 0
	if c.task("long").VM == "vm1" {
		vm = 1
	}
	before := c.status()
	var outageLease, renewalsRefused atomic.Bool
	renewal := func(r *http.Request) bool {
		if r.URL.Path != driver.PathLeases {
			return false
		}
		if outageLease.Load() {
			renewalsRefused.Store(true)
			return true
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		var call driver.LeaseCall
		_ = json.Unmarshal(body, &call)
		outageLease.Store(time.Until(time.Unix(0, call.Until)) > longOutageLease/2)
		return false
	}
	c.refused[vm].refuse.Store(&renewal)
	c.store.SetFaults(storer.Faults{Down: true})
	c.waitFor("the outage lease", outageLease.Load)
	for i := range c.controllers {
		if c.controllers[i].config.EntryID == before.Owner {
			c.stops[i]()
		}
	}
	c.store.SetFaults(storer.Faults{})
	c.waitFor("the next owner", func() bool { return c.status().Epoch > before.Epoch })
	c.waitFor("a refused renewal", renewalsRefused.Load)
	time.Sleep(500 * time.Millisecond) // polls
	all := func(*http.Request) bool { return true }
	c.refused[vm].refuse.Store(&all)
	time.Sleep(3 * vmLease) // a task of a VM that has lost its lease starts elsewhere
	c.checkWorkerEvents()
	if n := len(c.workers[1-vm].Events()); n > 0 {
		t.Errorf("%d events on the other VM", n)
	}
	c.refused[vm].refuse.Store(nil)
	c.waitFor("running under the next owner", func() bool { return c.task("long").State == messenger.TaskRunning })
}
