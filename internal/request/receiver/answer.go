package receiver

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bamboospread/internal/wire/messenger"
)

const (
	defaultRetryAfter = 100 * time.Millisecond
	minRetryAfter     = 10 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
)

// answer is the final response to a caller.
type answer struct {
	status     int
	outcome    messenger.Outcome
	header     http.Header
	body       []byte
	reason     string        // set if the entry itself answers; the body is built from it
	retryAfter time.Duration // 0: a repeat would have the same result
	replayed   bool
	closeConn  bool
}

// newRefusal returns the answer to an invalid request; a repeat would be refused too.
func newRefusal(status int, reason string) *answer {
	return &answer{status: status, outcome: messenger.OutcomeNotRun, reason: reason}
}

// newRetryableRefusal returns the answer to a request that did not run and that the
// caller may repeat after the given time.
func newRetryableRefusal(status int, reason string, after time.Duration) *answer {
	return &answer{status: status, outcome: messenger.OutcomeNotRun, reason: reason, retryAfter: max(after, minRetryAfter)}
}

// newUnknown returns the answer to a request with an unknown outcome.
func newUnknown(status int, reason string) *answer {
	return &answer{status: status, outcome: messenger.OutcomeUnknown, reason: reason}
}

// errorBody is the body of an answer that the entry itself gives.
type errorBody struct {
	Error     string            `json:"error"`
	Outcome   messenger.Outcome `json:"outcome"`
	RequestID string            `json:"request-id"`
}

func (a *answer) write(w http.ResponseWriter, id string) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	body := a.body
	if a.reason != "" {
		// The struct has only strings, so encoding can't fail.
		body, _ = json.Marshal(errorBody{Error: a.reason, Outcome: a.outcome, RequestID: id})
		body = append(body, '\n')
		h.Set("Content-Type", "application/json")
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise net/http sets a guessed type that the upstream did not send
	}
	h.Set(OutcomeHeader, string(a.outcome))
	h.Set(RequestIDHeader, id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if a.replayed {
		h.Set(ReplayedHeader, "true")
	}
	if a.closeConn {
		h.Set("Connection", "close")
	}
	if a.retryAfter > 0 {
		after := addJitter(a.retryAfter)
		h.Set(RetryAfterHeader, strconv.FormatInt(max(1, int64((after+time.Second-1)/time.Second)), 10))
		h.Set(RetryAfterMsHeader, strconv.FormatInt(messenger.Millis(after), 10))
	}
	w.WriteHeader(a.status)
	// An error means that the caller has disconnected; there is nobody to report it to.
	_, _ = w.Write(body)
}

// addJitter extends a duration by up to half, so that callers that are refused at the
// same time do not retry at the same time.
func addJitter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + rand.N(d/2+1)
}
