package controller

import (
	"fmt"
	"strings"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Quarantine of VMs on which every task fails.
const (
	failuresToQuarantine = 3 // different tasks, or starts on an unavailable worker, without a success
	minQuarantine        = 10 * time.Second
	maxQuarantine        = 10 * time.Minute
)

// quarantineIfFailing quarantines a VM on which several different tasks failed in a row, or
// whose worker was unavailable for several starts.
// On a VM that is being probed one failure is enough.
func (o *owner) quarantineIfFailing(vm string) {
	v := o.state.VM(vm)
	if v == nil || v.Quarantined != "" {
		return
	}
	if len(v.FailedTasks) < failuresToQuarantine && v.Quarantines == 0 {
		return
	}
	length := min(minQuarantine<<min(v.Quarantines, 10), maxQuarantine)
	until := o.config.Now().Add(length).Round(0).UTC()
	reason := fmt.Sprintf("%d tasks in a row failed or found the worker unavailable", len(v.FailedTasks))
	o.decide(bookkeeper.Record{Quarantine: &bookkeeper.Quarantine{VM: vm, Reason: reason, Until: until}}, reporter.VMQuarantined,
		messenger.Decision{VM: vm, Reason: reason, Inputs: map[string]string{
			"tasks": strings.Join(v.FailedTasks[:min(len(v.FailedTasks), 10)], ","), "until": until.Format(time.RFC3339),
		}}, nil)
}

// pauseActive reports whether a pause until the given time of day is still active. An end
// that is further away than the longest pause was set by a clock that has stepped back
// since.
func pauseActive(until, now time.Time, longest time.Duration) bool {
	left := until.Sub(now)
	return left > 0 && left <= longest
}

// checkQuarantines ends the quarantines that have expired. Tasks then probe the VM one at a
// time.
func (o *owner) checkQuarantines(now time.Time) {
	for _, name := range o.state.VMs() {
		if v := o.state.VM(name); v.Quarantined != "" && !pauseActive(v.QuarantinedUntil, now, maxQuarantine) {
			o.decide(bookkeeper.Record{Quarantine: &bookkeeper.Quarantine{VM: name}}, reporter.VMReleased,
				messenger.Decision{VM: name, Reason: "one task at a time may probe the VM"}, nil)
		}
	}
}
