package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bamboospread/internal/request/receiver"
	"bamboospread/internal/standin/responder"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
)

const (
	requestService = "labelling"
	recoveryLimit  = 30 * time.Second
	faultLength    = 600 * time.Millisecond
	callerPause    = 5 * time.Millisecond
	callerPatience = 3 * time.Second // beyond the request's own deadline
)

// requestBed is a cluster with callers.
type requestBed struct {
	*harness.Cluster
	t      *testing.T
	seed   uint64
	client *http.Client
	number atomic.Int64 // of the last request made by load
}

// newRequestBed starts two entries and four VMs and waits until each entry
// routes requests.
func newRequestBed(t *testing.T, upstreamArgs ...string) *requestBed {
	t.Helper()
	b := &requestBed{
		t: t, seed: harness.Seed(t),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	b.Cluster = harness.New(t, harness.Config{
		VMs: 4, Service: requestService, UpstreamArgs: upstreamArgs,
		// With a zone of their own the entries would leave most agents idle, and
		// a fault there would show nothing.
		EntryArgs: []string{"--zone", ""},
	})
	b.ApplyFleet(harness.FleetText)
	b.recover()
	return b
}

// recover waits until each entry answers requests, plain and keyed, and knows
// all upstreams.
func (b *requestBed) recover() {
	b.t.Helper()
	for _, e := range b.Entries {
		harness.WaitFor(b.t, recoveryLimit, e.Name+" to answer", func(context.Context) error {
			r := b.send(e, sent{method: http.MethodPost, path: "/recovered", key: fmt.Sprint(time.Now().UnixNano()), timeout: time.Second})
			if r.outcome != messenger.OutcomeRun || r.status != http.StatusOK {
				return fmt.Errorf("%d %s %s %v", r.status, r.outcome, r.body, r.err)
			}
			return nil
		})
	}
}

// sent is a request of a caller.
type sent struct {
	method  string
	path    string // below the service
	body    string
	key     string
	timeout time.Duration
}

// got is what the caller saw.
type got struct {
	sent     sent
	entry    string
	status   int
	outcome  messenger.Outcome
	id       string
	body     string
	replayed bool
	again    bool // Retry-After was given
	took     time.Duration
	err      error // no whole HTTP answer came
}

func (b *requestBed) send(e *harness.Entry, s sent) got {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout+callerPatience)
	defer cancel()
	url := "http://" + e.HTTP + "/v1/services/" + requestService + s.path
	req, err := http.NewRequestWithContext(ctx, s.method, url, io.NopCloser(strings.NewReader(s.body)))
	if err != nil {
		b.t.Fatal(err)
	}
	req.ContentLength = int64(len(s.body))
	req.Header.Set(receiver.TimeoutHeader, fmt.Sprint(s.timeout.Milliseconds()))
	if s.key != "" {
		// Not under the canonical name: the test's own client would send such a
		// request again by itself.
		req.Header["idempotency-key"] = []string{s.key}
	}
	began := time.Now()
	r := got{sent: s, entry: e.Name}
	resp, err := b.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		h := resp.Header
		r.status, r.body, r.outcome = resp.StatusCode, string(body), messenger.Outcome(h.Get(receiver.OutcomeHeader))
		r.id, r.replayed, r.again = h.Get(receiver.RequestIDHeader), h.Get(receiver.ReplayedHeader) == "true", h.Get(receiver.RetryAfterHeader) != ""
	}
	r.err, r.took = err, time.Since(began)
	return r
}

// whole returns what is wrong with an answer as its own caller sees it.
func (r got) whole() string {
	if r.err != nil {
		return "" // a broken connection is a clear error of its own
	}
	if r.outcome != messenger.OutcomeRun || r.status != http.StatusOK {
		return r.clearError()
	}
	if r.sent.body != "" {
		if r.body != r.sent.body {
			return fmt.Sprintf("got %.80q for %.80q", r.body, r.sent.body)
		}
		return ""
	}
	if want := r.sent.method + " " + r.sent.path + " "; !strings.HasPrefix(r.body, want) {
		return fmt.Sprintf("got %.80q for %q", r.body, want)
	}
	return ""
}

// clearError returns what is missing in an answer that is not the upstream's.
func (r got) clearError() string {
	var body struct {
		Error   string            `json:"error"`
		Outcome messenger.Outcome `json:"outcome"`
	}
	switch err := json.Unmarshal([]byte(r.body), &body); {
	case err != nil:
		return fmt.Sprintf("status %d with the body %.80q", r.status, r.body)
	case r.status < 400 || body.Error == "" || body.Outcome != r.outcome:
		return fmt.Sprintf("status %d, outcome %q, body %.80q", r.status, r.outcome, r.body)
	case r.outcome == messenger.OutcomeNotRun && !r.again:
		return fmt.Sprintf("not run without a time to come back: %d %.80q", r.status, r.body)
	}
	return ""
}

