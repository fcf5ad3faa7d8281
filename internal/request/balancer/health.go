package balancer

import (
	"sync"
	"time"
)

const (
	ejectAfterFailures = 5 // consecutive
	windowRequests     = 20
	maxFailedShare     = 0.5 // of the requests in a window
	firstEjection      = time.Second
	maxEjection        = 30 * time.Second
	probeTimeout       = 5 * time.Second // after it, a probe without a result no longer blocks the next one
	latencyHalfLife    = 2 * time.Second
	ewmaDivisor        = 8 // a new sample has a weight of 1/8 in the mean latency
)

// HealthStatus says whether an upstream may be chosen.
type HealthStatus int

// Health statuses of an upstream.
const (
	Healthy  HealthStatus = iota
	Ejected               // is sent no requests
	ProbeDue              // is sent one request to check whether it has recovered
)

// Health tracks the latency and the failures of one upstream and ejects it while it
// fails.
type Health struct {
	mu                  sync.Mutex
	latency             time.Duration
	latencyAt           time.Time
	consecutiveFailures int
	requests            int
	failures            int
	ejections           int
	ejectedUntil        time.Time // zero: not ejected
	probeStarted        time.Time // zero: no probe in flight
	// stateSince is when the upstream was ejected or readmitted, or its latest probe
	// began. Results of requests sent earlier show what it was like before.
	stateSince time.Time
}

// Observe records the result of a request that took the given time. The result of a request
// sent before the upstream was last ejected, probed or readmitted counts for the latency
// only: taken for the probe's, it would end or prolong the ejection.
func (h *Health) Observe(now time.Time, took time.Duration, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A fast failure must not lower the mean latency.
	if !failed || took > h.latency {
		h.observeLatency(now, took)
	}
	if now.Add(-took).Before(h.stateSince) {
		return
	}
	h.requests++
	if !failed {
		h.consecutiveFailures = 0
		if !h.probeStarted.IsZero() {
			h.ejectedUntil, h.probeStarted, h.stateSince = time.Time{}, time.Time{}, now
			h.requests, h.failures = 0, 0
		}
		if h.requests >= windowRequests {
			h.closeWindow(now)
		}
		return
	}
	h.failures++
	h.consecutiveFailures++
	switch {
	case !h.probeStarted.IsZero(), h.consecutiveFailures >= ejectAfterFailures:
		h.eject(now)
	case h.requests >= windowRequests:
		h.closeWindow(now)
	}
}

// ObserveUnfinished records a request that was abandoned after the given time, which
// is a lower bound of its latency.
func (h *Health) ObserveUnfinished(now time.Time, after time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after > h.latency {
		h.observeLatency(now, after)
	}
}

// closeWindow evaluates the failures of a full window and starts the next one.
func (h *Health) closeWindow(now time.Time) {
	if float64(h.failures) > maxFailedShare*float64(h.requests) {
		h.eject(now)
		return
	}
	if h.failures == 0 && h.ejectedUntil.IsZero() {
		h.ejections = 0
	}
	h.requests, h.failures = 0, 0
}

func (h *Health) eject(now time.Time) {
	if !h.ejectedUntil.IsZero() && h.probeStarted.IsZero() {
		return // a failure of a request sent while too many upstreams were ejected
	}
	length := min(firstEjection<<min(h.ejections, 5), maxEjection)
	h.ejectedUntil, h.probeStarted, h.stateSince = now.Add(length), time.Time{}, now
	h.ejections++
	h.consecutiveFailures, h.requests, h.failures = 0, 0, 0
}

// observeLatency updates the mean latency. A sample above the mean has a higher
// weight, so that an upstream that becomes slow is detected from its first answers.
func (h *Health) observeLatency(now time.Time, took time.Duration) {
	if h.latency == 0 {
		h.latency, h.latencyAt = took, now
		return
	}
	divisor := time.Duration(ewmaDivisor)
	if took > h.latency {
		divisor /= 2
	}
	h.latency += (took - h.latency) / divisor
	h.latencyAt = now
}

// Latency returns the mean latency. Without new results it is halved at each
// half-life, so that an upstream that was avoided for being slow is tried again.
func (h *Health) Latency(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	idle := now.Sub(h.latencyAt)
	if h.latency == 0 || idle < latencyHalfLife {
		return h.latency
	}
	return max(h.latency>>min(idle/latencyHalfLife, 30), 1)
}

// Status reports whether the upstream may be chosen now.
func (h *Health) Status(now time.Time) HealthStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.ejectedUntil.IsZero():
		return Healthy
	case now.Before(h.ejectedUntil):
		return Ejected
	case !h.probeStarted.IsZero() && now.Sub(h.probeStarted) < probeTimeout:
		return Ejected
	}
	return ProbeDue
}

// BeginProbe reserves the probe that is due. It returns false if the probe of
// another request is in flight, and true if no probe is due.
func (h *Health) BeginProbe(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ejectedUntil.IsZero() || now.Before(h.ejectedUntil) {
		return true
	}
	if !h.probeStarted.IsZero() && now.Sub(h.probeStarted) < probeTimeout {
		return false
	}
	h.probeStarted, h.stateSince = now, now
	return true
}
