package scheduler

import (
	"time"

	"bamboospread/internal/kernel/reporter"
)

// minIntervalFactor is the shortest interval of a kind of decision, as a multiple of the time that it
// takes. The rest of the interval is for reports, orders and the other kinds: an owner that decides all
// the time reads no reports, and decides by old ones.
const minIntervalFactor = 4

// behindFactor is how many times its planned interval a decision is delayed before that is logged.
const behindFactor = 4

// decision is a kind of decision that the owner makes at intervals. The interval grows with the
// time that the decision takes, so that an owner of a fleet that is too large for its VM decides
// less often, and still keeps its sessions.
type decision struct {
	name    string
	planned time.Duration // interval while the decision takes little time
	took    time.Duration // smoothed
	madeAt  time.Time     // when it last began
	behind  bool
}

// interval returns the time from one decision of this kind to the next.
func (d *decision) interval() time.Duration { return max(d.planned, minIntervalFactor*d.took) }

// due reports whether it is time for the next decision of this kind.
func (d *decision) due(now time.Time) bool { return now.Sub(d.madeAt) >= d.interval() }

// record counts a decision that began at the given time and took some time. A single slow one, for
// instance while the process waits for its processor, changes the interval by a part only.
func (d *decision) record(began time.Time, took time.Duration) {
	const smoothing = 8 // decisions over which the time is averaged
	d.madeAt = began
	d.took += (took - d.took) / smoothing
}

// decide makes a decision of a kind and records what it took.
func (o *owner) decide(d *decision, now time.Time, run func()) {
	began := o.s.config.Now()
	run()
	took := o.s.config.Now().Sub(began)
	d.record(now, took)
	o.s.config.Metrics.decisionMade(d.name, took)
	if behind := d.interval() > behindFactor*d.planned; behind != d.behind {
		d.behind = behind
		o.s.config.Reporter.Report(reporter.OwnerBehind, reporter.Fields{
			"decision": d.name, "behind": behind, "takes": d.took.String(), "interval": d.interval().String(), "planned": d.planned.String(), "vms": len(o.state.VMs),
		})
	}
}
