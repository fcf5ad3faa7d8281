package scheduler

import (
	"sort"
	"sync"
	"time"

	"bamboospread/internal/wire/messenger"
)

// peerLife is how long an entry counts as live after it was heard: some of its
// hellos, sent every second, may be lost.
const peerLife = 10 * time.Second

// peers are the entries that were heard lately, for agents that lose the owner
// while the store is away.
type peers struct {
	now  func() time.Time
	mu   sync.Mutex
	seen map[messenger.PeerAddress]time.Time
}

func newPeers(now func() time.Time) *peers {
	return &peers{now: now, seen: make(map[messenger.PeerAddress]time.Time)}
}

func (p *peers) add(a messenger.PeerAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen[a] = p.now()
}

func (p *peers) list() []messenger.PeerAddress {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []messenger.PeerAddress
	for a, at := range p.seen {
		if p.now().Sub(at) > peerLife {
			delete(p.seen, a)
			continue
		}
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].EntryID < all[j].EntryID })
	return all
}
