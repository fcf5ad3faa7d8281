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

// cellFault is a fault; inject injects it and undoes it before it returns.
type cellFault struct {
	name   string
	inject func(*cellTestbed)
}

// Faults that the scenarios combine.
var (
	ownerKilled = cellFault{"owner killed", func(r *cellTestbed) {
		i := r.ownerIndex()
		r.Entries[i].Kill()
		time.Sleep(pastLeaseTime)
		r.Entries[i].Start()
	}}
	ownerPaused = cellFault{"owner paused past its lease and resumed", func(r *cellTestbed) {
		e := r.Entries[r.ownerIndex()]
		e.Pause()
		time.Sleep(pastLeaseTime + time.Second)
		e.Resume()
		time.Sleep(time.Second)
	}}
	ownerCutFromStore = cellFault{"owner cut from the store, agents still reach it", func(r *cellTestbed) {
		e := r.Entries[r.ownerIndex()]
		direction := []proxy.Direction{proxy.ToServer, proxy.ToClient, proxy.BothDirections}[r.draw(3)]
		e.StoreLink.Set(proxy.Faults{Cut: direction})
		time.Sleep(pastLeaseTime + time.Second)
		e.StoreLink.Reset()
		time.Sleep(time.Second)
	}}
	agentPaused = cellFault{"agent paused past its lease and resumed", func(r *cellTestbed) {
		vm := r.drawUnreachableVM()
		vm.Agent.Pause()
		time.Sleep(absenceTime)
		vm.Agent.Resume()
		time.Sleep(time.Second)
	}}
	agentKilled = cellFault{"agent killed and replaced", func(r *cellTestbed) {
		for range 3 {
			vm := r.drawUnreachableVM()
			vm.Agent.Kill()
			time.Sleep(time.Duration(r.draw(1500)) * time.Millisecond)
			vm.Agent.Start()
			time.Sleep(time.Second)
		}
	}}
	ownerIsolated = cellFault{"old owner and one VM reach only each other", func(r *cellTestbed) {
		old := r.ownerIndex()
		vm := r.drawUnreachableVM()
		r.Entries[old].StoreLink.Set(proxy.Faults{Cut: proxy.BothDirections})
		for i, e := range r.Entries {
			if i != old {
				e.RPCLink.SetFor(vm.Agent.Name, proxy.Faults{Cut: proxy.BothDirections})
				e.RPCLink.SetFor(r.Entries[old].Name, proxy.Faults{Cut: proxy.BothDirections})
				r.Entries[old].RPCLink.SetFor(e.Name, proxy.Faults{Cut: proxy.BothDirections})
			}
		}
		// The new owner waits until the outage lease has expired before it restarts
		// the VM's tasks; the cut lasts until well after that.
		time.Sleep(testOwnerLease + testOutageLease + 4*time.Second)
	}}
	vmCut          = cutVM("VM unreachable but running", proxy.BothDirections)
	vmSendsOnly    = cutVM("answers to a VM are cut", proxy.ToClient)
	vmReceivesOnly = cutVM("what a VM sends is cut", proxy.ToServer)
	vmMessagesHeld = cellFault{"polls and answers held back, then delivered", func(r *cellTestbed) {
		vm := r.drawUnreachableVM()
		r.SetAgentFaults(vm, proxy.Faults{Hold: proxy.BothDirections})
		time.Sleep(absenceTime)
		r.SetAgentFaults(vm, proxy.Faults{})
		time.Sleep(time.Second)
	}}
	storeDown = cellFault{"store down", func(r *cellTestbed) {
		r.markAllUnreachable()
		r.SetStore(storer.Faults{Down: true})
		time.Sleep(testOwnerLease + 2*time.Second)
		r.SetStore(storer.Faults{})
	}}
	storeSlow = cellFault{"store slow", func(r *cellTestbed) {
		r.SetStore(storer.Faults{DelayMillis: 350})
		time.Sleep(pastLeaseTime)
		r.SetStore(storer.Faults{})
	}}
	storeLosesAnswers = cellFault{"store loses answers after the effect", func(r *cellTestbed) {
		r.SetStore(storer.Faults{LoseAnswers: 0.3})
		time.Sleep(pastLeaseTime)
		r.SetStore(storer.Faults{})
	}}
	zoneRace = cellFault{"operators take a zone out and back, racing", func(r *cellTestbed) {
		zone := r.VMs[r.draw(len(r.VMs))].Zone
		for _, state := range []describer.ZoneState{describer.ZoneOut, describer.ZoneIn} {
			r.setZone(zone, state)
			time.Sleep(1500 * time.Millisecond)
		}
	}}
)

func cutVM(name string, direction proxy.Direction) cellFault {
	return cellFault{name, func(r *cellTestbed) {
		vm := r.drawUnreachableVM()
		r.SetAgentFaults(vm, proxy.Faults{Cut: direction})
		time.Sleep(absenceTime)
		r.SetAgentFaults(vm, proxy.Faults{})
		time.Sleep(time.Second)
	}}
}

// draw returns a random number below n; concurrent faults may call it.
func (r *cellTestbed) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// drawUnreachableVM draws a VM whose agent will be unreachable past its lease, among those
// that run tasks: a fault on an idle VM would test nothing.
func (r *cellTestbed) drawUnreachableVM() *harness.VM {
	vm := r.busyVM(2)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable[vm.Name] = true
	return vm
}

// busyVM draws a VM that runs at least enough tasks, or any VM if there is none for 10 s.
func (r *cellTestbed) busyVM(enough int) *harness.VM {
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

func (r *cellTestbed) markAllUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range r.VMs {
		r.unreachable[vm.Name] = true
	}
}

func (r *cellTestbed) setZone(zone string, state describer.ZoneState) {
	r.t.Helper()
	r.zoneChanges++
	id := fmt.Sprintf("zone-change-%d", r.zoneChanges)
	harness.WaitFor(r.t, 30*time.Second, "zone "+zone+" "+string(state), func(ctx context.Context) error {
		_, err := r.operator.SetZone(ctx, zone, state, id)
		return err
	})
}
