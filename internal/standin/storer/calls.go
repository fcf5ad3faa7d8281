package storer

import (
	"context"
	"net/http"
	"time"

	"bamboospread/internal/standin/server"
	"bamboospread/internal/store/keeper"
)

// maxBodyBytes is the size limit of the body of a call: a value in base64 and its JSON.
const maxBodyBytes = 2 * keeper.MaxValueBytes

// expiryCheckInterval is the interval at which a waiting watch checks for expired leases.
const expiryCheckInterval = 25 * time.Millisecond

func (s *Store) routes() {
	handle(s, keeper.KindGet, false, s.get)
	handle(s, keeper.KindList, false, s.list)
	handle(s, keeper.KindWatch, false, s.watch)
	handle(s, keeper.KindSwap, true, s.swap)
	handle(s, keeper.KindTransact, true, s.transact)
	handle(s, keeper.KindDelete, true, s.remove)
	handle(s, keeper.KindGrant, true, s.grant)
	handle(s, keeper.KindKeepAlive, true, s.keepAlive)
	handle(s, keeper.KindRevoke, true, s.revoke)
	s.mux.HandleFunc("POST /control/faults", s.handleSetFaults)
	s.mux.HandleFunc("GET /control/calls", s.handleGetCalls)
}

// result is the answer to a call.
type result struct {
	status int
	body   any
}

func ok(body any) result { return result{http.StatusOK, body} }

// handle registers the call of the given kind, with counting and faults.
func handle[C any](s *Store, kind string, write bool, do func(ctx context.Context, c C) result) {
	s.mux.HandleFunc("POST "+keeper.PathPrefix+kind, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		var c C
		if !server.ReadJSON(w, r, &c) {
			return
		}
		f, status := s.admit(kind, write)
		if status != http.StatusOK {
			http.Error(w, http.StatusText(status), status)
			return
		}
		time.Sleep(f.Delay())
		a := do(r.Context(), c)
		if s.drawAnswerLoss(f) {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		server.WriteJSON(w, a.status, a.body)
	})
}

func (s *Store) get(_ context.Context, c keeper.KeyCall) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	r := s.recordLocked(c.Key)
	if r.Revision == 0 {
		return result{http.StatusNotFound, r}
	}
	return ok(keeper.RecordAnswer{Record: r})
}

func (s *Store) list(_ context.Context, c keeper.ListCall) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return ok(s.listLocked(c))
}

func (s *Store) swap(_ context.Context, c keeper.SwapCall) result {
	if len(c.Value) > keeper.MaxValueBytes {
		return result{http.StatusRequestEntityTooLarge, "value too large"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if c.Lease != 0 && s.leases[c.Lease] == nil {
		return result{http.StatusGone, c.Lease}
	}
	if old := s.recordLocked(c.Key); old.Revision != c.ExpectRevision {
		return result{http.StatusConflict, keeper.RecordAnswer{Record: old}}
	}
	return ok(keeper.RevisionAnswer{Revision: s.putLocked(keeper.Record{Key: c.Key, Value: c.Value, Lease: c.Lease})})
}

// transact checks every expectation and lease before it changes anything. All
// changes of one transaction become visible together.
func (s *Store) transact(ctx context.Context, t keeper.Transaction) result {
	a, showsEnd := s.transactAtOnce(t)
	if showsEnd {
		s.awaitShown(ctx, func(f Faults) bool { return f.HideFromWrites })
	}
	return a
}

// transactAtOnce also reports whether its answer shows the end of a lease.
func (s *Store) transactAtOnce(t keeper.Transaction) (a result, showsEnd bool) {
	if n := len(t.Expect) + len(t.Puts) + len(t.Removes); n > keeper.MaxTransactionEntries {
		return result{http.StatusBadRequest, "too many entries"}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	for _, e := range t.Expect {
		if old := s.recordLocked(e.Key); old.Revision != e.Revision {
			old.Key = e.Key // a record that does not exist has no key
			return result{http.StatusConflict, keeper.RecordAnswer{Record: old}}, s.ended[e.Revision]
		}
	}
	for _, p := range t.Puts {
		if len(p.Value) > keeper.MaxValueBytes {
			return result{http.StatusRequestEntityTooLarge, "value too large"}, false
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return result{http.StatusGone, p.Lease}, true
		}
	}
	for _, p := range t.Puts {
		s.putLocked(keeper.Record{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Removes {
		if s.recordLocked(key).Revision != 0 {
			s.deleteLocked(key)
		}
	}
	return ok(keeper.RevisionAnswer{Revision: s.revision}), false
}

func (s *Store) remove(_ context.Context, c keeper.DeleteCall) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	old := s.recordLocked(c.Key)
	switch {
	case old.Revision == 0:
		return result{http.StatusNotFound, old}
	case old.Revision != c.ExpectRevision:
		return result{http.StatusConflict, keeper.RecordAnswer{Record: old}}
	}
	s.deleteLocked(c.Key)
	return ok(struct{}{})
}

func (s *Store) grant(_ context.Context, c keeper.LeaseCall) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.lastID++
	ttl := time.Duration(c.TTLMillis) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl: ttl, expiresAt: s.config.Now().Add(ttl), keys: make(map[string]bool)}
	return ok(keeper.LeaseCall{Lease: s.lastID, TTLMillis: c.TTLMillis})
}

func (s *Store) keepAlive(ctx context.Context, c keeper.LeaseCall) result {
	if !s.renew(c.Lease) {
		s.awaitShown(ctx, func(f Faults) bool { return f.HideFromRenewals })
		return result{http.StatusGone, c.Lease}
	}
	return ok(struct{}{})
}

// renew renews a lease and reports whether it exists.
func (s *Store) renew(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l := s.leases[id]
	if l != nil {
		l.expiresAt = s.config.Now().Add(l.ttl)
	}
	return l != nil
}

func (s *Store) revoke(_ context.Context, c keeper.LeaseCall) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if s.leases[c.Lease] == nil {
		return result{http.StatusGone, c.Lease}
	}
	s.endLeaseLocked(c.Lease)
	return ok(struct{}{})
}

func (s *Store) watch(ctx context.Context, c keeper.WatchCall) result {
	deadline := time.NewTimer(time.Duration(c.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	for waited := c.WaitMillis <= 0; ; {
		s.mu.Lock()
		s.expireLocked()
		matching, available := s.changesLocked(c.Prefix, c.After)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if !available {
			return result{http.StatusGone, c.After}
		}
		if len(matching) > 0 || waited || ctx.Err() != nil {
			return ok(keeper.WatchAnswer{Changes: matching, Revision: revision})
		}
		c.After = max(c.After, revision) // no matching changes up to this revision
		select {
		case <-ctx.Done():
		case <-deadline.C:
			waited = true
		case <-changed:
		case <-time.After(expiryCheckInterval):
		}
	}
}
