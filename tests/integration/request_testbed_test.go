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
	faultDuration  = 600 * time.Millisecond
	callerPause    = 5 * time.Millisecond
	callerGrace    = 3 * time.Second // how long callers wait beyond the request's deadline
)

// requestTestbed is a cluster with callers.
type requestTestbed struct {
	*harness.Cluster
	t            *testing.T
	seed         uint64
	client       *http.Client
	requestCount atomic.Int64 // numbers the requests of all loads
}

// newRequestTestbed starts two entries and four VMs and waits until each entry answers
// requests.
func newRequestTestbed(t *testing.T, upstreamArgs ...string) *requestTestbed {
	t.Helper()
	return newLinkedRequestTestbed(t, false, upstreamArgs...)
}

// newLinkedRequestTestbed returns a testbed in which, with links, agents reach their upstreams through
// proxies.
func newLinkedRequestTestbed(t *testing.T, links bool, upstreamArgs ...string) *requestTestbed {
	t.Helper()
	b := &requestTestbed{
		t: t, seed: harness.Seed(t),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	b.Cluster = harness.New(t, harness.Config{
		VMs: 4, Service: requestService, UpstreamArgs: upstreamArgs, LocalLinks: links,
		// If the entries had zones, most agents would be idle, and faults injected
		// there would test nothing.
		EntryArgs: []string{"--zone", ""},
	})
	b.ApplyFleet(harness.FleetText)
	b.awaitRecovery()
	return b
}

// awaitRecovery waits until each entry answers a keyed request, for which it needs an
// upstream and the owner of the cell.
func (b *requestTestbed) awaitRecovery() {
	b.t.Helper()
	for _, e := range b.Entries {
		harness.WaitFor(b.t, recoveryLimit, e.Name+" to answer", func(context.Context) error {
			r := b.send(e, request{method: http.MethodPost, path: "/recovered", key: fmt.Sprint(time.Now().UnixNano()), timeout: time.Second})
			if r.outcome != messenger.OutcomeRun || r.status != http.StatusOK {
				return fmt.Errorf("%d %s %s %v", r.status, r.outcome, r.body, r.err)
			}
			return nil
		})
	}
}

// request is a request of a caller.
type request struct {
	method  string
	path    string // below the service
	body    string
	key     string
	timeout time.Duration
}

// response is the result of a request as its caller sees it.
type response struct {
	request    request
	entry      string
	status     int
	outcome    messenger.Outcome
	id         string
	body       string
	replayed   bool
	retryAfter bool // Retry-After is present
	took       time.Duration
	err        error // no complete HTTP response was received
}

func (b *requestTestbed) send(e *harness.Entry, s request) response {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout+callerGrace)
	defer cancel()
	url := "http://" + e.HTTP + "/v1/services/" + requestService + s.path
	req, err := http.NewRequestWithContext(ctx, s.method, url, io.NopCloser(strings.NewReader(s.body)))
	if err != nil {
		b.t.Fatal(err)
	}
	req.ContentLength = int64(len(s.body))
	req.Header.Set(receiver.TimeoutHeader, fmt.Sprint(s.timeout.Milliseconds()))
	if s.key != "" {
		// Not with the canonical name: Go's HTTP client would then treat the request
		// as idempotent and retry it by itself.
		req.Header["idempotency-key"] = []string{s.key}
	}
	began := time.Now()
	r := response{request: s, entry: e.Name}
	resp, err := b.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		h := resp.Header
		r.status, r.body, r.outcome = resp.StatusCode, string(body), messenger.Outcome(h.Get(receiver.OutcomeHeader))
		r.id, r.replayed, r.retryAfter = h.Get(receiver.RequestIDHeader), h.Get(receiver.ReplayedHeader) == "true", h.Get(receiver.RetryAfterHeader) != ""
	}
	r.err, r.took = err, time.Since(began)
	return r
}

// validate returns what is wrong with a response, or an empty string. A response is
// valid if it is the complete answer to its own request or a clear error.
func (r response) validate() string {
	if r.err != nil {
		return "" // a broken connection is a clear error
	}
	if r.outcome != messenger.OutcomeRun || r.status != http.StatusOK {
		return r.validateError()
	}
	if r.request.body != "" {
		if r.body != r.request.body {
			return fmt.Sprintf("got %.80q for %.80q", r.body, r.request.body)
		}
		return ""
	}
	if want := r.request.method + " " + r.request.path + " "; !strings.HasPrefix(r.body, want) {
		return fmt.Sprintf("got %.80q for %q", r.body, want)
	}
	return ""
}

