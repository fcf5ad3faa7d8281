package scheduler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboospread/internal/wire/messenger"
)

// peerTTL is how long an entry stays listed after its last hello. Hellos are sent every second;
// some may be lost.
const (
	peerTTL       = 10 * time.Second
	pruneInterval = time.Second
)

// peers holds the entries with recent contact. Agents use them if they lose the owner while the
// store is unavailable.
type peers struct {
	now      func() time.Time
	mu       sync.Mutex
	version  int64 // changes with each entry that comes or goes
	prunedAt time.Time
	lastSeen map[messenger.PeerAddress]time.Time
	outside  map[messenger.PeerAddress]time.Time // last hello of an entry that does not take part in admission
}

func newPeers(now func() time.Time) *peers {
	return &peers{now: now, lastSeen: make(map[messenger.PeerAddress]time.Time), outside: make(map[messenger.PeerAddress]time.Time)}
}

func (p *peers) add(a messenger.PeerAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if _, known := p.lastSeen[a]; !known {
		p.version++
	}
	p.lastSeen[a] = now
	if now.Sub(p.prunedAt) >= pruneInterval {
		p.pruneLocked(now)
	}
}

// pruneLocked removes the entries without recent contact.
func (p *peers) pruneLocked(now time.Time) {
	p.prunedAt = now
	for a, at := range p.lastSeen {
		if now.Sub(at) > peerTTL {
			delete(p.lastSeen, a)
			p.version++
		}
	}
}

// currentVersion returns a number that changes with each entry that comes or goes.
func (p *peers) currentVersion() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// maxNamedEntries is how many entries a process is told of. One of them that is up and knows the
// owner suffices.
const maxNamedEntries = 8

// choose returns the entries with recent contact that an agent or another entry is told of, sorted by
// id. Each gets others, so that the queries of all agents spread over the entries, and an entry that comes
// or goes changes only the lists that it is in (rendezvous hashing).
func (p *peers) choose(process string) []messenger.PeerAddress {
	type ranked struct {
		rank  uint64
		entry messenger.PeerAddress
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var best []ranked // by descending rank
	for a := range p.lastSeen {
		if a.EntryID == process {
			continue
		}
		r := ranked{xxhash.Sum64String(process + "/" + a.EntryID), a}
		i, _ := slices.BinarySearchFunc(best, r, func(x, y ranked) int { return cmp.Compare(y.rank, x.rank) })
		if i < maxNamedEntries {
			best = slices.Insert(best, i, r)
			best = best[:min(len(best), maxNamedEntries)]
		}
	}
	var all []messenger.PeerAddress
	for _, r := range best {
		all = append(all, r.entry)
	}
	slices.SortFunc(all, func(a, b messenger.PeerAddress) int { return cmp.Compare(a.EntryID, b.EntryID) })
	return all
}

// addHello adds an entry with what it says of admission.
func (p *peers) addHello(h messenger.WorkHello) {
	p.add(h.PeerAddress)
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.Admission == nil {
		p.outside[h.PeerAddress] = p.now()
	}
}

// admitting returns the number of entries with recent contact, and whether all of them have taken part
// in admission for as long. Writes of an entry that did not may still be carried out.
func (p *peers) admitting() (entries int, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all = true
	for a, at := range p.outside {
		if p.now().Sub(at) > peerTTL {
			delete(p.outside, a)
			continue
		}
		all = false
	}
	return len(p.lastSeen), all
}