// load sends requests from callers until stop is called, which returns all
// answers. Next is called with a number that is unique in the test.
func (b *requestBed) load(callers int, next func(random *rand.Rand, n int) sent) (stop func() []got) {
	return b.loadBy(callers, next, func(random *rand.Rand, s sent) got {
		return b.send(b.Entries[random.IntN(len(b.Entries))], s)
	})
}

// loadReady is load through a balancer as the platform has: it sends to entries
// that say they are ready, and to another one if a connection is refused.
func (b *requestBed) loadReady(callers int, next func(random *rand.Rand, n int) sent) (stop func() []got) {
	ready := make([]atomic.Bool, len(b.Entries))
	checked, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(checked)
		for {
			for i, e := range b.Entries {
				ready[i].Store(b.isReady(e))
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	stopLoad := b.loadBy(callers, next, func(random *rand.Rand, s sent) got {
		for i := random.IntN(len(b.Entries)); ; i++ {
			e := i % len(b.Entries)
			if i < 100*len(b.Entries) && !ready[e].Load() {
				time.Sleep(time.Millisecond)
				continue
			}
			r := b.send(b.Entries[e], s)
			if !errors.Is(r.err, syscall.ECONNREFUSED) {
				return r
			}
		}
	})
	return func() []got {
		all := stopLoad()
		close(done)
		<-checked
		return all
	}
}

func (b *requestBed) isReady(e *harness.Entry) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.HTTP + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// routes waits until an entry answers requests without a key, for which it needs
// no owner of the cell.
func (b *requestBed) routes(e *harness.Entry) {
	b.t.Helper()
	harness.WaitFor(b.t, recoveryLimit, e.Name+" to route", func(context.Context) error {
		r := b.send(e, sent{method: http.MethodGet, path: "/routed", timeout: time.Second})
		if r.outcome != messenger.OutcomeRun || r.status != http.StatusOK {
			return fmt.Errorf("%d %s %s %v", r.status, r.outcome, r.body, r.err)
		}
		return nil
	})
}

func (b *requestBed) loadBy(callers int, next func(random *rand.Rand, n int) sent, send func(*rand.Rand, sent) got) (stop func() []got) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var all []got
	var group sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(b.seed, uint64(caller)))
		group.Go(func() {
			for ctx.Err() == nil {
				s := next(random, int(b.number.Add(1)))
				r := send(random, s)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	return func() []got {
		cancel()
		group.Wait()
		return all
	}
}

// modes sets how all upstreams misbehave.
func (b *requestBed) modes(m responder.Modes) {
	b.t.Helper()
	for _, vm := range b.VMs {
		b.Control(vm.UpstreamURL+"/control/modes", m)
	}
}

// begun returns how often the witnesses saw each request begin, by a name.
func (b *requestBed) begun(name func(responder.Run) string) map[string]int {
	counts := make(map[string]int)
	for _, run := range b.Runs() {
		if run.Phase == "begin" {
			counts[name(run)]++
		}
	}
	return counts
}

// countOverloads returns how many requests came while all slots were taken.
func (b *requestBed) countOverloads() int {
	n := 0
	for _, run := range b.Runs() {
		if run.Overload {
			n++
		}
	}
	return n
}

// mostConnections returns the most connections that an upstream had at once since
// it was last started, the test's own included.
func (b *requestBed) mostConnections(vm *harness.VM) int {
	b.t.Helper()
	resp, err := http.Get(vm.UpstreamURL + "/control/counts")
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	var counts responder.Counts
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		b.t.Fatal(err)
	}
	return counts.MostConnections
}

func byRequestID(r responder.Run) string { return r.RequestID }
func byKey(r responder.Run) string       { return r.IdempotencyKey }
func byPath(r responder.Run) string      { return r.Path }

// summarise counts answers by outcome; those without one count as broken.
func summarise(all []got) string {
	counts := make(map[string]int)
	for _, r := range all {
		switch {
		case r.err != nil:
			counts["broken connection"]++
		default:
			counts[string(r.outcome)]++
		}
	}
	reasons := make(map[string]int)
	for _, r := range all {
		var body struct {
			Error string `json:"error"`
		}
		if r.err == nil && r.outcome == messenger.OutcomeNotRun && json.Unmarshal([]byte(r.body), &body) == nil {
			reasons[body.Error]++
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d answers:", len(all))
	for _, name := range []string{"run", "not-run", "unknown", "broken connection"} {
		fmt.Fprintf(&text, " %d %s", counts[name], name)
	}
	if len(reasons) > 0 {
		fmt.Fprintf(&text, "; not run: %v", reasons)
	}
	return text.String()
}

func count(all []got, match func(got) bool) int {
	n := 0
	for _, r := range all {
		if match(r) {
			n++
		}
	}
	return n
}
