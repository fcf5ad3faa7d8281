package balancer

import (
	"sync"
	"time"
)

const (
	ejectAfterFailures = 5 // in a row
	minWindow          = 20
	maxFailedShare     = 0.5 // of the requests in a window
	firstEjection      = time.Second
	longestEjection    = 30 * time.Second
	probeLimit         = 5 * time.Second // a probe without a result counts as over
	latencyHalfLife    = 2 * time.Second
	latencyWeight      = 8
)

// Verdict tells whether an upstream may be chosen.
type Verdict int

// Verdicts on an upstream.
const (
	Healthy  Verdict = iota
	Ejected          // takes nothing
	ProbeDue         // takes one request to see whether it works again
)

// Health judges one upstream by the results of its requests.
type Health struct {
	mu        sync.Mutex
	latency   time.Duration
	latencyAt time.Time
	inRow     int
	requests  int
	failures  int
	ejections int
	until     time.Time // zero: not ejected
	probing   time.Time // zero: no probe under way
}

// Observe takes the result of a request.
func (h *Health) Observe(now time.Time, took time.Duration, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A failure that comes fast must not make the upstream look fast.
	if !failed || took > h.latency {
		h.observeLatency(now, took)
	}
	h.requests++
	if !failed {
		h.inRow = 0
		if !h.probing.IsZero() {
			h.until, h.probing = time.Time{}, time.Time{}
			h.requests, h.failures = 0, 0
		}
		if h.requests >= minWindow {
			h.turnWindow(now)
		}
		return
	}
	h.failures++
	h.inRow++
	switch {
	case !h.probing.IsZero(), h.inRow >= ejectAfterFailures:
		h.eject(now)
	case h.requests >= minWindow:
		h.turnWindow(now)
	}
}

// ObserveUnfinished takes a request that was given up after a while: the upstream
// is at least that slow.
func (h *Health) ObserveUnfinished(now time.Time, after time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after > h.latency {
		h.observeLatency(now, after)
	}
}

func (h *Health) turnWindow(now time.Time) {
	if float64(h.failures) > maxFailedShare*float64(h.requests) {
		h.eject(now)
		return
	}
	if h.failures == 0 && h.until.IsZero() {
		h.ejections = 0
	}
	h.requests, h.failures = 0, 0
}

func (h *Health) eject(now time.Time) {
	if !h.until.IsZero() && h.probing.IsZero() {
		return // late failures of requests sent before the ejection
	}
	length := min(firstEjection<<min(h.ejections, 5), longestEjection)
	h.until, h.probing = now.Add(length), time.Time{}
	h.ejections++
	h.inRow, h.requests, h.failures = 0, 0, 0
}

// observeLatency moves the mean; one above the mean counts more, so that an
// upstream that turns slow is noticed at its first answers.
func (h *Health) observeLatency(now time.Time, took time.Duration) {
	if h.latency == 0 {
		h.latency, h.latencyAt = took, now
		return
	}
	weight := time.Duration(latencyWeight)
	if took > h.latency {
		weight /= 2
	}
	h.latency += (took - h.latency) / weight
	h.latencyAt = now
}

// Latency returns the moving mean. Without new results it fades, so that an
// upstream that was avoided for being slow is tried again.
func (h *Health) Latency(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	idle := now.Sub(h.latencyAt)
	if h.latency == 0 || idle < latencyHalfLife {
		return h.latency
	}
	return max(h.latency>>min(idle/latencyHalfLife, 30), 1)
}

// Verdict tells whether the upstream may be chosen now.
func (h *Health) Verdict(now time.Time) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.until.IsZero():
		return Healthy
	case now.Before(h.until):
		return Ejected
	case !h.probing.IsZero() && now.Sub(h.probing) < probeLimit:
		return Ejected
	}
	return ProbeDue
}

// BeginProbe claims the probe that is due; false if another request has it.
func (h *Health) BeginProbe(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until.IsZero() || now.Before(h.until) {
		return true
	}
	if !h.probing.IsZero() && now.Sub(h.probing) < probeLimit {
		return false
	}
	h.probing = now
	return true
}
