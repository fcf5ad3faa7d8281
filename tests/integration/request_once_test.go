package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/standin/responder"
	"bamboospread/internal/wire/messenger"
)

// repeats is how often a caller repeats a key without an answer.
const repeats = 3

// atMostOnceCaller sends print orders with a key through both entries, and uploads
// without a key exactly once.
type atMostOnceCaller struct {
	b      *requestTestbed
	random *rand.Rand
	mu     *sync.Mutex
	all    *[]response
}

func (c atMostOnceCaller) record(r response) response {
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.all = append(*c.all, r)
	return r
}

func (c atMostOnceCaller) sendUpload() {
	n := c.b.requestCount.Add(1)
	s := request{method: http.MethodPost, path: fmt.Sprint("/upload/", n), body: fmt.Sprint("snow ", n), timeout: 500 * time.Millisecond}
	c.record(c.b.send(c.b.Entries[c.random.IntN(len(c.b.Entries))], s))
}

// sendPrintOrder sends one key through both entries at the same time and then repeats it,
// as a caller does that got no answer, unknown or not-run.
func (c atMostOnceCaller) sendPrintOrder() {
	n := c.b.requestCount.Add(1)
	s := request{
		method: http.MethodPost, path: fmt.Sprint("/print/", n), body: fmt.Sprint("lot ", n),
		key: fmt.Sprintf("print-%d-%d", c.b.seed, n), timeout: 500 * time.Millisecond,
	}
	var group sync.WaitGroup
	for _, e := range c.b.Entries {
		group.Go(func() { c.record(c.b.send(e, s)) })
	}
	group.Wait()
	for i := range repeats {
		time.Sleep(20 * time.Millisecond)
		if c.record(c.b.send(c.b.Entries[i%len(c.b.Entries)], s)).outcome == messenger.OutcomeRun {
			return
		}
	}
}

// loadAtMostOnce runs concurrent callers until stop is called.
func (b *requestTestbed) loadAtMostOnce(callers int) (stop func() []response) {
	var mu sync.Mutex
	var all []response
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		c := atMostOnceCaller{b: b, random: rand.New(rand.NewPCG(b.seed, uint64(i))), mu: &mu, all: &all}
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
				}
				if i%2 == 0 {
					c.sendUpload()
				} else {
					c.sendPrintOrder()
				}
			}
		})
	}
	return func() []response {
		close(done)
		group.Wait()
		return all
	}
}

// TestNonIdempotentRunsAtMostOnce: a print order that runs twice produces duplicate lot
// codes that reach buyers. Each key is sent through both entries at the same time and
// repeated while its outcome is not known; uploads without a key are sent once. Answers
// are lost after the effect, and the entry, the agent or the owner of the claims is killed
// or paused between the claim, the run and the recording of the outcome. The upstreams
// must not record any key or upload twice. Where this cannot be proved, the answer is
// unknown or a refusal; the share of keys with these outcomes is logged.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	b := newRequestTestbed(t, "--service-time", "15ms")
	run := func() func() []response {
		b.setModes(responder.Modes{CutAfterEffect: true, Share: 0.05})
		return b.loadAtMostOnce(16)
	}
	named := [][2]string{{"kill entry", "kill agent"}, {"freeze entry", "kill entry"}, {"store loses answers", "cut agent's answers"}}
	total := b.runScenarios(b.scenarios(named...), run, func(t *testing.T, all []response) {
		keys, paths := b.countRuns(byKey), b.countRuns(byPath)
		for _, r := range all {
			runs := paths[r.request.path]
			if r.request.key != "" {
				runs = max(runs, keys[r.request.key])
			}
			if runs > 1 {
				t.Errorf("%s ran %d times; %s answered %d %s %v", r.request.path, runs, r.entry, r.status, r.outcome, r.err)
			}
			if r.err == nil && r.outcome == messenger.OutcomeRun && runs != 1 {
				t.Errorf("%s: answered as run by %s, ran %d times", r.request.path, r.entry, runs)
			}
			if problem := r.validate(); problem != "" {
				t.Errorf("%s through %s: %s", r.request.path, r.entry, problem)
			}
		}
		t.Log(summarizeKeys(all))
	})
	t.Log("all scenarios: ", summarize(total), "; ", summarizeKeys(total))
	if count(total, func(r response) bool { return r.replayed }) == 0 {
		t.Error("no answer was replayed, so replays are not tested")
	}
}

// summarizeKeys counts the outcomes of the keys for their callers: run if any answer was
// run, else unknown if any answer was unknown or lost, else refused.
func summarizeKeys(all []response) string {
	ends := make(map[string]string)
	for _, r := range all {
		if r.request.key == "" {
			continue
		}
		switch end := ends[r.request.key]; {
		case r.err == nil && r.outcome == messenger.OutcomeRun:
			ends[r.request.key] = "run"
		case end == "run":
		case r.err != nil || r.outcome == messenger.OutcomeUnknown:
			ends[r.request.key] = "unknown"
		case end == "":
			ends[r.request.key] = "refused"
		}
	}
	counts := make(map[string]int)
	for _, end := range ends {
		counts[end]++
	}
	share := func(end string) float64 { return float64(counts[end]) / float64(max(len(ends), 1)) }
	return fmt.Sprintf("%d keys: %.3f run, %.3f unknown, %.3f refused", len(ends), share("run"), share("unknown"), share("refused"))
}
