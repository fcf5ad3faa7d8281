package scheduler

import (
	"sort"
	"sync"
	"time"

	"bamboospread/internal/wire/messenger"
)

// peerTTL is how long an entry stays listed after its last hello. Hellos are sent every second;
// some may be lost.
const peerTTL = 10 * time.Second

// peers holds the entries with recent contact. Agents use them if they lose the owner while the
// store is unavailable.
type peers struct {
	now      func() time.Time
	mu       sync.Mutex
	lastSeen map[messenger.PeerAddress]time.Time
}

func newPeers(now func() time.Time) *peers {
	return &peers{now: now, lastSeen: make(map[messenger.PeerAddress]time.Time)}
}

func (p *peers) add(a messenger.PeerAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeen[a] = p.now()
}

func (p *peers) list() []messenger.PeerAddress {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []messenger.PeerAddress
	for a, at := range p.lastSeen {
		if p.now().Sub(at) > peerTTL {
			delete(p.lastSeen, a)
			continue
		}
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].EntryID < all[j].EntryID })
	return all
}
