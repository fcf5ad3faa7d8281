// Package requester implements the client of the operators' HTTP API. It tries several
// entries, and repeats only requests that are safe to repeat.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"bamboospread/internal/operator/handler"
)

// Limits of a request.
const (
	DefaultTimeout     = 15 * time.Second
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = time.Second
	readAttemptTimeout = 3 * time.Second
	maxAnswerBytes     = 64 << 20
)

// Config holds the settings of a Requester.
type Config struct {
	Entries []string      // host:port or http://host:port
	Timeout time.Duration // of a request including its repeats; 0: DefaultTimeout
	HTTP    *http.Client
}

// Requester is a client of the operator API. It is safe for concurrent use.
type Requester struct {
	config Config
	client *http.Client
}

// New returns a Requester.
func New(c Config) *Requester {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	}
	entries := make([]string, 0, len(c.Entries))
	for _, e := range c.Entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		entries = append(entries, strings.TrimRight(e, "/"))
	}
	c.Entries = entries
	return &Requester{config: c, client: client}
}

// ErrRefused is returned when an entry rejected the request, for example as invalid or
// because another change was accepted first. Nothing was changed.
type ErrRefused struct {
	Status int
	Answer handler.ErrorAnswer
}

func (e ErrRefused) Error() string { return e.Answer.Error }

// IsErrRefused reports whether err is, or wraps, an ErrRefused.
func IsErrRefused(err error) bool { return as[ErrRefused](err) }

// ErrUnavailable is returned when no entry could carry out the request. Nothing was
// changed.
type ErrUnavailable struct{ Cause error }

func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("no entry can do this now, nothing was changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is, or wraps, an ErrUnavailable.
func IsErrUnavailable(err error) bool { return as[ErrUnavailable](err) }

// ErrOutcomeUnknown is returned when it is not known whether a change took
// effect.
type ErrOutcomeUnknown struct {
	Cause error
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("it is not known whether the request took effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// IsErrOutcomeUnknown reports whether err is, or wraps, an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return as[ErrOutcomeUnknown](err) }

func as[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// call describes one request.
type call struct {
	method, path string
	query        url.Values
	header       http.Header
	body         []byte
	readOnly     bool // the request has no effect
	repeatable   bool // safe to send again after an attempt that may have taken effect
	result       any
}

// do sends c to one entry after another until one gives a definite answer.
//
// After a broken connection, or an answer with an unknown outcome, it is unknown whether
// the change took effect. Repeating it with the same change id resolves this. From then on
// only an answer derived from the state of the store is definite: done, refused or
// conflict. "Unavailable" from the next entry says nothing about the earlier attempt, so
// the outcome stays unknown.
func (q *Requester) do(ctx context.Context, c call) error {
	if len(q.config.Entries) == 0 {
		return ErrUnavailable{Cause: errors.New("no entries are given")}
	}
	ctx, cancel := context.WithTimeout(ctx, q.config.Timeout)
	defer cancel()
	var unknownErr, lastErr error
	delay := minRetryDelay
	for attempt := 0; ; attempt++ {
		err := q.attempt(ctx, q.config.Entries[attempt%len(q.config.Entries)], c)
		switch {
		case err == nil || IsErrRefused(err):
			return err
		case IsErrOutcomeUnknown(err) && !c.readOnly:
			unknownErr = err
			if !c.repeatable {
				return unknownErr
			}
		}
		lastErr = err
		if (attempt+1)%len(q.config.Entries) == 0 {
			if !sleep(ctx, delay) {
				break
			}
			delay = min(2*delay, maxRetryDelay)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unknownErr != nil {
		return unknownErr
	}
	if IsErrUnavailable(lastErr) {
		return lastErr
	}
	return ErrUnavailable{Cause: lastErr}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// attempt limits the time of one attempt, so that a frozen entry leaves time for another.
func (q *Requester) attempt(ctx context.Context, entry string, c call) error {
	limit := q.config.Timeout * 2 / 3
	if c.readOnly {
		limit = min(limit, readAttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return q.send(ctx, entry, c)
}

// send makes one request to one entry.
func (q *Requester) send(ctx context.Context, entry string, c call) error {
	target := entry + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return ErrRefused{Answer: handler.ErrorAnswer{Error: err.Error(), Outcome: handler.OutcomeRefused}}
	}
	for k, v := range c.header {
		request.Header[k] = v
	}
	// The standard client repeats some requests itself when a reused connection breaks;
	// without GetBody it does so only if nothing was sent.
	request.GetBody = nil
	var connected atomic.Bool // nothing is sent before
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	answer, err := q.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !connected.Load() {
		return ErrUnavailable{Cause: err}
	}
	if err != nil {
		return ErrOutcomeUnknown{Cause: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return ErrOutcomeUnknown{Cause: fmt.Errorf("read answer of %s: %w", entry, err)}
	}
	return decodeAnswer(answer.StatusCode, body, c.result)
}

func decodeAnswer(status int, body []byte, result any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(body, result); err != nil {
			return ErrOutcomeUnknown{Cause: fmt.Errorf("decode answer: %w", err)}
		}
		return nil
	}
	a := handler.DecodeError(body)
	switch {
	case a.Outcome == handler.OutcomeUnavailable:
		return ErrUnavailable{Cause: errors.New(a.Error)}
	case a.Outcome == handler.OutcomeUnknown:
		return ErrOutcomeUnknown{Cause: errors.New(a.Error)}
	case status >= http.StatusInternalServerError && a.Outcome == "":
		// Not an answer of an entry, but of an intermediary.
		return ErrOutcomeUnknown{Cause: fmt.Errorf("status %d: %s", status, a.Error)}
	}
	return ErrRefused{Status: status, Answer: a}
}
