package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Headers of requests and answers between callers and entries.
const (
	headerOutcome   = "Bamboospread-Outcome"
	headerTenant    = "Bamboospread-Tenant"
	headerTimeout   = "Bamboospread-Timeout-Ms"
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
)

// Outcomes that the generator adds to those of the entries.
const (
	outcomeError   messenger.Outcome = "error"    // no answer, or an incomplete one
	outcomeNotSent messenger.Outcome = "not-sent" // MaxInFlight requests were in flight
)

// timeoutMargin is added to the caller's deadline, so that an answer that the entry
// sends at the deadline is still received and counted with its outcome.
const timeoutMargin = 500 * time.Millisecond

// result is the outcome of one arrival.
type result struct {
	arrival
	outcome messenger.Outcome
	status  int
	reason  string // reported by the entry, or the failure of the call
	wrong   bool   // answered as run, but with another body than expected
	latency time.Duration
	lag     time.Duration // of the generator behind its schedule
}

func (g *Generator) send(ctx context.Context, a arrival) result {
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout+timeoutMargin)
	defer cancel()
	id := g.prefix + "-" + strconv.FormatInt(a.number, 10)
	res := result{arrival: a, outcome: outcomeError}
	r, body, err := g.request(ctx, a, id)
	if err != nil {
		return res
	}
	answer, err := g.client.Do(r)
	if err != nil {
		res.latency, res.reason = time.Since(a.at), "no answer"
		return res
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	res.latency, res.status = time.Since(a.at), answer.StatusCode
	if err != nil {
		res.reason = "incomplete answer"
		return res
	}
	res.outcome = messenger.Outcome(answer.Header.Get(headerOutcome))
	if res.outcome == "" && answer.StatusCode == http.StatusOK {
		res.outcome = messenger.OutcomeRun // upstreams that are called directly do not send the header
	}
	if res.outcome == "" {
		res.outcome = outcomeError
	}
	if res.outcome == messenger.OutcomeRun && answer.StatusCode == http.StatusOK {
		res.wrong = !isOwnAnswer(id, body, data)
		return res
	}
	res.reason = parseReason(data)
	return res
}

// parseReason returns the error in an answer that the entry itself produced, or "".
func parseReason(data []byte) string {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.Error
}

func (g *Generator) request(ctx context.Context, a arrival, id string) (*http.Request, []byte, error) {
	target := g.config.Targets[a.number%int64(len(g.config.Targets))] + g.config.Path + "?id=" + id
	var body []byte
	if g.config.Method == http.MethodPost {
		body = fmt.Appendf(nil, "id=%s ", id)
		if padding := g.config.BodyBytes - len(body); padding > 0 {
			body = append(body, strings.Repeat("x", padding)...)
		}
	} else if g.config.BodyBytes > 0 {
		target += "&bytes=" + strconv.Itoa(g.config.BodyBytes)
	}
	r, err := http.NewRequestWithContext(ctx, g.config.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerTimeout, strconv.FormatInt(messenger.Millis(g.config.Timeout), 10))
	if a.tenant != "" {
		r.Header.Set(headerTenant, a.tenant)
	}
	if g.config.Keyed {
		r.Header.Set(headerKey, id)
	}
	return r, body, nil
}

// isOwnAnswer reports whether an answer of the stand-in upstream belongs to the request
// with this id. The upstream echoes the body, or the URL of a request without one.
func isOwnAnswer(id string, body, answer []byte) bool {
	if len(body) > 0 {
		return bytes.Equal(body, answer)
	}
	return bytes.Contains(answer, []byte("id="+id+" ")) || bytes.Contains(answer, []byte("id="+id+"&"))
}
