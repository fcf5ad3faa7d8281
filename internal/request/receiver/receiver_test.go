package receiver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

func TestAnswersWhole(t *testing.T) {
	b := newBed(t)
	b.upstream("u1", 8, echo)
	big := strings.Repeat("x", 1<<20)
	cases := []struct{ method, path, body, want string }{
		{"GET", "/v1/services/labels/a%2Fb?c=d", "", "/a%2Fb?c=d "},
		{"POST", "/v1/services/labels/", "lot 7", "/ lot 7"},
		{"POST", "/v1/services/labels", "lot 7", "/ lot 7"},
		{"POST", "/v1/services/labels?a=/b/c", "lot 7", "/?a=/b/c lot 7"},
		{"PUT", "/v1/services/labels/big", big, "/big " + big},
	}
	for _, c := range cases {
		r := b.send(c.method, c.path, c.body, TimeoutHeader, "60000") // the race detector is slow on large bodies
		if r.status != 200 || r.body != c.want || r.outcome() != messenger.OutcomeRun {
			t.Errorf("%s %s: %d %.60q %s", c.method, c.path, r.status, r.body, r.outcome())
		}
	}
}

func TestWrongRequestsAreRefused(t *testing.T) {
	b := newBed(t)
	b.upstream("u1", 8, echo)
	b.send("GET", "/v1/services/labels/x", "", TenantHeader, "slow")
	cases := []struct {
		name, method, path string
		headers            []string
		body               string
		status             int
		again              bool
	}{
		{"no service", "GET", "/v1/services/none/", nil, "", 404, false},
		{"no tenant", "GET", "/v1/services/labels/", []string{TenantHeader, "none"}, "", 403, false},
		{"bad timeout", "GET", "/v1/services/labels/", []string{TimeoutHeader, "soon"}, "", 400, false},
		{"bad mark", "GET", "/v1/services/labels/", []string{IdempotentHeader, "maybe"}, "", 400, false},
		{"key not ASCII", "POST", "/v1/services/labels/", []string{KeyHeader, "caf\xe9"}, "", 400, false},
		{"large body", "POST", "/v1/services/labels/", nil, strings.Repeat("x", MaxBodyBytes+1), 413, false},
		{"tenant's rate", "GET", "/v1/services/labels/", []string{TenantHeader, "slow"}, "", 429, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := b.send(c.method, c.path, c.body, c.headers...)
			if r.status != c.status || r.outcome() != messenger.OutcomeNotRun {
				t.Errorf("got %d %s %s", r.status, r.outcome(), r.body)
			}
			if got := r.header.Get(RetryAfterHeader) != ""; got != c.again {
				t.Errorf("Retry-After given: %v", got)
			}
		})
	}
}

// TestBrokenAnswersAreUnknown has the upstream answer with another request's id,
// without one, or with fewer bytes than declared. The caller must get a clear
// error, and a request that is not idempotent must have been sent once.
func TestBrokenAnswersAreUnknown(t *testing.T) {
	cases := []struct {
		name   string
		handle http.HandlerFunc
	}{
		{"crossed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "another")
			io.WriteString(w, "another's answer")
		}},
		{"no id", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whose?") }},
		{"short", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "half")
		}},
		{"short chunks", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"no length", func(w http.ResponseWriter, r *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nX-Request-Id: %s\r\n\r\nhalf", r.Header.Get("X-Request-Id"))
			conn.Close()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t)
			var runs atomic.Int64
			b.upstream("u1", 8, func(w http.ResponseWriter, r *http.Request) { runs.Add(1); c.handle(w, r) })
			r := b.send("POST", "/v1/services/labels/", "", "Idempotency-Key", "k")
			if r.status != http.StatusBadGateway || r.outcome() != messenger.OutcomeUnknown {
				t.Errorf("got %d %s %s", r.status, r.outcome(), r.body)
			}
			if runs.Load() != 1 {
				t.Errorf("ran %d times", runs.Load())
			}
		})
	}
}

