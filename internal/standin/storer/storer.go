// Package storer is an in-memory stand-in for the platform's key-value service, with
// compare-and-swap, leases, waiting watches, limits on the size of values and on the
// rate of calls, and faults on demand.
package storer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"bamboospread/internal/standin/server"
	"bamboospread/internal/store/keeper"
)

// Limits of a list answer.
const (
	maxListRecords = 1000
	maxListBytes   = 4 << 20
)

// Config holds the settings of a Store.
type Config struct {
	WritesPerSecond int // calls above this rate are refused with 429; 0: no limit
	ReadsPerSecond  int // as for writes
	Seed            uint64
	Now             func() time.Time
}

// Store is the service. It is safe for concurrent use.
type Store struct {
	config Config
	mux    *http.ServeMux

	mu              sync.Mutex
	revision        int64
	changes         map[string]keeper.Change // latest change of each key, including deletions
	log             []string                 // keys of consecutive changes, the last one at the current revision
	leases          map[int64]*lease
	ended           map[int64]bool // revisions of records that have ended with their leases
	expiryCheckedAt time.Time      // when leases were last checked for expiry
	lastID          int64
	changed         chan struct{} // closed and replaced at each change
	faults          Faults
	random          *rand.Rand
	calls           map[string]int64
	refused         int64
	writes          window
	reads           window
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// window counts the calls of the current second.
type window struct {
	second int64
	count  int
}

// New returns an empty Store.
func New(c Config) *Store {
	if c.Now == nil {
		c.Now = time.Now
	}
	s := &Store{
		config: c, mux: http.NewServeMux(), changes: make(map[string]keeper.Change),
		leases: make(map[int64]*lease), ended: make(map[int64]bool), changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)), calls: make(map[string]int64),
	}
	s.routes()
	return s
}

// Handler returns the service's HTTP interface.
func (s *Store) Handler() http.Handler { return s.mux }

// Run serves on l until ctx ends.
func (s *Store) Run(ctx context.Context, l net.Listener) error {
	return server.Serve(ctx, l, s.mux)
}

// expireLocked ends the expired leases. It depends only on the clock, so leases also
// expire while the service refuses every call, unless the fault pause-leases prevents it.
func (s *Store) expireLocked() {
	now := s.config.Now()
	elapsed := now.Sub(s.expiryCheckedAt)
	s.expiryCheckedAt = now
	for id, l := range s.leases {
		if s.faults.Down && s.faults.PauseLeases {
			l.expiresAt = l.expiresAt.Add(elapsed)
		}
		if now.After(l.expiresAt) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *Store) endLeaseLocked(id int64) {
	keys := make([]string, 0, len(s.leases[id].keys))
	for key := range s.leases[id].keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.ended[s.recordLocked(key).Revision] = true
		s.deleteLocked(key)
	}
	delete(s.leases, id)
}

// recordLocked returns the record of key, with revision 0 if there is none.
func (s *Store) recordLocked(key string) keeper.Record {
	if c, ok := s.changes[key]; ok && !c.Deleted {
		return c.Record
	}
	return keeper.Record{Key: key}
}

func (s *Store) putLocked(r keeper.Record) int64 {
	if old := s.recordLocked(r.Key); old.Lease != 0 {
		delete(s.leases[old.Lease].keys, r.Key)
	}
	if r.Lease != 0 {
		s.leases[r.Lease].keys[r.Key] = true
	}
	r.Revision = s.revision + 1
	s.changeLocked(keeper.Change{Record: r})
	return r.Revision
}

func (s *Store) deleteLocked(key string) {
	if old := s.recordLocked(key); old.Lease != 0 {
		delete(s.leases[old.Lease].keys, key)
	}
	s.changeLocked(keeper.Change{Record: keeper.Record{Key: key, Revision: s.revision + 1}, Deleted: true})
}

func (s *Store) changeLocked(c keeper.Change) {
	s.revision = c.Record.Revision
	s.changes[c.Record.Key] = c
	s.log = append(s.log, c.Record.Key)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) listLocked(c keeper.ListCall) keeper.ListAnswer {
	if c.Limit <= 0 || c.Limit > maxListRecords {
		c.Limit = maxListRecords
	}
	var keys []string
	for key, change := range s.changes {
		if !change.Deleted && key > c.After && strings.HasPrefix(key, c.Prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	a := keeper.ListAnswer{Revision: s.revision}
	size := 0
	for _, key := range keys {
		r := s.changes[key].Record
		size += len(r.Value)
		if len(a.Records) == c.Limit || (size > maxListBytes && len(a.Records) > 0) {
			a.More = true
			break
		}
		a.Records = append(a.Records, r)
	}
	return a
}

// changesLocked returns the changes after the given revision. It reads only these, so
// the cost of a watch does not depend on the number of records. It returns false if
// that history was dropped.
func (s *Store) changesLocked(prefix string, after int64) ([]keeper.Change, bool) {
	var matching []keeper.Change
	first := s.revision - int64(len(s.log)) // revision before the first one in the log
	if after < first {
		return nil, false
	}
	for i := max(after-first, 0); i < int64(len(s.log)); i++ {
		c := s.changes[s.log[i]]
		if c.Record.Revision == first+i+1 && strings.HasPrefix(c.Record.Key, prefix) {
			matching = append(matching, c)
		}
	}
	return matching, true
}
