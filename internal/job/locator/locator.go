// Package locator finds the owner of a cell by asking entries, for processes that cannot read it
// from the store.
package locator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	// maxEntries is how many entries a process knows. It bounds the connections that a search opens.
	maxEntries = 8
	// askedAtOnce is how many entries are asked together.
	askedAtOnce = 4
	// askTimeout is long compared with the round trip to the farthest entry, about 30 ms. A VM
	// without power does not refuse connections, so an entry there takes the whole timeout.
	askTimeout = 300 * time.Millisecond
)

// ErrOwnerNotExist is returned when no entry could name an owner.
var ErrOwnerNotExist = errors.New("no entry could name the owner of the cell")

// Locator knows some entries. It is safe for concurrent use.
type Locator struct {
	mu      sync.Mutex
	entries []messenger.PeerAddress
}

// New returns a Locator that knows entries by their RPC addresses.
func New(addresses []string) *Locator {
	l := &Locator{}
	for _, a := range addresses {
		l.entries = append(l.entries, messenger.PeerAddress{Address: a})
	}
	return l
}

// Remember keeps the entries that an owner has named. After a change of owner the next one names
// only those that have reached it; earlier ones fill the list up.
func (l *Locator) Remember(named []messenger.PeerAddress) {
	if len(named) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(named)
	for _, e := range l.entries {
		if !slices.Contains(all, e) {
			all = append(all, e)
		}
	}
	l.entries = all[:min(len(all), maxEntries)]
}

// Find asks the known entries in random order, some at once, and returns the first owner that one
// of them names. If all processes asked one entry after the other in the same order, those that are
// down would delay all alike, and the first one that is up would get a connection from each.
func (l *Locator) Find(ctx context.Context) (messenger.CellOwner, error) {
	l.mu.Lock()
	asked := slices.Clone(l.entries)
	l.mu.Unlock()
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	err := ErrOwnerNotExist
	for group := range slices.Chunk(asked, askedAtOnce) {
		o, askErr := askGroup(ctx, group)
		if askErr == nil {
			return o, nil
		}
		err = askErr
	}
	return messenger.CellOwner{}, err
}

// askGroup asks entries at once.
func askGroup(ctx context.Context, entries []messenger.PeerAddress) (messenger.CellOwner, error) {
	type answer struct {
		owner messenger.CellOwner
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(entries))
	for _, e := range entries {
		go func() {
			o, err := askEntry(ctx, e.Address)
			answers <- answer{o, err}
		}()
	}
	err := ErrOwnerNotExist
	for range entries {
		switch got := <-answers; {
		case got.err != nil:
			err = got.err
		case got.owner.Epoch > 0:
			return got.owner, nil
		}
	}
	return messenger.CellOwner{}, err
}

func askEntry(ctx context.Context, address string) (messenger.CellOwner, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := connector.Dial(ctx, address, rejectCall)
	if err != nil {
		return messenger.CellOwner{}, err
	}
	defer conn.Close()
	var w messenger.WorkOwner
	err = conn.Call(ctx, messenger.MethodWorkOwner, messenger.Empty{}, &w)
	return w.Owner, err
}

func rejectCall(_ context.Context, _ *connector.Conn, method string, _ json.RawMessage) (any, error) {
	return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
}
