package integration

import (
	"context"
	"fmt"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/standin/worker"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

// cellFault does something bad to a trial and mends it before it returns.
type cellFault struct {
	name string
	do   func(*trial)
}

// Faults of these tests.
var (
	ownerKilled = cellFault{"owner killed", func(r *trial) {
		i := r.ownerIndex()
		r.Entries[i].Kill()
		time.Sleep(pastLease)
		r.Entries[i].Start()
	}}
	ownerPaused = cellFault{"owner paused past its lease and waking", func(r *trial) {
		e := r.Entries[r.ownerIndex()]
		e.Pause()
		time.Sleep(pastLease + time.Second)
		e.Resume()
		time.Sleep(time.Second)
	}}
	ownerCutFromStore = cellFault{"owner cut from the store, agents still reach it", func(r *trial) {
		e := r.Entries[r.ownerIndex()]
		way := []proxy.Direction{proxy.ToServer, proxy.ToClient, proxy.BothDirections}[r.draw(3)]
		e.StoreLink.Set(proxy.Faults{Cut: way})
		time.Sleep(pastLease + time.Second)
		e.StoreLink.Reset()
		time.Sleep(time.Second)
	}}
	agentPaused = cellFault{"agent paused past its lease and waking", func(r *trial) {
		vm := r.takeAway()
		vm.Agent.Pause()
		time.Sleep(awayFor)
		vm.Agent.Resume()
		time.Sleep(time.Second)
	}}
	agentKilled = cellFault{"agent killed and replaced", func(r *trial) {
		for range 3 {
			vm := r.takeAway()
			vm.Agent.Kill()
			time.Sleep(time.Duration(r.draw(1500)) * time.Millisecond)
			vm.Agent.Start()
			time.Sleep(time.Second)
		}
	}}
	ownerIslanded = cellFault{"old owner and one VM reach only each other", func(r *trial) {
		old := r.ownerIndex()
		vm := r.takeAway()
		r.Entries[old].StoreLink.Set(proxy.Faults{Cut: proxy.BothDirections})
		for i, e := range r.Entries {
			if i != old {
				e.RPCLink.SetFor(vm.Agent.Name, proxy.Faults{Cut: proxy.BothDirections})
				e.RPCLink.SetFor(r.Entries[old].Name, proxy.Faults{Cut: proxy.BothDirections})
				r.Entries[old].RPCLink.SetFor(e.Name, proxy.Faults{Cut: proxy.BothDirections})
			}
		}
		// The successor waits the outage lease out before it restarts the
		// VM's tasks; the cut lasts until well after that.
		time.Sleep(testOwnerLease + testOutageLease + 4*time.Second)
	}}
	vmCut       = cutVM("VM unreachable but alive", proxy.BothDirections)
	vmSendsOnly = cutVM("answers to a VM are cut", proxy.ToClient)
	vmHearsOnly = cutVM("what a VM sends is cut", proxy.ToServer)
	vmHeld      = cellFault{"polls and answers held back, then delivered", func(r *trial) {
		vm := r.takeAway()
		r.SetAgentFaults(vm, proxy.Faults{Hold: proxy.BothDirections})
		time.Sleep(awayFor)
		r.SetAgentFaults(vm, proxy.Faults{})
		time.Sleep(time.Second)
	}}
	storeDown = cellFault{"store down", func(r *trial) {
		r.allAway()
		r.SetStore(storer.Faults{Down: true})
		time.Sleep(testOwnerLease + 2*time.Second)
		r.SetStore(storer.Faults{})
	}}
	storeSlow = cellFault{"store slow", func(r *trial) {
		r.SetStore(storer.Faults{DelayMillis: 350})
		time.Sleep(pastLease)
		r.SetStore(storer.Faults{})
	}}
	storeLoses = cellFault{"store loses answers after the effect", func(r *trial) {
		r.SetStore(storer.Faults{LoseAnswers: 0.3})
		time.Sleep(pastLease)
		r.SetStore(storer.Faults{})
	}}
	zoneRace = cellFault{"operators take a zone out and back, racing", func(r *trial) {
		zone := r.VMs[r.draw(len(r.VMs))].Zone
		for _, state := range []describer.ZoneState{describer.ZoneOut, describer.ZoneIn} {
			r.setZone(zone, state)
			time.Sleep(1500 * time.Millisecond)
		}
	}}
)

func cutVM(name string, way proxy.Direction) cellFault {
	return cellFault{name, func(r *trial) {
		vm := r.takeAway()
		r.SetAgentFaults(vm, proxy.Faults{Cut: way})
		time.Sleep(awayFor)
		r.SetAgentFaults(vm, proxy.Faults{})
		time.Sleep(time.Second)
	}}
}

// draw returns a number below n; faults draw at the same time.
func (r *trial) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// takeAway draws a VM whose agent will be away longer than its lease, among
// those that run tasks: a fault where nothing runs shows nothing.
func (r *trial) takeAway() *harness.VM {
	vm := r.busyVM(2)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away[vm.Name] = true
	return vm
}

// busyVM draws a VM that runs at least so many tasks; after 10 s, any.
func (r *trial) busyVM(enough int) *harness.VM {
	var busy []*harness.VM
	for end := time.Now().Add(10 * time.Second); len(busy) == 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		running := make(map[string]int)
		for _, e := range r.TaskEvents() {
			if e.Event == worker.EventStart {
				running[e.VM]++
			} else {
				running[e.VM]--
			}
		}
		for _, vm := range r.VMs {
			if running[vm.Name] >= enough {
				busy = append(busy, vm)
			}
		}
	}
	if len(busy) == 0 {
		busy = r.VMs
	}
	return busy[r.draw(len(busy))]
}

func (r *trial) allAway() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range r.VMs {
		r.away[vm.Name] = true
	}
}

func (r *trial) setZone(zone string, state describer.ZoneState) {
	r.t.Helper()
	r.zoneOuts++
	id := fmt.Sprintf("zone-change-%d", r.zoneOuts)
	harness.WaitFor(r.t, 30*time.Second, "zone "+zone+" "+string(state), func(ctx context.Context) error {
		_, err := r.operator.SetZone(ctx, zone, state, id)
		return err
	})
}
