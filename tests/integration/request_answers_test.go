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

// mixed is a request of the callers in the tests of answers: a lookup with a long
// answer or a print order with a body, each unlike all others.
func mixed(random *rand.Rand, n int) sent {
	timeout := 200*time.Millisecond + time.Duration(random.IntN(800))*time.Millisecond
	if random.IntN(2) == 0 {
		return sent{method: http.MethodGet, path: fmt.Sprintf("/depth/%d?bytes=%d", n, 100+random.IntN(20000)), timeout: timeout}
	}
	body := fmt.Sprintf("lot %d %s", n, strings.Repeat(fmt.Sprint(n, " "), random.IntN(2000)))
	return sent{method: http.MethodPost, path: fmt.Sprintf("/print/%d", n), body: body, timeout: timeout}
}

// TestCallerGetsWholeOwnAnswer: every caller gets the whole answer to its own
// request or a clear error, never another's answer or a part of one with 200.
// The upstreams answer a part of the requests with the answer of another, cut
// off, late or not at all, while processes die and freeze and links break. The
// caller checks each answer against what only its own request can bring.
func TestCallerGetsWholeOwnAnswer(t *testing.T) {
	t.Parallel()
	b := newRequestBed(t, "--service-time", "10ms")
	misbehave := []responder.Modes{
		{Crossed: true, Share: 0.2},
		{Truncated: true, Share: 0.2},
		{LateMillis: 600, Share: 0.2},
		{CutAfterEffect: true, Share: 0.1},
	}
	run := func() func() []got {
		for i, vm := range b.VMs {
			b.Control(vm.UpstreamURL+"/control/modes", misbehave[i%len(misbehave)])
		}
		stop := b.load(24, mixed)
		return func() []got {
			all := stop()
			b.modes(responder.Modes{})
			return all
		}
	}
	total := b.each(b.scenarios(), run, func(t *testing.T, all []got) {
		for _, r := range all {
			if wrong := r.whole(); wrong != "" {
				t.Errorf("%s %s through %s: %s", r.sent.method, r.sent.path, r.entry, wrong)
			}
		}
	})
	good := count(total, func(r got) bool { return r.outcome == messenger.OutcomeRun && r.status == http.StatusOK })
	t.Logf("%s; %.3f whole", summarise(total), float64(good)/float64(len(total)))
	if good < len(total)/2 {
		t.Errorf("only %d of %d requests were answered: this shows little", good, len(total))
	}
}

// TestNotRunMeansNotRun: a caller that is told "not run" sends the request again,
// so a request that ran all the same would be doubled. More requests come than
// there are slots, so that many are refused, while processes die and freeze and
// links break. No request refused with not-run may stand in an upstream's record.
func TestNotRunMeansNotRun(t *testing.T) {
	t.Parallel()
	b := newRequestBed(t, "--service-time", "60ms")
	run := func() func() []got {
		b.modes(responder.Modes{CutAfterEffect: true, Share: 0.03})
		return b.load(64, func(random *rand.Rand, n int) sent {
			s := mixed(random, n)
			if s.method == http.MethodPost && random.IntN(4) == 0 {
				s.key = fmt.Sprint("key-", b.seed, "-", n)
			}
			return s
		})
	}
	overloads := 0
	total := b.each(b.scenarios(), run, func(t *testing.T, all []got) {
		// The gate counts slots, so no upstream is ever sent more than it has. An
		// agent that was killed has lost its count: what still runs comes on top.
		before := overloads
		overloads = b.countOverloads()
		if overloads > before && !strings.Contains(t.Name(), "kill_agent") {
			t.Errorf("%d requests came to an upstream whose slots were all taken", overloads-before)
		}
		begun := b.begun(byRequestID)
		for _, r := range all {
			ran := begun[r.id] > 0
			if r.err == nil && r.outcome == messenger.OutcomeNotRun && ran {
				t.Errorf("%s %s through %s: told not-run, %s, but it ran", r.sent.method, r.sent.path, r.entry, r.body)
			}
			if r.err == nil && r.outcome == messenger.OutcomeRun && !ran {
				t.Errorf("%s %s through %s: told run, but it did not", r.sent.method, r.sent.path, r.entry)
			}
		}
	})
	refused := count(total, func(r got) bool { return r.outcome == messenger.OutcomeNotRun })
	t.Logf("%s; %d above the slots, after agents were killed", summarise(total), overloads)
	for _, vm := range b.VMs {
		if most := b.mostConnections(vm); most > 64 {
			t.Errorf("%s had %d connections at once", vm.Name, most)
		}
	}
	if refused == 0 {
		t.Error("no request was refused: this shows nothing")
	}
}
