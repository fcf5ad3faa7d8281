package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a record of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"` // base64
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// change is an entry of the store's history: a written item, or a deletion.
type change struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// store is a stand-in of the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []change
	leases   map[int64]*storeLease
	changed  chan struct{}
	writes   int64
	// late decides whether the answer to a write is lost and the write carried out after a delay.
	late func(t txn) (delay time.Duration, lost bool)
}

func newStore() *store {
	s := &store{revision: 10, items: make(map[string]item), leases: make(map[int64]*storeLease), changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expireLocked()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a record as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.writeLocked(key, base64.StdEncoding.EncodeToString(value), 0)
	s.notifyLocked()
}

func (s *store) writeLocked(key, value string, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.history = append(s.history, change{item: s.items[key]})
}

func (s *store) deleteLocked(key string) {
	delete(s.items, key)
	s.history = append(s.history, change{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.deleteLocked(key)
	}
	s.notifyLocked()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	q := r.URL.Query()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := wait == 0; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	s.writes++
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if delay, lost := late(t); lost {
			time.AfterFunc(delay, func() { s.apply(t) })
			<-r.Context().Done() // a channel on which an answer is lost returns nothing further
			return
		}
	}
	status, body := s.apply(t)
	answer(w, status, body)
}

// apply carries out a transaction.
func (s *store) apply(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	current, failed := []item{}, false
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i.Key = e.Key
		}
		current = append(current, i)
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current, "as_of": s.revision}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.writeLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.deleteLocked(key)
		}
	}
	s.notifyLocked()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		answer(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(1000 + len(s.history) + len(s.leases))
	for s.leases[id] != nil {
		id++
	}
	ttl := time.Duration(q.TTL) * time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": q.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
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

// text returns the value of a record, "" if there is none.
func (s *store) text(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, _ := base64.StdEncoding.DecodeString(s.items[key].Value)
	return string(value)
}
