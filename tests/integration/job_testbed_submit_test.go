package integration

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/operator/requester"
)

// TestSubmissionAfterUnknownOutcomeIsNotRefused guards against a check that calls a job refused,
// and its runs a fault, although an earlier submission of it may have been accepted: that no entry
// can take it now says nothing about that one. It tests the testbed, with a fake entry.
func TestSubmissionAfterUnknownOutcomeIsNotRefused(t *testing.T) {
	const timeout = 200 * time.Millisecond // of a submission with its repeats
	cases := []struct {
		name              string
		first             int // status of the first answer
		accepts           bool
		accepted, refused bool
	}{
		{"unknown, then unavailable, then accepted", http.StatusBadGateway, true, true, false},
		{"unavailable", http.StatusServiceUnavailable, false, false, true},
		{"accepted", http.StatusOK, true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var answers atomic.Int64
			begin := time.Now()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				status := http.StatusServiceUnavailable
				if answers.Add(1) == 1 {
					status = c.first
				} else if c.accepts && time.Since(begin) > 3*timeout {
					status = http.StatusOK
				}
				answer := handler.ErrorAnswer{}
				if status == http.StatusServiceUnavailable {
					answer = handler.ErrorAnswer{Error: "no owner", Outcome: handler.OutcomeUnavailable}
				}
				w.WriteHeader(status)
				if err := json.NewEncoder(w).Encode(answer); err != nil {
					t.Error(err)
				}
			}))
			t.Cleanup(server.Close)
			r := &jobTestbed{
				t: t, operator: requester.New(requester.Config{Entries: []string{server.URL}, Timeout: timeout}),
				accepted: make(map[string]*specifier.Job), refused: make(map[string]bool),
			}
			r.submit(&specifier.Job{ID: "00000000000004d2", Queue: "labels"})
			if accepted := len(r.accepted) == 1; accepted != c.accepted || r.refused["00000000000004d2"] != c.refused {
				t.Errorf("accepted %t, refused %t; want %t, %t", accepted, r.refused["00000000000004d2"], c.accepted, c.refused)
			}
		})
	}
}
