package runner

import "time"

// reading is a reading of the agent's clocks. The time of day may step; it is for workers that state no clock.
type reading struct {
	time  time.Time
	clock time.Duration // does not step, and counts while the VM is suspended
}

func (r *Runner) readClocks() reading {
	return reading{time: r.config.Now(), clock: r.config.Driver.Clock()}
}

func (t reading) add(d time.Duration) reading {
	return reading{time: t.time.Add(d), clock: t.clock + d}
}

// before reports whether neither clock has reached u.
func (t reading) before(u reading) bool {
	return t.time.Before(u.time) && t.clock < u.clock
}

// since returns the longest time that any of the clocks has counted since an earlier reading.
func (t reading) since(earlier reading) time.Duration {
	return max(t.time.Sub(earlier.time), t.time.Round(0).Sub(earlier.time.Round(0)), t.clock-earlier.clock)
}
