package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

// requestLink is a link on the path of a request.
type requestLink struct {
	name string
	set  func(b *requestTestbed, callerLinks []*proxy.Proxy, f proxy.Faults)
}

// requestLinks returns the links on the path of a request.
func requestLinks() []requestLink {
	return []requestLink{
		{"agent and upstream", func(b *requestTestbed, _ []*proxy.Proxy, f proxy.Faults) {
			for _, vm := range b.VMs {
				vm.UpstreamLink.Set(f)
			}
		}},
		{"entry and agent", func(b *requestTestbed, _ []*proxy.Proxy, f proxy.Faults) {
			for _, e := range b.Entries {
				e.RPCLink.Set(f)
			}
		}},
		{"caller and entry", func(_ *requestTestbed, callerLinks []*proxy.Proxy, f proxy.Faults) {
			for _, l := range callerLinks {
				l.Set(f)
			}
		}},
	}
}

// unreachablePatterns are the ways in which a link is unreachable.
var unreachablePatterns = []struct {
	name string
	play func(set func(proxy.Faults))
}{
	{"reset once", func(set func(proxy.Faults)) { set(proxy.Faults{Refuse: true}) }},
	{"accepted and reset", func(set func(proxy.Faults)) {
		set(proxy.Faults{Refuse: true})
		time.Sleep(faultDuration)
	}},
	{"refused", func(set func(proxy.Faults)) {
		set(proxy.Faults{Unreachable: true})
		time.Sleep(faultDuration)
	}},
	{"refused for longer than a heartbeat is valid", func(set func(proxy.Faults)) {
		set(proxy.Faults{Unreachable: true})
		time.Sleep(4 * time.Second)
	}},
	{"refused again and again", func(set func(proxy.Faults)) {
		for range 8 {
			set(proxy.Faults{Unreachable: true})
			time.Sleep(100 * time.Millisecond)
			set(proxy.Faults{})
			time.Sleep(50 * time.Millisecond)
		}
	}},
}

// TestUnreachableLinksOfRequests guards against requests that run twice, or run although their callers
// are told that they did not, and against upstreams with more requests than slots: a process whose
// connections are reset and refused lives on, and so do the requests that it runs.
func TestUnreachableLinksOfRequests(t *testing.T) {
	for _, link := range requestLinks() {
		t.Run(link.name, func(t *testing.T) {
			t.Parallel()
			b := newLinkedRequestTestbed(t, true, "--service-time", "80ms")
			callerLinks := make([]*proxy.Proxy, len(b.Entries))
			for i, e := range b.Entries {
				callerLinks[i] = b.StartProxy(proxy.Config{Target: e.HTTP})
			}
			for _, pattern := range unreachablePatterns {
				from := time.Now()
				stop := b.loadThrough(callerLinks, 64)
				time.Sleep(faultDuration / 2)
				pattern.play(func(f proxy.Faults) { link.set(b, callerLinks, f) })
				link.set(b, callerLinks, proxy.Faults{})
				time.Sleep(faultDuration / 2)
				all := stop()
				t.Run(pattern.name, func(t *testing.T) { b.checkUnreachable(t, all, from) })
				b.awaitRecovery()
			}
		})
	}
}

// loadThrough sends print orders with a key, uploads without one, and lookups through links to the entries
// until stop is called. A caller repeats an order whose outcome it does not know.
func (b *requestTestbed) loadThrough(links []*proxy.Proxy, callers int) (stop func() []response) {
	entries := make([]*harness.Entry, len(links))
	for i, l := range links {
		entries[i] = &harness.Entry{Process: b.Entries[i].Process, HTTP: l.Address()}
	}
	var mu sync.Mutex
	var all []response
	done := make(chan struct{})
	var group sync.WaitGroup
	for caller := range callers {
		send := func(n int, s request) response {
			r := b.send(entries[n%len(entries)], s)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
			return r
		}
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
				}
				n := int(b.requestCount.Add(1))
				s := request{method: http.MethodPost, path: fmt.Sprint("/upload/", n), body: fmt.Sprint("snow ", n), timeout: time.Second}
				switch caller % 3 {
				case 0:
					send(n, s)
				case 1:
					s.path, s.key = fmt.Sprint("/print/", n), fmt.Sprintf("print-%d-%d", b.seed, n)
					for i := range repeats {
						if r := send(n+i, s); r.err == nil && r.outcome == messenger.OutcomeRun {
							break
						}
						time.Sleep(20 * time.Millisecond)
					}
				case 2:
					send(n, request{method: http.MethodGet, path: fmt.Sprint("/depth/", n), timeout: time.Second})
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

// checkUnreachable checks all responses since a time against what the upstreams recorded.
func (b *requestTestbed) checkUnreachable(t *testing.T, all []response, from time.Time) {
	t.Log(summarize(all))
	paths, ids := b.countRuns(byPath), b.countRuns(byRequestID)
	for _, r := range all {
		runs := paths[r.request.path]
		if r.request.method == http.MethodPost && runs > 1 {
			t.Errorf("%s ran %d times; %s answered %d %s %v", r.request.path, runs, r.entry, r.status, r.outcome, r.err)
		}
		if r.err != nil {
			continue
		}
		if r.outcome == messenger.OutcomeNotRun && ids[r.id] > 0 {
			t.Errorf("%s through %s: answered as not-run, %s, but it ran", r.request.path, r.entry, r.body)
		}
		if r.outcome == messenger.OutcomeRun && runs == 0 {
			t.Errorf("%s through %s: answered as run, but it did not run", r.request.path, r.entry)
		}
		if problem := r.validate(); problem != "" {
			t.Errorf("%s through %s: %s", r.request.path, r.entry, problem)
		}
	}
	for _, run := range b.Runs() {
		if run.Phase == "begin" && run.Overload && run.Time.After(from) {
			t.Errorf("%s began %s while all its slots were in use: it runs %d", run.Upstream, run.Path, run.Running)
		}
	}
}
