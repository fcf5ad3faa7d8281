package follower

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
)

// Guards against starting work according to a fleet text that was read long ago, or that
// is known not to be the newest.
func TestAgeIncreasesWhileStoreCannotBeRead(t *testing.T) {
	tests := []struct {
		name       string
		stored     string // record stored after the first read; empty: none
		down       bool   // the store fails after the first read
		offerNewer bool   // a peer offers a newer record
		minAge     time.Duration
		increases  bool
	}{
		{"store readable", "", false, false, 0, false},
		{"store down", "", true, false, 0, true},
		{"store down, newer record from a peer", "", true, true, 0, true},
		{"stored record can't be decoded", `{"version":9,"text":"fleet: f\nnew-key: 1"}`, false, false, time.Hour, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var down atomic.Bool
			handler := storer.New(storer.Config{}).Handler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if down.Load() {
					http.Error(w, "down", http.StatusServiceUnavailable)
					return
				}
				handler.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: 200 * time.Millisecond})
			now := time.Now()
			f := New(Config{Keeper: k, Now: func() time.Time { return now }})
			if f.Age() < time.Hour {
				t.Error("age below an hour before the first read")
			}
			put(t, k, valueOf(t, 1))
			if _, err := f.Refresh(context.Background()); err != nil || f.Age() != 0 {
				t.Fatalf("age %s, %v", f.Age(), err)
			}
			if tt.stored != "" {
				put(t, k, []byte(tt.stored))
			}
			down.Store(tt.down)
			now = now.Add(time.Second)
			if tt.offerNewer {
				_ = f.apply(valueOf(t, 2), fromPeer, 0)
			}
			_, _ = f.Refresh(context.Background())
			if got := f.Age(); got < tt.minAge || (got >= time.Second) != tt.increases {
				t.Errorf("age %s", got)
			}
		})
	}
}
