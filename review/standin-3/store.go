package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	maxWatchWait  = 30 * time.Second
)

// item is a record of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with its keys.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's metadata store, in memory. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// down is set while the store answers all calls with 503. Leases run out meanwhile.
	down bool
}

func newStore() *store {
	s := &store{revision: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.endLeases()
		}
	}()
	return s
}

// put is a write of the operator.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, text, 0)
	s.notifyLocked()
}

// setDown takes the store down, or up again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyLocked()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
	s.notifyLocked()
}

// handler serves the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			answer(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has disconnected asks again
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"as_of": asOf})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, asOf})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	page, bytes := []item{}, 0
	for _, i := range found {
		if len(page) == maxPageItems || len(page) > 0 && bytes+len(i.Value) > maxPageBytes {
			break
		}
		page, bytes = append(page, i), bytes+len(i.Value)
	}
	answer(w, http.StatusOK, map[string]any{"items": page, "has_more": len(page) < len(found), "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		from := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			answer(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		if len(events) > 0 || wait == 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > maxTxnEntries {
		answer(w, http.StatusBadRequest, map[string]any{"error": fmt.Sprint("transaction: ", err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if len(p.Value) > maxValueBytes {
			answer(w, http.StatusBadRequest, map[string]any{"error": "value too large"})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed, current := false, []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	s.notifyLocked()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLeaseLocked(id)
	answer(w, http.StatusOK, map[string]any{})
}
