package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// maxErrorBytes is how much of an error answer is kept for its message.
const maxErrorBytes = 512

// callOptions describes one call to the service.
type callOptions struct {
	kind   string
	write  bool // a lost answer leaves the outcome unknown
	key    string
	lease  int64
	body   any
	answer any           // pointer, or nil
	wait   time.Duration // how long the service may hold the answer
	after  int64         // revision that a watch goes on from
}

// call makes one call. A write that may have left this process and has no
// definite answer is ErrOutcomeUnknown; everything else without an answer is
// ErrUnavailable.
func (k *Keeper) call(ctx context.Context, o callOptions) error {
	if k.config.CountCall != nil {
		k.config.CountCall(o.kind)
	}
	body, err := json.Marshal(o.body)
	if err != nil {
		return fmt.Errorf("encode store call %s: %w", o.kind, err)
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout+o.wait+transferTime(len(body)))
	defer cancel()
	// A write counts as sent from the moment it was given a connection. Before
	// that no byte of it can have reached the service, whatever failed.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	// net/http sends a POST a second time only if no byte of the first went out,
	// so a write is never repeated behind the caller's back.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, k.config.URL+PathPrefix+o.kind, bytes.NewReader(body))
	if err != nil {
		return ErrUnavailable{err}
	}
	r.Header.Set("Content-Type", "application/json")
	reply, err := k.client.Do(r)
	if err != nil {
		return lost(o.write && sent.Load(), err)
	}
	defer reply.Body.Close()
	return readAnswer(o, reply)
}

// slowestLink is the rate, in bytes a second, at which the service takes a call at least. A
// large write that is given up too early is made again as it was, and never gets through.
const slowestLink = 256 << 10

// transferTime is what a call of so many bytes may take beyond a small one.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowestLink
}

// lost returns the error of a call without an answer.
func lost(mayHaveEffect bool, cause error) error {
	if mayHaveEffect {
		return ErrOutcomeUnknown{cause}
	}
	return ErrUnavailable{cause}
}

func readAnswer(o callOptions, reply *http.Response) error {
	switch reply.StatusCode {
	case http.StatusOK:
		if o.answer == nil {
			_, _ = io.Copy(io.Discard, reply.Body) // lets the connection be used again
			return nil
		}
		if err := json.NewDecoder(reply.Body).Decode(o.answer); err != nil {
			return lost(o.write, fmt.Errorf("decode store answer to %s: %w", o.kind, err))
		}
		return nil
	case http.StatusConflict:
		var a RecordAnswer
		if err := json.NewDecoder(reply.Body).Decode(&a); err != nil {
			return lost(o.write, fmt.Errorf("decode store answer to %s: %w", o.kind, err))
		}
		return ErrConflict{Key: o.key, Current: a.Record}
	case http.StatusNotFound:
		return ErrKeyNotExist{Key: o.key}
	case http.StatusGone:
		if o.kind == KindWatch {
			return ErrHistoryNotExist{After: o.after}
		}
		return ErrLeaseNotExist{Lease: o.lease}
	}
	text, _ := io.ReadAll(io.LimitReader(reply.Body, maxErrorBytes))
	err := fmt.Errorf("store answered %s with status %d: %s", o.kind, reply.StatusCode, bytes.TrimSpace(text))
	switch {
	case reply.StatusCode == http.StatusServiceUnavailable, reply.StatusCode == http.StatusTooManyRequests:
		return ErrUnavailable{err}
	case reply.StatusCode >= http.StatusInternalServerError:
		return lost(o.write, err)
	}
	return err // the call itself is wrong, for instance a value too large
}
