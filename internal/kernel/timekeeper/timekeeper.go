// Package timekeeper provides a clock that does not jump when the system time is
// changed and does not stop while the VM is suspended. Leases and deadlines use
// it. With Go's monotonic clock, a process that was suspended would treat an expired
// lease as valid; with the system time, leases could expire too early.
package timekeeper

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

var bootTime = currentBootTime()

// currentBootTime returns the system time at which the boot clock was zero, based on
// the current system time.
func currentBootTime() time.Time {
	return time.Now().Round(0).Add(-sinceBoot())
}

// sinceBoot returns the time since boot, including suspensions.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39; without it, leases and deadlines are not safe.
		panic("read the boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Uptime returns the time since the VM was started, including suspensions.
func Uptime() time.Duration { return sinceBoot() }

// Now returns the system time at the start of the process plus the time elapsed
// since, including suspensions.
func Now() time.Time { return bootTime.Add(sinceBoot()) }

// Forward returns a clock that advances with now and stands still while now steps back. It
// replaces Uptime where the time is set by a test.
func Forward(now func() time.Time) func() time.Duration {
	var mu sync.Mutex
	latest := now()
	clock := time.Duration(latest.UnixNano())
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		at := now()
		clock += max(0, at.Sub(latest))
		latest = at
		return clock
	}
}

// MaxClockError bounds the difference between the clocks of the processes that share a
// lease: of an owner, an agent and a worker, none counts less than this fraction below what
// another counts in the same time. All that depends on it goes by Longest and Shortest.
const MaxClockError = 0.02

// Longest returns the time that passes at most on one clock while another counts d.
func Longest(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) / (1 - MaxClockError)))
}

// Shortest returns the time that passes at least on one clock while another counts d.
func Shortest(d time.Duration) time.Duration {
	return time.Duration(math.Floor(float64(d) * (1 - MaxClockError)))
}