// validateError returns what is wrong with an error response of the system.
func (r response) validateError() string {
	var body struct {
		Error   string            `json:"error"`
		Outcome messenger.Outcome `json:"outcome"`
	}
	switch err := json.Unmarshal([]byte(r.body), &body); {
	case err != nil:
		return fmt.Sprintf("status %d with the body %.80q", r.status, r.body)
	case r.status < 400 || body.Error == "" || body.Outcome != r.outcome:
		return fmt.Sprintf("status %d, outcome %q, body %.80q", r.status, r.outcome, r.body)
	case r.outcome == messenger.OutcomeNotRun && !r.retryAfter:
		return fmt.Sprintf("outcome not-run without Retry-After: status %d, body %.80q", r.status, r.body)
	}
	return ""
}

// load sends requests from concurrent callers until stop is called, which returns all
// responses. next is called with a number that is unique in the test.
func (b *requestTestbed) load(callers int, next func(random *rand.Rand, n int) request) (stop func() []response) {
	return b.loadWith(callers, next, func(random *rand.Rand, s request) response {
		return b.send(b.Entries[random.IntN(len(b.Entries))], s)
	})
}

// loadReadyEntries is load through a load balancer like the platform's: it sends to
// entries that report to be ready, and to another entry if a connection is refused.
func (b *requestTestbed) loadReadyEntries(callers int, next func(random *rand.Rand, n int) request) (stop func() []response) {
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
	stopLoad := b.loadWith(callers, next, func(random *rand.Rand, s request) response {
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
	return func() []response {
		all := stopLoad()
		close(done)
		<-checked
		return all
	}
}

func (b *requestTestbed) isReady(e *harness.Entry) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.HTTP + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitRouting waits until an entry answers a request without a key, for which it does
// not need the owner of the cell.
func (b *requestTestbed) awaitRouting(e *harness.Entry) {
	b.t.Helper()
	harness.WaitFor(b.t, recoveryLimit, e.Name+" to route", func(context.Context) error {
		r := b.send(e, request{method: http.MethodGet, path: "/routed", timeout: time.Second})
		if r.outcome != messenger.OutcomeRun || r.status != http.StatusOK {
			return fmt.Errorf("%d %s %s %v", r.status, r.outcome, r.body, r.err)
		}
		return nil
	})
}

func (b *requestTestbed) loadWith(callers int, next func(random *rand.Rand, n int) request, send func(*rand.Rand, request) response) (stop func() []response) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var all []response
	var group sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(b.seed, uint64(caller)))
		group.Go(func() {
			for ctx.Err() == nil {
				s := next(random, int(b.requestCount.Add(1)))
				r := send(random, s)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	return func() []response {
		cancel()
		group.Wait()
		return all
	}
}

// setModes sets the modes of all upstreams.
func (b *requestTestbed) setModes(m responder.Modes) {
	b.t.Helper()
	for _, vm := range b.VMs {
		b.Control(vm.UpstreamURL+"/control/modes", m)
	}
}

// countRuns returns how often the upstreams recorded the beginning of each request; name
// returns the attribute by which requests are counted.
func (b *requestTestbed) countRuns(name func(responder.Run) string) map[string]int {
	counts := make(map[string]int)
	for _, run := range b.Runs() {
		if run.Phase == "begin" {
			counts[name(run)]++
		}
	}
	return counts
}

// countOverloads returns how many requests upstreams received while all their slots were
// in use.
func (b *requestTestbed) countOverloads() int {
	n := 0
	for _, run := range b.Runs() {
		if run.Overload {
			n++
		}
	}
	return n
}

// maxConnections returns the maximum number of simultaneous connections of an upstream
// since its last start, including those of the test itself.
func (b *requestTestbed) maxConnections(vm *harness.VM) int {
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

// summarize counts responses by outcome; those without one count as broken connections.
func summarize(all []response) string {
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

func count(all []response, match func(response) bool) int {
	n := 0
	for _, r := range all {
		if match(r) {
			n++
		}
	}
	return n
}
