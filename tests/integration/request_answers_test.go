package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/standin/responder"
	"bamboospread/internal/wire/messenger"
)

// mixedRequest returns a lookup with a long answer or a print order with a body, each of
// them unique.
func mixedRequest(random *rand.Rand, n int) request {
	timeout := 200*time.Millisecond + time.Duration(random.IntN(800))*time.Millisecond
	if random.IntN(2) == 0 {
		return request{method: http.MethodGet, path: fmt.Sprintf("/depth/%d?bytes=%d", n, 100+random.IntN(20000)), timeout: timeout}
	}
	body := fmt.Sprintf("lot %d %s", n, strings.Repeat(fmt.Sprint(n, " "), random.IntN(2000)))
	return request{method: http.MethodPost, path: fmt.Sprintf("/print/%d", n), body: body, timeout: timeout}
}

// TestCallerGetsWholeOwnAnswer: every caller gets the complete answer to its own request
// or a clear error, never the answer to another request or a truncated one with status
// 200. The upstreams answer some of the requests with the answer to another one,
// truncated, late or not at all, while processes are killed and paused and links fail.
// Each answer is compared with what only its own request can produce.
func TestCallerGetsWholeOwnAnswer(t *testing.T) {
	t.Parallel()
	b := newRequestTestbed(t, "--service-time", "10ms")
	upstreamModes := []responder.Modes{
		{Crossed: true, Share: 0.2},
		{Truncated: true, Share: 0.2},
		{LateMillis: 600, Share: 0.2},
		{CutAfterEffect: true, Share: 0.1},
	}
	run := func() func() []response {
		for i, vm := range b.VMs {
			b.Control(vm.UpstreamURL+"/control/modes", upstreamModes[i%len(upstreamModes)])
		}
		stop := b.load(24, mixedRequest)
		return func() []response {
			all := stop()
			b.setModes(responder.Modes{})
			return all
		}
	}
	total := b.runScenarios(b.scenarios(), run, func(t *testing.T, all []response) {
		for _, r := range all {
			if problem := r.validate(); problem != "" {
				t.Errorf("%s %s through %s: %s", r.request.method, r.request.path, r.entry, problem)
			}
		}
	})
	good := count(total, func(r response) bool { return r.outcome == messenger.OutcomeRun && r.status == http.StatusOK })
	t.Logf("%s; %.3f complete", summarize(total), float64(good)/float64(len(total)))
	if good < len(total)/2 {
		t.Errorf("only %d of %d requests were answered, too few for a meaningful test", good, len(total))
	}
}

// TestNotRunMeansNotRun: a caller that gets the outcome not-run sends the request again,
// so a request that did run would run twice. The load exceeds the slots, so that many
// requests are refused, while processes are killed and paused and links fail. No upstream
// may have recorded a request that was refused with not-run.
func TestNotRunMeansNotRun(t *testing.T) {
	t.Parallel()
	b := newRequestTestbed(t, "--service-time", "60ms")
	run := func() func() []response {
		b.setModes(responder.Modes{CutAfterEffect: true, Share: 0.03})
		return b.load(64, func(random *rand.Rand, n int) request {
			s := mixedRequest(random, n)
			if s.method == http.MethodPost && random.IntN(4) == 0 {
				s.key = fmt.Sprint("key-", b.seed, "-", n)
			}
			return s
		})
	}
	overloads := 0
	total := b.runScenarios(b.scenarios(), run, func(t *testing.T, all []response) {
		// The agent limits requests to an upstream's slots, so an upstream never gets
		// more. An agent that was killed has lost its count, so requests that still run
		// come in addition.
		before := overloads
		overloads = b.countOverloads()
		if overloads > before && !strings.Contains(t.Name(), "kill_agent") {
			t.Errorf("%d requests reached an upstream whose slots were all in use", overloads-before)
		}
		runs := b.countRuns(byRequestID)
		for _, r := range all {
			ran := runs[r.id] > 0
			if r.err == nil && r.outcome == messenger.OutcomeNotRun && ran {
				t.Errorf("%s %s through %s: answered as not-run, %s, but it ran", r.request.method, r.request.path, r.entry, r.body)
			}
			if r.err == nil && r.outcome == messenger.OutcomeRun && !ran {
				t.Errorf("%s %s through %s: answered as run, but it did not run", r.request.method, r.request.path, r.entry)
			}
		}
	})
	refused := count(total, func(r response) bool { return r.outcome == messenger.OutcomeNotRun })
	t.Logf("%s; %d requests beyond the slots after agents were killed", summarize(total), overloads)
	for _, vm := range b.VMs {
		if most := b.maxConnections(vm); most > 64 {
			t.Errorf("%s had %d simultaneous connections", vm.Name, most)
		}
	}
	if refused == 0 {
		t.Error("no request was refused, so refusals are not tested")
	}
}
