package controller

import (
	"fmt"
	"strings"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Quarantine of VMs on which everything fails.
const (
	failuresToQuarantine = 3 // different tasks in a row, without a success
	firstQuarantine      = 10 * time.Second
	lastQuarantine       = 10 * time.Minute
)

// suspect quarantines a VM on which several different tasks failed in a row. In
// a VM that is being probed one failure is enough.
func (o *owner) suspect(vm string) {
	v := o.books.VM(vm)
	if v == nil || v.Quarantined != "" {
		return
	}
	if len(v.Failing) < failuresToQuarantine && v.Quarantines == 0 {
		return
	}
	length := min(firstQuarantine<<min(v.Quarantines, 10), lastQuarantine)
	until := o.config.Now().Add(length).Round(0).UTC()
	reason := fmt.Sprintf("%d different tasks failed in a row", len(v.Failing))
	o.decide(bookkeeper.Record{Quarantine: &bookkeeper.Quarantine{VM: vm, Reason: reason, Until: until}}, reporter.VMQuarantined,
		messenger.Decision{VM: vm, Reason: reason, Inputs: map[string]string{
			"tasks": strings.Join(v.Failing[:min(len(v.Failing), 10)], ","), "until": until.Format(time.RFC3339),
		}}, nil)
}

// lasts tells whether a pause until a time of day goes on. An end that is further away
// than the longest pause was set by a clock that has jumped back since.
func lasts(until, now time.Time, longest time.Duration) bool {
	left := until.Sub(now)
	return left > 0 && left <= longest
}

// checkQuarantines lets VMs be probed whose time is over.
func (o *owner) checkQuarantines(now time.Time) {
	for _, name := range o.books.VMs() {
		if v := o.books.VM(name); v.Quarantined != "" && !lasts(v.Until, now, lastQuarantine) {
			o.decide(bookkeeper.Record{Quarantine: &bookkeeper.Quarantine{VM: name}}, reporter.VMReleased,
				messenger.Decision{VM: name, Reason: "one task at a time may probe the VM"}, nil)
		}
	}
}
