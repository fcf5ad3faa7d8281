package learner

import (
	"time"

	"bamboospread/internal/control/placer"
)

const (
	windowsKept   = 8 // per VM, to detect duplicate reports
	pressuresKept = 4 // per service on a VM
)

// history holds the recent reports of a VM.
type history struct {
	seen     []window // latest last
	services map[string]*pressure
	arrived  time.Time // when the latest report arrived
}

type window struct{ from, to time.Time }

// pressure holds the measurements of a service on a VM, newest first.
type pressure struct {
	windows []placer.Window
	arrived time.Time // when the newest measurement arrived
}

func (l *Learner) history(vm string) *history {
	now := l.config.Now()
	h := l.vms[vm]
	if h == nil {
		if len(l.vms) >= l.config.MaxVMs {
			l.dropOldestVM()
		}
		h = &history{services: make(map[string]*pressure)}
		l.vms[vm] = h
	}
	h.arrived = now
	return h
}

func (l *Learner) dropOldestVM() {
	oldest := ""
	for name, h := range l.vms {
		if oldest == "" || h.arrived.Before(l.vms[oldest].arrived) {
			oldest = name
		}
	}
	delete(l.vms, oldest)
}

// accept records a window and reports whether it is new. Agents repeat a report
// when the reply was lost; counting it twice would make the estimate more
// confident than it should be. A window older than all kept ones cannot be
// distinguished from a repeat and is dropped.
func (h *history) accept(from, to time.Time) bool {
	for _, w := range h.seen {
		if w.from.Equal(from) && w.to.Equal(to) {
			return false
		}
	}
	if len(h.seen) == windowsKept && to.Before(h.seen[0].to) {
		return false
	}
	at := len(h.seen)
	for at > 0 && h.seen[at-1].to.After(to) {
		at--
	}
	h.seen = append(h.seen, window{})
	copy(h.seen[at+1:], h.seen[at:])
	h.seen[at] = window{from, to}
	if len(h.seen) > windowsKept {
		h.seen = h.seen[1:]
	}
	return true
}

// add inserts a measurement in time order, so that a late one does not displace
// a newer one.
func (h *history) add(service string, w placer.Window, now time.Time) {
	p := h.services[service]
	if p == nil {
		p = &pressure{}
		h.services[service] = p
	}
	at := 0
	for at < len(p.windows) && p.windows[at].To.After(w.To) {
		at++
	}
	if at == 0 {
		p.arrived = now
	}
	// A new slice each time, since callers of RecentWindows may still hold the old
	// one.
	next := make([]placer.Window, 0, pressuresKept+1)
	next = append(next, p.windows[:at]...)
	next = append(next, w)
	next = append(next, p.windows[at:]...)
	p.windows = next[:min(len(next), pressuresKept)]
}

// RecentWindows returns the latest measurements of a service on a VM, newest first. It
// returns none if reports have stopped or no longer include the service, which
// may be stuck. An idle service is reported as idle. Callers must not change
// the result.
func (l *Learner) RecentWindows(vm, service string) []placer.Window {
	h := l.vms[vm]
	if h == nil {
		return nil
	}
	p := h.services[service]
	if p == nil || l.config.Now().Sub(p.arrived) > l.config.StaleAfter {
		return nil
	}
	return p.windows
}

// idlePressure is the pressure of a service without requests. It is not zero,
// since zero means unknown.
const idlePressure = 0.01

// Pressure returns the measured p99 of a service on a VM divided by its latency
// objective, smoothed over the last two reports. It returns 0 if there is no
// recent report, which means unknown, not idle.
func (l *Learner) Pressure(vm, service string) float64 {
	const newest = 0.6
	w := l.RecentWindows(vm, service)
	switch len(w) {
	case 0:
		return 0
	case 1:
		return max(idlePressure, w[0].Ratio)
	}
	return newest*w[0].Ratio + (1-newest)*w[1].Ratio
}
