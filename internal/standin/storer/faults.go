package storer

import (
	"context"
	"maps"
	"net/http"
	"time"

	"bamboospread/internal/standin/server"
	"bamboospread/internal/store/keeper"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	Down        bool    `json:"down"`         // refuse every call with 503
	PauseLeases bool    `json:"pause-leases"` // with Down: leases do not expire meanwhile and keep their remaining time
	DropHistory bool    `json:"drop-history"` // once, at the call: watches from an earlier revision get 410
	DelayMillis int64   `json:"delay-ms"`     // before the effect, which occurs even if the caller has disconnected
	LoseAnswers float64 `json:"lose-answers"` // probability of closing the connection after the effect
	// While these faults are in force, calls that show the end of a lease get no answer: its renewals, and
	// transactions that expect a record which has ended with it.
	HideFromRenewals bool `json:"hide-from-renewals"`
	HideFromWrites   bool `json:"hide-from-writes"`
}

// Delay returns the delay of each call.
func (f Faults) Delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// Calls are the counts of calls.
type Calls struct {
	Calls   map[string]int64 `json:"calls"` // by kind, including refused ones
	Refused int64            `json:"refused"`
}

// SetFaults replaces the faults in force. Waiting watches continue, unless the history
// is dropped.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if f.DropHistory {
		s.log = nil
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.faults = f
	s.expireLocked() // up to now, so that a pause of leases begins here
}

// awaitShown waits until a call that shows the end of a lease may be answered.
func (s *Store) awaitShown(ctx context.Context, hidden func(f Faults) bool) {
	for ctx.Err() == nil {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if !hidden(f) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(expiryCheckInterval):
		}
	}
}

// Calls returns the counts so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Calls{Calls: maps.Clone(s.calls), Refused: s.refused}
}

// Record returns the record of key, for tests.
func (s *Store) Record(key string) keeper.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return s.recordLocked(key)
}

// admit counts a call and returns the faults that apply to it and the status 200,
// 429 or 503.
func (s *Store) admit(kind string, write bool) (Faults, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	limit, w := s.config.ReadsPerSecond, &s.reads
	if write {
		limit, w = s.config.WritesPerSecond, &s.writes
	}
	status := http.StatusOK
	switch {
	case s.faults.Down:
		status = http.StatusServiceUnavailable
	case !w.allow(limit, s.config.Now().Unix()):
		status = http.StatusTooManyRequests
	}
	if status != http.StatusOK {
		s.refused++
	}
	return s.faults, status
}

// allow counts one call in the given second and reports whether it is within limit.
func (w *window) allow(limit int, second int64) bool {
	if w.second != second {
		*w = window{second: second}
	}
	w.count++
	return limit <= 0 || w.count <= limit
}

func (s *Store) drawAnswerLoss(f Faults) bool {
	if f.LoseAnswers <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < f.LoseAnswers
}

func (s *Store) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if server.ReadJSON(w, r, &f) {
		s.SetFaults(f)
		server.WriteJSON(w, http.StatusOK, f)
	}
}

func (s *Store) handleGetCalls(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, s.Calls())
}