// TestKeyRunsOnce repeats a key. The first request runs; repeats get its answer
// again, a different request with the key is refused, and with the owner away
// nothing is sent.
func TestKeyRunsOnce(t *testing.T) {
	b := newBed(t)
	var runs atomic.Int64
	b.upstream("u1", 8, func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	first := b.send("POST", "/v1/services/labels/print", "lot 7", KeyHeader, "k1")
	waitFor(t, func() bool {
		b.claims.mu.Lock()
		defer b.claims.mu.Unlock()
		return len(b.claims.settled) == 1
	})
	again := b.send("POST", "/v1/services/labels/print", "lot 7", KeyHeader, "k1")
	if again.body != first.body || again.header.Get(ReplayedHeader) != "true" || again.outcome() != messenger.OutcomeRun {
		t.Errorf("repeat got %d %q", again.status, again.body)
	}
	if r := b.send("POST", "/v1/services/labels/print", "lot 8", KeyHeader, "k1"); r.status != 422 || r.outcome() != messenger.OutcomeNotRun {
		t.Errorf("another request with the key got %d %s", r.status, r.outcome())
	}
	b.claims.mu.Lock()
	b.claims.down = true
	b.claims.mu.Unlock()
	if r := b.send("POST", "/v1/services/labels/print", "lot 9", KeyHeader, "k2", TimeoutHeader, "200"); r.status != 503 || r.outcome() != messenger.OutcomeNotRun || r.header.Get(RetryAfterHeader) == "" {
		t.Errorf("with the owner away got %d %s", r.status, r.outcome())
	}
	if runs.Load() != 1 {
		t.Errorf("ran %d times", runs.Load())
	}
}

// TestLostUpstreamIsNotRun announces an upstream at a port where nobody listens:
// the dial is refused, so the request surely did not run, also if not idempotent,
// and goes on to the upstream that works.
func TestLostUpstreamIsNotRun(t *testing.T) {
	b := newBed(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	b.announce("u1", 8, l.Addr().String())
	if r := b.send("POST", "/v1/services/labels/", ""); r.status != 503 || r.outcome() != messenger.OutcomeNotRun {
		t.Errorf("got %d %s", r.status, r.outcome())
	}
	b.upstream("u2", 8, echo)
	for range 20 {
		if r := b.send("POST", "/v1/services/labels/", ""); r.status != 200 {
			t.Errorf("got %d %s %s", r.status, r.outcome(), r.body)
		}
	}
}

// TestSlotsAreNeverExceeded floods one upstream with 2 slots. Every refused
// request must say not-run, and the upstream must never see a third at once.
func TestSlotsAreNeverExceeded(t *testing.T) {
	b := newBed(t)
	var now, most, ran atomic.Int64
	b.upstream("u1", 2, func(w http.ResponseWriter, r *http.Request) {
		n := now.Add(1)
		defer now.Add(-1)
		for m := most.Load(); n > m; m = most.Load() {
			most.CompareAndSwap(m, n)
		}
		ran.Add(1)
		time.Sleep(20 * time.Millisecond)
		echo(w, r)
	})
	var answered, refused, other atomic.Int64
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() {
			switch r := b.send("POST", "/v1/services/labels/", ""); r.outcome() {
			case messenger.OutcomeRun:
				answered.Add(1)
			case messenger.OutcomeNotRun:
				refused.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	group.Wait()
	if most.Load() > 2 || answered.Load() != ran.Load() || other.Load() != 0 || refused.Load() == 0 {
		t.Errorf("at once %d, ran %d, answered %d, refused %d, other %d", most.Load(), ran.Load(), answered.Load(), refused.Load(), other.Load())
	}
}

// TestAgentLeavesWithoutCuttingOff drains the agent while a request runs: it gets
// its whole answer, and a later request is refused as not run.
func TestAgentLeavesWithoutCuttingOff(t *testing.T) {
	b := newBed(t)
	started := make(chan struct{})
	b.upstream("u1", 8, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		echo(w, r)
	})
	got := make(chan reply, 1)
	go func() { got <- b.send("POST", "/v1/services/labels/", "x") }()
	<-started
	if err := b.agent.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	if r := <-got; r.status != 200 || r.body != "/ x" {
		t.Errorf("got %d %s", r.status, r.body)
	}
	if r := b.send("POST", "/v1/services/labels/", "x"); r.outcome() != messenger.OutcomeNotRun {
		t.Errorf("got %d %s", r.status, r.outcome())
	}
}

// TestBodiesAreBounded has the entry hold bodies up to its limit: one more is
// refused as not run, and with those gone the entry takes bodies again.
func TestBodiesAreBounded(t *testing.T) {
	b := newBed(t)
	b.upstream("u1", 8, echo)
	b.receiver.bodyBytes.Store(maxBodiesBytes)
	if r := b.send("POST", "/v1/services/labels/", "x"); r.status != 503 || r.outcome() != messenger.OutcomeNotRun {
		t.Errorf("got %d %s", r.status, r.outcome())
	}
	b.receiver.bodyBytes.Store(0)
	if r := b.send("POST", "/v1/services/labels/", "x"); r.status != 200 {
		t.Errorf("got %d", r.status)
	}
	waitFor(t, func() bool { return b.receiver.bodyBytes.Load() == 0 })
}

// TestSlowServiceIsAnswered has both upstreams take 600 ms of a deadline of 1 s.
// Cutting attempts short to save time for another upstream would leave no attempt
// enough time.
func TestSlowServiceIsAnswered(t *testing.T) {
	b := newBed(t)
	for _, id := range []string{"u1", "u2"} {
		b.upstream(id, 8, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(600 * time.Millisecond)
			echo(w, r)
		})
	}
	for range 3 {
		if r := b.send("GET", "/v1/services/labels/", "", TimeoutHeader, "1000"); r.status != 200 {
			t.Errorf("got %d %s", r.status, r.body)
		}
	}
}

// TestFrozenUpstreamIsLeftForAnother has one of two upstreams stop answering. An
// idempotent request that meets it is answered by the other one within its
// deadline; one that is not idempotent ends as unknown and ran nowhere else.
func TestFrozenUpstreamIsLeftForAnother(t *testing.T) {
	b := newBed(t)
	var frozen atomic.Bool
	var met atomic.Int64
	release := make(chan struct{})
	defer close(release)
	b.upstream("u1", 8, func(w http.ResponseWriter, r *http.Request) {
		if frozen.Load() {
			met.Add(1)
			<-release
		}
		echo(w, r)
	})
	b.upstream("u2", 8, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond) // the frozen one is the faster until then
		echo(w, r)
	})
	for range 20 {
		b.send("GET", "/v1/services/labels/", "")
	}
	frozen.Store(true)
	unknowns := 0
	for i := range 12 {
		method := []string{"GET", "POST"}[i%2]
		switch r := b.send(method, "/v1/services/labels/", "", TimeoutHeader, "600"); {
		case r.status == 200:
		case method == "POST" && r.outcome() == messenger.OutcomeUnknown:
			unknowns++
		default:
			t.Errorf("%s got %d %s", method, r.status, r.body)
		}
	}
	t.Logf("%d met the frozen upstream, %d of 6 that are not idempotent ended as unknown", met.Load(), unknowns)
	if met.Load() == 0 {
		t.Error("no request met the frozen upstream: this shows nothing")
	}
}

