package generator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// A slow server must receive the same arrivals as a fast one: a generator that waits
// for answers would send fewer requests to it and report a better tail latency.
func TestSlowAnswersDontReduceLoad(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			var received, running, maxConcurrent atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received.Add(1)
				if n := running.Add(1); n > maxConcurrent.Load() {
					maxConcurrent.Store(n)
				}
				time.Sleep(delay)
				running.Add(-1)
				fmt.Fprintf(w, "%s %s ", r.Method, r.URL.RequestURI())
			}))
			defer s.Close()
			r := New(Config{Targets: []string{s.URL}, Path: "/x", Rate: 200, Duration: time.Second, Seed: 7}).Run(t.Context())
			want := New(Config{Rate: 200, Duration: time.Second, Seed: 7})
			var arrivals int64
			for range want.schedule() {
				arrivals++
			}
			if received.Load() != arrivals || r.Good != arrivals || r.Wrong != 0 {
				t.Errorf("%d received, %d good, %d wrong of %d", received.Load(), r.Good, r.Wrong, arrivals)
			}
			if delay > 0 && maxConcurrent.Load() < 10 {
				t.Errorf("at most %d concurrent requests: arrivals waited for answers", maxConcurrent.Load())
			}
			if r.Latency.P50 < float64(delay.Milliseconds()) {
				t.Errorf("p50 %.1f ms", r.Latency.P50)
			}
		})
	}
}

func TestAnswersAreClassified(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	cases := []struct {
		name   string
		answer http.HandlerFunc
		check  func(Report) bool
	}{
		{"own answer", echo, func(r Report) bool { return r.Good == r.Offered }},
		{
			"answer to another request", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "other") },
			func(r Report) bool { return r.Wrong == r.Offered && r.Good == 0 },
		},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(r Report) bool { return r.Outcomes["not-run"] == r.Offered && r.Refused.Count == r.Offered }},
		{
			"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			func(r Report) bool { return r.Outcomes["error"] == r.Offered },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(c.answer)
			defer s.Close()
			r := New(Config{
				Targets: []string{s.URL}, Method: http.MethodPost, BodyBytes: 100, Rate: 300, Duration: 200 * time.Millisecond,
				Slice: 50 * time.Millisecond, Tenants: []Tenant{{"a", 1}, {"b", 1}}, Seed: 3,
			}).Run(t.Context())
			if r.Offered == 0 || !c.check(r) || len(r.ByTenant) != 2 || len(r.Slices) != 4 {
				t.Errorf("%+v", r)
			}
		})
	}
}
