package overseer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bamboospread/internal/standin/piper"
)

const limit = 200 * time.Millisecond

// slowReader returns text in parts, with a pause before each. After the last it stalls until ctx
// ends, if stalls is set.
type slowReader struct {
	ctx    context.Context
	parts  []string
	pause  time.Duration
	stalls bool
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.parts) == 0 {
		if s.stalls {
			<-s.ctx.Done()
			return 0, s.ctx.Err()
		}
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	return n, nil
}

// Guards against calls that are given up although they make progress, and against calls that wait
// for good.
func TestCallEndsWithoutProgress(t *testing.T) {
	many := strings.Split(strings.Repeat("part ", 12), " ")
	tests := []struct {
		name         string
		request      *slowReader
		answer       *slowReader
		delay        time.Duration // before the answer begins
		want         bool
		noLongerThan time.Duration
	}{
		{name: "fast", want: true, noLongerThan: limit},
		{name: "slow request", request: &slowReader{parts: many, pause: limit / 4}, want: true, noLongerThan: 5 * limit},
		{name: "slow answer", answer: &slowReader{parts: many, pause: limit / 4}, want: true, noLongerThan: 5 * limit},
		{name: "request that stops", request: &slowReader{parts: many[:4], pause: limit / 4, stalls: true}, noLongerThan: 3 * limit},
		{name: "answer that stops", answer: &slowReader{parts: many[:4], pause: limit / 4, stalls: true}, noLongerThan: 3 * limit},
		{name: "no answer", delay: time.Hour, noLongerThan: 2 * limit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// In a bubble, since a process that stands still makes no progress either.
			synctest.Test(t, func(t *testing.T) {
				client, end := piper.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					select {
					case <-time.After(tt.delay):
					case <-r.Context().Done():
						return
					}
					if tt.answer == nil {
						return
					}
					tt.answer.ctx = r.Context()
					for buffer := make([]byte, 100); ; {
						n, err := tt.answer.Read(buffer)
						if err != nil {
							return
						}
						_, _ = w.Write(buffer[:n])
						w.(http.Flusher).Flush()
					}
				}))
				t.Cleanup(end)
				startedAt := time.Now()
				ctx, o := New(t.Context(), Config{First: limit, Next: limit})
				defer o.End()
				var body io.Reader
				if tt.request != nil {
					tt.request.ctx = ctx
					body = tt.request
				}
				err := exchange(ctx, o, client, body)
				if (err == nil) != tt.want {
					t.Errorf("got %v", err)
				}
				if err != nil && !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("%v is not a timeout", err)
				}
				if took := time.Since(startedAt); took > tt.noLongerThan {
					t.Errorf("took %s, want at most %s", took, tt.noLongerThan)
				}
			})
		})
	}
}

func exchange(ctx context.Context, o *Overseer, client *http.Client, body io.Reader) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://server", body)
	if err != nil {
		return err
	}
	o.ObserveRequest(r)
	answer, err := client.Do(r)
	if err != nil {
		return Cause(ctx, err)
	}
	defer answer.Body.Close()
	o.ObserveAnswer(answer)
	_, err = io.Copy(io.Discard, answer.Body)
	return Cause(ctx, err)
}

// Guards against a request that can't be sent again on another connection: net/http repeats it only
// with a new copy of its body.
func TestObservedRequestCanBeRepeated(t *testing.T) {
	ctx, o := New(t.Context(), Config{First: limit, Next: limit})
	defer o.End()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1", strings.NewReader("text"))
	if err != nil {
		t.Fatal(err)
	}
	o.ObserveRequest(r)
	for range 2 {
		body, err := r.GetBody()
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(body)
		if string(text) != "text" || err != nil || r.ContentLength != 4 {
			t.Errorf("body %q of %d bytes, %v", text, r.ContentLength, err)
		}
	}
}
