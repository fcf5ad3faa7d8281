package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the small deployments.
const (
	storeLatency    = 4 * time.Millisecond
	writesPerSecond = 400
	readsPerSecond  = 2000
	pageItems       = 500
	pageBytes       = 1 << 20
	historyAge      = 20 * time.Second
	leaseSweep      = 20 * time.Millisecond
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type event struct {
	item
	Deleted bool `json:"deleted,omitempty"`
	at      time.Time
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	leases    map[int64]*storeLease
	revision  int64
	oldest    int64 // revision from which on the history is known
	history   []event
	changed   chan struct{}
	silent    chan struct{} // not nil while the store is down; closed when it is back
	downSince time.Time
	second    int64
	writes    int
	reads     int
}

func newStore() *store {
	s := &store{items: make(map[string]item), leases: make(map[int64]*storeLease), revision: 100, oldest: 100, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(leaseSweep)
			s.mu.Lock()
			s.sweepLocked()
			s.mu.Unlock()
		}
	}()
	return s
}

// sweepLocked ends leases. They pause while the store is down.
func (s *store) sweepLocked() {
	if s.silent != nil {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLeaseLocked(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyAge {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.removeLocked(key)
		}
	}
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.noteLocked(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *store) noteLocked(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// putLocked writes an item at the present revision.
func (s *store) putLocked(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.noteLocked(event{item: i})
}

// operatorPut writes an item as the operator.
func (s *store) operatorPut(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, b, 0)
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// setDown takes the store down or brings it back. While it is down, it answers nothing and does
// nothing, and leases pause.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.silent == nil:
		s.silent, s.downSince = make(chan struct{}), time.Now()
	case !down && s.silent != nil:
		for _, l := range s.leases {
			l.ends = l.ends.Add(time.Since(s.downSince))
		}
		close(s.silent)
		s.silent = nil
	}
}

// admit waits for the latency of a call, and reports whether the call is carried out. A call that
// meets the store while it is down is never answered.
func (s *store) admit(rw http.ResponseWriter, r *http.Request, write bool) bool {
	time.Sleep(storeLatency)
	s.mu.Lock()
	silent := s.silent
	now := time.Now().Unix()
	if now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	over := false
	if silent == nil && write {
		s.writes++
		over = s.writes > writesPerSecond
	} else if silent == nil {
		s.reads++
		over = s.reads > readsPerSecond
	}
	s.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if over {
		rw.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	return mux
}

func (s *store) getKey(rw http.ResponseWriter, r *http.Request) {
	if !s.admit(rw, r, false) {
		return
	}
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		answer(rw, http.StatusNotFound, map[string]any{"as_of": asOf})
		return
	}
	answer(rw, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "as_of": asOf})
}

func (s *store) getRange(rw http.ResponseWriter, r *http.Request) {
	if !s.admit(rw, r, false) {
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	found, size := []item{}, 0
	for _, k := range keys {
		if size += len(s.items[k].Value); len(found) == pageItems || len(found) > 0 && size > pageBytes {
			break
		}
		found = append(found, s.items[k])
	}
	asOf := s.revision
	s.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"items": found, "has_more": len(found) < len(keys), "as_of": asOf})
}

func (s *store) watch(rw http.ResponseWriter, r *http.Request) {
	if !s.admit(rw, r, false) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		silent, changed, asOf, gone := s.silent, s.changed, s.revision, after < s.oldest
		found := []any{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				if e.Deleted {
					found = append(found, map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
				} else {
					found = append(found, e.item)
				}
			}
		}
		s.mu.Unlock()
		switch {
		case silent != nil:
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		case gone:
			rw.WriteHeader(http.StatusGone)
			return
		case len(found) > 0 || last:
			answer(rw, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			last = true
		case <-changed:
		}
	}
}

func (s *store) transact(rw http.ResponseWriter, r *http.Request) {
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
	if !read(rw, r, &t) || !s.admit(rw, r, true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, e := range t.Expect {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		answer(rw, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(rw, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.removeLocked(k)
	}
	answer(rw, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(rw http.ResponseWriter, r *http.Request) {
	var c struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !read(rw, r, &c) || !s.admit(rw, r, true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.leases)) + time.Now().UnixNano()/1000
	ttl := time.Duration(max(c.TTL, 1000)) * time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(rw, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(rw http.ResponseWriter, r *http.Request) {
	if !s.admit(rw, r, false) {
		return
	}
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(rw, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(rw, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(rw http.ResponseWriter, r *http.Request) {
	if !s.admit(rw, r, true) {
		return
	}
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(rw, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLeaseLocked(id)
	answer(rw, http.StatusOK, map[string]any{})
}

func read(rw http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // a caller that has gone asks again
}
