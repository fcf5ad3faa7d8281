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

// Guards against work that starts by a fleet text that was read long ago, or by one that is
// known not to be the newest.
func TestAgeGrowsWhileTheTextCannotBeRead(t *testing.T) {
	tests := []struct {
		name   string
		store  string // a record that it gets at last; empty: none
		down   bool   // it answers nothing from then on
		offer  bool   // a peer tells of a newer text meanwhile
		oldest time.Duration
		ageing bool
	}{
		{"read all the while", "", false, false, 0, false},
		{"the store is down", "", true, false, 0, true},
		{"the store is down and a peer helps", "", true, true, 0, true},
		{"a record that can't be read", `{"version":9,"text":"fleet: f\nnew-key: 1"}`, false, false, time.Hour, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var down atomic.Bool
			store := storer.New(storer.Config{}).Handler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if down.Load() {
					http.Error(w, "down", http.StatusServiceUnavailable)
					return
				}
				store.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: 200 * time.Millisecond})
			now := time.Now()
			f := New(Config{Keeper: k, Now: func() time.Time { return now }})
			if f.Age() < time.Hour {
				t.Error("it was read before it was")
			}
			put(t, k, valueOf(t, 1))
			if _, err := f.Refresh(context.Background()); err != nil || f.Age() != 0 {
				t.Fatalf("age %s, %v", f.Age(), err)
			}
			if tt.store != "" {
				put(t, k, []byte(tt.store))
			}
			down.Store(tt.down)
			now = now.Add(time.Second)
			if tt.offer {
				_ = f.take(valueOf(t, 2), fromPeer, 0)
			}
			_, _ = f.Refresh(context.Background())
			if got := f.Age(); got < tt.oldest || (got >= time.Second) != tt.ageing {
				t.Errorf("age %s", got)
			}
		})
	}
}
