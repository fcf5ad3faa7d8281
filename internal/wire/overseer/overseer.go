// Package overseer ends calls that make no progress. A call whose limit counts the whole transfer can
// never be completed if its data is too large for the link, however often it is repeated.
package overseer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Config holds the settings of an Overseer.
type Config struct {
	// First is how long the answer may take to begin once the request was sent; Next is how long each
	// further part of either may take.
	First, Next time.Duration
}

// Overseer watches one call. It is safe for concurrent use.
type Overseer struct {
	config Config
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// ErrStalled is the cause of the end of a call whose data has stopped.
type ErrStalled struct {
	Limit time.Duration // without progress
}

func (e ErrStalled) Error() string { return fmt.Sprintf("no progress for %s", e.Limit) }

// Is makes an ErrStalled a timeout, as the end of a deadline is.
func (e ErrStalled) Is(target error) bool { return target == context.DeadlineExceeded }

// New returns an Overseer and the context of its call, which ends with the cause ErrStalled once the
// call makes no progress. End has to be called.
func New(ctx context.Context, c Config) (context.Context, *Overseer) {
	ctx, cancel := context.WithCancelCause(ctx)
	o := &Overseer{config: c, cancel: cancel}
	o.timer = time.AfterFunc(c.First, func() { cancel(ErrStalled{c.First}) })
	return ctx, o
}

// End releases what the Overseer holds; the context of the call ends.
func (o *Overseer) End() {
	o.timer.Stop()
	o.cancel(nil)
}

// Cause returns err with ErrStalled added if the Overseer has ended the call of ctx.
func Cause(ctx context.Context, err error) error {
	var stalled ErrStalled
	if err != nil && errors.As(context.Cause(ctx), &stalled) && !errors.As(err, &stalled) {
		return fmt.Errorf("%w: %w", stalled, err)
	}
	return err
}

// ObserveRequest makes each part of the body that is sent count as progress.
func (o *Overseer) ObserveRequest(r *http.Request) {
	if r.Body == nil {
		return
	}
	r.Body = body{r.Body, o, o.config.First}
	if get := r.GetBody; get != nil {
		r.GetBody = func() (io.ReadCloser, error) {
			b, err := get()
			return body{b, o, o.config.First}, err
		}
	}
}

// ObserveAnswer makes each part of the body that is received count as progress.
func (o *Overseer) ObserveAnswer(r *http.Response) {
	o.timer.Reset(o.config.Next)
	r.Body = body{r.Body, o, o.config.Next}
}

// body is a body whose reads restart the timer.
type body struct {
	io.ReadCloser
	overseer *Overseer
	limit    time.Duration
}

func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.overseer.timer.Reset(b.limit)
	}
	return n, err
}
