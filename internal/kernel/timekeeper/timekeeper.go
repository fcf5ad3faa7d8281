// Package timekeeper gives a clock that neither jumps with the time of day nor
// stands still while the VM is suspended. Leases and deadlines are counted by it:
// Go's monotonic clock would let a suspended process believe in a lease that has
// run out, and the time of day would end leases that have not.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

var base = start()

// start returns the time of day at which the boot clock read zero, as the time of
// day stands when the process starts.
func start() time.Time {
	return time.Now().Round(0).Add(-sinceBoot())
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had the clock since 2.6.39; without it nothing here is safe.
		panic("read the boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Now returns the time of day at the start of the process plus the time that has
// passed since, suspensions included.
func Now() time.Time { return base.Add(sinceBoot()) }
