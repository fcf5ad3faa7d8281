package keeper

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a stalled journal: a large write takes longer than the timeout of a small call,
// times out and is retried unchanged.
func TestLargeWriteMayTakeLonger(t *testing.T) {
	const callTimeout = 100 * time.Millisecond
	tests := []struct {
		name  string
		bytes int
		delay time.Duration
		ok    bool
	}{
		{"small and fast", 10, 0, true},
		{"small and slow", 10, 3 * callTimeout, false},
		{"large and slow", 200 << 10, 3 * callTimeout, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				select {
				case <-time.After(tt.delay):
					_, _ = io.WriteString(w, `{"revision":1}`)
				case <-r.Context().Done():
				}
			}))
			t.Cleanup(server.Close)
			k := New(Config{URL: server.URL, CallTimeout: callTimeout})
			_, err := k.CompareAndSwap(context.Background(), SwapOptions{Key: "k", Value: []byte(strings.Repeat("x", tt.bytes))})
			if (err == nil) != tt.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}