// TestKeyedRequestOutlivesItsCaller breaks the caller's connection while its keyed
// request runs. The repeat must get the answer of the first, which ran once.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	b := newBed(t)
	var runs atomic.Int64
	b.upstream("u1", 8, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(200 * time.Millisecond)
		echo(w, r)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/v1/services/labels/print", strings.NewReader("lot 7"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(KeyHeader, "k")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("answered before the caller left")
	}
	waitFor(t, func() bool {
		r := b.send("POST", "/v1/services/labels/print", "lot 7", KeyHeader, "k")
		return r.status == 200 && r.body == "/print lot 7" && r.header.Get(ReplayedHeader) == "true"
	})
	if runs.Load() != 1 {
		t.Errorf("ran %d times", runs.Load())
	}
}

// TestHeadersAndQueriesTravelUnchanged sends bytes that are no UTF-8. The upstream
// must get the header's bytes and the query's meaning, and the caller the header
// of the answer; JSON between entry and agent would replace each of them.
func TestHeadersAndQueriesTravelUnchanged(t *testing.T) {
	b := newBed(t)
	b.upstream("u1", 8, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Name", r.Header.Get("X-Name")+" "+r.URL.Query().Get("q"))
		echo(w, r)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /v1/services/labels/?q=\xe9 HTTP/1.0\r\nX-Name: caf\xe9 \xc3\xa9\r\n\r\n")
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if want := "X-Name: caf\xe9 \xc3\xa9 \xe9\r\n"; !strings.Contains(string(answer), want) {
		t.Errorf("got %q", answer)
	}
}
