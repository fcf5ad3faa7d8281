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

// answer is the final answer to a caller.
type answer struct {
	status     int
	outcome    messenger.Outcome
	header     http.Header
	body       []byte
	reason     string        // of an answer of the entry's own; body is made from it
	retryAfter time.Duration // 0: repeating it changes nothing
	replayed   bool
	closeConn  bool
}

// refuse is the answer to a request that is wrong; repeating it won't help.
func refuse(status int, reason string) *answer {
	return &answer{status: status, outcome: messenger.OutcomeNotRun, reason: reason}
}

// refuseFor is the answer to a request that can be sent again after a while.
func refuseFor(status int, reason string, after time.Duration) *answer {
	return &answer{status: status, outcome: messenger.OutcomeNotRun, reason: reason, retryAfter: max(after, minRetryAfter)}
}

func unknown(status int, reason string) *answer {
	return &answer{status: status, outcome: messenger.OutcomeUnknown, reason: reason}
}

// errorBody is the body of an answer of the entry's own.
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
		// The struct has only strings, so it always encodes.
		body, _ = json.Marshal(errorBody{Error: a.reason, Outcome: a.outcome, RequestID: id})
		body = append(body, '\n')
		h.Set("Content-Type", "application/json")
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one that the upstream did not give
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
		after := spread(a.retryAfter)
		h.Set(RetryAfterHeader, strconv.FormatInt(max(1, int64((after+time.Second-1)/time.Second)), 10))
		h.Set(RetryMsHeader, strconv.FormatInt(messenger.Millis(after), 10))
	}
	w.WriteHeader(a.status)
	// A caller that has gone shows here as an error; nobody is left to tell.
	_, _ = w.Write(body)
}

// spread lengthens a time by up to half, so that callers refused together do not
// come back together.
func spread(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + rand.N(d/2+1)
}
