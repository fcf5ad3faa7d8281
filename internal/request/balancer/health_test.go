package balancer

import (
	"slices"
	"testing"
	"time"
)

// observedResult is a result of a request, with times since the upstream was ejected.
type observedResult struct {
	sent, received time.Duration
	failed         bool
}

// TestLateResultsAreNotTheProbes guards against an upstream that is readmitted, or ejected for
// longer, because of requests that were sent before its probe: they show what the upstream was
// like before. The upstream is ejected at 0 and probed at the given times.
func TestLateResultsAreNotTheProbes(t *testing.T) {
	const s = time.Second
	late := func(received time.Duration, failed bool) observedResult {
		return observedResult{-s, received, failed}
	}
	cases := []struct {
		name    string
		probes  []time.Duration
		results []observedResult
		at      time.Duration
		want    HealthStatus
	}{
		{"own success", []time.Duration{s}, []observedResult{{s, 2 * s, false}}, 2 * s, Healthy},
		{"own failure", []time.Duration{s}, []observedResult{{s, 2 * s, true}}, 2 * s, Ejected},
		{"late success, probe in flight", []time.Duration{s}, []observedResult{late(2*s, false)}, 2 * s, Ejected},
		{"late failure, probe in flight", []time.Duration{s}, []observedResult{late(2*s, true), {s, 3 * s, false}}, 3 * s, Healthy},
		{"late success, probe due", nil, []observedResult{late(2*s, false)}, 2 * s, ProbeDue},
		{"late failure, probe due", nil, []observedResult{late(2*s, true)}, 2 * s, ProbeDue},
		{"late failures after the probe succeeded", []time.Duration{s}, append([]observedResult{{s, 2 * s, false}}, slices.Repeat([]observedResult{late(3*s, true)}, ejectAfterFailures)...), 3 * s, Healthy},
		{"failures after the probe succeeded", []time.Duration{s}, append([]observedResult{{s, 2 * s, false}}, slices.Repeat([]observedResult{{2 * s, 3 * s, true}}, ejectAfterFailures)...), 3 * s, Ejected},
		{"failure of an abandoned probe, next one in flight", []time.Duration{s, 7 * s}, []observedResult{{s, 8 * s, true}, {7 * s, 9 * s, false}}, 9 * s, Healthy},
		{"success of an abandoned probe, next one in flight", []time.Duration{s, 7 * s}, []observedResult{{s, 8 * s, false}}, 8 * s, Ejected},
		{"failure of an abandoned probe, next one due", []time.Duration{s}, []observedResult{{s, 7 * s, true}}, 8 * s, Ejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, ejected := &Health{}, time.Now()
			for range ejectAfterFailures {
				h.Observe(ejected, time.Millisecond, true)
			}
			for _, at := range c.probes {
				if !h.BeginProbe(ejected.Add(at)) {
					t.Fatalf("no probe is due after %s", at)
				}
			}
			for _, r := range c.results {
				h.Observe(ejected.Add(r.received), r.received-r.sent, r.failed)
			}
			if got := h.Status(ejected.Add(c.at)); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
		})
	}
}
