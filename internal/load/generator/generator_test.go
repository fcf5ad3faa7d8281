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

// A server that stalls must meet the same arrivals as a quick one: a generator
// that waits for answers would send less to it and show a better tail.
func TestSlowAnswersDontThinLoad(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			var came, running, most atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				came.Add(1)
				if n := running.Add(1); n > most.Load() {
					most.Store(n)
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
			if came.Load() != arrivals || r.Good != arrivals || r.Wrong != 0 {
				t.Errorf("%d came, %d good, %d wrong of %d", came.Load(), r.Good, r.Wrong, arrivals)
			}
			if delay > 0 && most.Load() < 10 {
				t.Errorf("at most %d requests ran at once: arrivals waited for answers", most.Load())
			}
			if r.Latency.P50 < float64(delay.Milliseconds()) {
				t.Errorf("p50 %.1f ms", r.Latency.P50)
			}
		})
	}
}

func TestAnswersAreJudged(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	cases := []struct {
		name   string
		answer http.HandlerFunc
		check  func(Report) bool
	}{
		{"own", echo, func(r Report) bool { return r.Good == r.Offered }},
		{
			"another's", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "other") },
			func(r Report) bool { return r.Wrong == r.Offered && r.Good == 0 },
		},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(r Report) bool { return r.Outcomes["not-run"] == r.Offered && r.Refused.Count == r.Offered }},
		{
			"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
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
