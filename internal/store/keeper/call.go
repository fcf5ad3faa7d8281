package keeper

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"bamboospread/internal/wire/overseer"
)

// maxErrorBytes limits how much of an error response goes into the error message.
const maxErrorBytes = 512

// callOptions describes one call to the service.
type callOptions struct {
	kind   string
	write  bool // without an answer, the outcome is unknown
	key    string
	lease  int64
	body   any
	answer any           // pointer, or nil
	wait   time.Duration // how long the service may delay the answer
	after  int64         // revision after which a watch continues
}

// call makes one call. It returns ErrOutcomeUnknown for a write that may have been
// sent and has no definite answer, and ErrUnavailable for any other call without
// an answer.
func (k *Keeper) call(ctx context.Context, o callOptions) error {
	if k.config.CountCall != nil {
		k.config.CountCall(o.kind)
	}
	body, err := json.Marshal(o.body)
	if err != nil {
		return fmt.Errorf("encode store call %s: %w", o.kind, err)
	}
	ctx, progress := overseer.New(ctx, overseer.Config{First: k.config.CallTimeout + o.wait + transferTime(len(body)), Next: k.config.CallTimeout})
	defer progress.End()
	// A write counts as sent once it has a connection. Before that, no byte of it
	// can have reached the service.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	// net/http retries a POST only if no byte of it was sent, so a write is never
	// repeated without the caller's knowledge.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, k.config.URL+PathPrefix+o.kind, bytes.NewReader(body))
	if err != nil {
		return ErrUnavailable{err}
	}
	r.Header.Set("Content-Type", "application/json")
	progress.ObserveRequest(r)
	reply, err := k.client.Do(r)
	if err != nil {
		return noAnswerError(o.write && sent.Load(), overseer.Cause(ctx, err))
	}
	defer reply.Body.Close()
	progress.ObserveAnswer(reply)
	return readAnswer(o, reply)
}

// minTransferRate is the assumed minimum rate, in bytes per second, at which the service
// receives a call. A large write that times out too early is retried unchanged and never
// succeeds.
const minTransferRate = 256 << 10

// transferTime returns how much longer a call of the given size may take than a small one.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minTransferRate
}

// noAnswerError returns the error for a call without a definite answer.
func noAnswerError(mayHaveEffect bool, cause error) error {
	if mayHaveEffect {
		return ErrOutcomeUnknown{cause}
	}
	return ErrUnavailable{cause}
}

// readAnswer decodes the answer of a call, or converts its status to an error.
func readAnswer(o callOptions, reply *http.Response) error {
	switch reply.StatusCode {
	case http.StatusOK:
		if o.answer == nil {
			_, _ = io.Copy(io.Discard, reply.Body) // so that the connection can be reused
			return nil
		}
		if err := json.NewDecoder(reply.Body).Decode(o.answer); err != nil {
			return noAnswerError(o.write, fmt.Errorf("decode store answer to %s: %w", o.kind, err))
		}
		return nil
	case http.StatusConflict:
		var a RecordAnswer
		if err := json.NewDecoder(reply.Body).Decode(&a); err != nil {
			return noAnswerError(o.write, fmt.Errorf("decode store answer to %s: %w", o.kind, err))
		}
		// A transaction may have expectations for several keys; the record names the one that failed.
		return ErrConflict{Key: cmp.Or(a.Record.Key, o.key), Current: a.Record}
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
		return noAnswerError(o.write, err)
	}
	return err // the call itself is invalid, for example because a value is too large
}
