package accountant

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Limits of the judgement on a VM's worker.
const (
	// failuresToQuarantine is how many different tasks must fail on a VM, with
	// none done in between, before the worker is taken to be at fault. A task that
	// fails everywhere by its own fault counts once; of sound workers, on which one
	// run in twenty fails, three in a row are one case in 8,000.
	failuresToQuarantine = 3
	quarantineFirst      = 4 * time.Second // doubled with each one in a row
	quarantineMax        = 16 * time.Second
)

// Quarantined tells whether nothing should start on the VM.
func (vm *VM) Quarantined(now time.Time) bool { return now.Before(vm.Health.QuarantineTo) }

func (vm *VM) noteGood() { vm.Health = Health{} }

func (vm *VM) noteFailed(id specifier.TaskID, now time.Time) {
	if vm.Health.Failed == nil {
		vm.Health.Failed = make(map[specifier.TaskID]time.Time)
	}
	vm.Health.Failed[id] = now
	if vm.Quarantined(now) {
		return // what was started before it
	}
	// After a quarantine the first failure is enough for the next one.
	if len(vm.Health.Failed) < failuresToQuarantine && vm.Health.Times == 0 {
		return
	}
	pause := min(quarantineFirst<<vm.Health.Times, quarantineMax)
	vm.Health.Times++
	vm.Health.QuarantineTo = now.Add(pause)
}
