// Package enroller maintains the list of live entries. An entry writes its address
// to the platform's store under a lease and exchanges lists with the entries that it
// reaches, so that the list stays current while the store is down.
package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/decoder"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/store/lister"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	keyPrefix        = "entries/"
	exchangeInterval = time.Second
	callTimeout      = time.Second
	liveTTL          = 5 * time.Second  // an entry is live for this long after its last exchange
	candidateTTL     = 60 * time.Second // an address is tried for this long after it was last mentioned
	listInterval     = 5 * time.Second
	registrationTTL  = 15 * time.Second
)

// Config holds the settings of an Enroller.
type Config struct {
	Self         messenger.PeerAddress
	Seeds        []string // RPC addresses of entries, for a start while the store is down
	Keeper       *keeper.Keeper
	Handle       connector.Handler // handles calls from a peer on a connection that this entry dialled
	LocalOwner   func() (messenger.CellOwner, bool)
	FleetVersion func() int64
	Reporter     *reporter.Reporter
	Now          func() time.Time
}

// peer is an entry that is registered in the store, given as a seed, or mentioned by
// another entry.
type peer struct {
	id            string
	address       string
	lastMentioned time.Time
	lastContact   time.Time // time of the last exchange; zero: never reached
	version       int64     // highest fleet version that the peer reported
	conn          *connector.Conn
	isSeed        bool
	inFlight      bool
}

// Enroller holds the list of entries. It is safe for concurrent use.
type Enroller struct {
	config Config
	mu     sync.Mutex
	peers  map[string]*peer // by address
	owners map[string]messenger.CellOwner
	odd    decoder.LogLimit
	lease  int64
}

// New returns an Enroller whose list holds only this entry and the seeds.
func New(c Config) *Enroller {
	if c.Now == nil {
		c.Now = time.Now
	}
	e := &Enroller{config: c, peers: make(map[string]*peer), owners: make(map[string]messenger.CellOwner)}
	for _, address := range c.Seeds {
		if address != c.Self.Address {
			e.peers[address] = &peer{address: address, isSeed: true}
		}
	}
	return e
}

// Run registers the entry and exchanges lists until ctx ends, then removes the
// registration.
func (e *Enroller) Run(ctx context.Context) error {
	registered := make(chan error, 1)
	go func() { registered <- e.keepRegistered(ctx) }()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		e.exchangeAll(ctx)
		select {
		case <-ctx.Done():
			return <-registered
		case <-ticker.C:
		}
	}
}

// Peers returns the live entries including this one, sorted by id.
func (e *Enroller) Peers() []messenger.PeerAddress {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []messenger.PeerAddress{e.config.Self}
	for _, p := range e.peers {
		if e.isLive(p) {
			list = append(list, messenger.PeerAddress{EntryID: p.id, Address: p.address})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].EntryID < list[j].EntryID })
	return list
}

// Owners returns the owner with the highest known epoch for each cell.
func (e *Enroller) Owners() []messenger.CellOwner {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateLocalOwner()
	list := make([]messenger.CellOwner, 0, len(e.owners))
	for _, o := range e.owners {
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Cell < list[j].Cell })
	return list
}

// Owner returns the owner of a cell, if it is known.
func (e *Enroller) Owner(cell string) (messenger.CellOwner, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateLocalOwner()
	o, ok := e.owners[cell]
	return o, ok
}

// Handle answers MethodPeers.
func (e *Enroller) Handle(_ context.Context, _ *connector.Conn, _ string, params json.RawMessage) (any, error) {
	r, err := connector.Decode[messenger.PeersRequest](params)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	p := e.ensurePeer(r.From)
	p.version = max(p.version, r.FleetVersion)
	e.mu.Unlock()
	return e.Reply(), nil
}

// Reply returns the live entries, owners and fleet version known to this entry.
func (e *Enroller) Reply() messenger.AnnounceReply {
	return messenger.AnnounceReply{
		EntryID: e.config.Self.EntryID, Peers: e.Peers(), Owners: e.Owners(), FleetVersion: e.config.FleetVersion(),
	}
}

// FetchFleet requests a fleet record above the given version from the live entry with
// the highest reported version.
func (e *Enroller) FetchFleet(ctx context.Context, above int64) (messenger.FleetReply, error) {
	e.mu.Lock()
	var best *peer
	for _, p := range e.peers {
		if e.isLive(p) && p.version > above && (best == nil || p.version > best.version) {
			best = p
		}
	}
	address := ""
	if best != nil {
		address = best.address
	}
	e.mu.Unlock()
	if address == "" {
		return messenger.FleetReply{}, nil
	}
	var reply messenger.FleetReply
	err := e.Call(ctx, address, messenger.MethodFleet, messenger.FleetRequest{Above: above}, &reply)
	return reply, err
}

// Call calls the entry at an RPC address over its cached connection.
func (e *Enroller) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := e.connect(ctx, address)
	if err != nil {
		return connector.Errorf(messenger.CodeUnavailable, "%v", err) // nothing was sent
	}
	return conn.Call(ctx, method, params, result)
}

func (e *Enroller) connect(ctx context.Context, address string) (*connector.Conn, error) {
	e.mu.Lock()
	p := e.ensurePeer(messenger.PeerAddress{Address: address})
	conn := p.conn
	e.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Done():
		default:
			return conn, nil
		}
	}
	dialled, err := connector.Dial(ctx, address, e.config.Handle)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.conn != nil && p.conn != conn {
		dialled.Close() // another call has connected in the meantime
		return p.conn, nil
	}
	p.conn = dialled
	return dialled, nil
}

// ensurePeer returns the peer for an address, adds it if missing, and updates its
// lastMentioned time. The caller holds mu.
func (e *Enroller) ensurePeer(a messenger.PeerAddress) *peer {
	p, ok := e.peers[a.Address]
	if !ok {
		p = &peer{address: a.Address}
		e.peers[a.Address] = p
	}
	p.lastMentioned = e.config.Now()
	if a.EntryID != "" {
		p.id = a.EntryID
	}
	return p
}

func (e *Enroller) isLive(p *peer) bool {
	return p.id != "" && !p.lastContact.IsZero() && e.config.Now().Sub(p.lastContact) < liveTTL
}

// updateLocalOwner updates the owner of the cell that this entry owns, if any. The
// caller holds mu.
func (e *Enroller) updateLocalOwner() {
	if local, ok := e.config.LocalOwner(); ok {
		e.updateOwner(local)
	}
}

// updateOwner keeps the owner with the highest epoch. The caller holds mu.
func (e *Enroller) updateOwner(o messenger.CellOwner) {
	if current, ok := e.owners[o.Cell]; !ok || o.Epoch > current.Epoch {
		e.owners[o.Cell] = o
	}
}

// exchangeAll starts an exchange with each known entry that has none in flight. Each
// runs in its own goroutine, so that a frozen entry delays no other exchange.
func (e *Enroller) exchangeAll(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Now()
	for address, p := range e.peers {
		if address == e.config.Self.Address {
			delete(e.peers, address)
			continue
		}
		if !p.isSeed && now.Sub(p.lastMentioned) > candidateTTL && now.Sub(p.lastContact) > candidateTTL {
			if p.conn != nil {
				p.conn.Close()
			}
			delete(e.peers, address)
			continue
		}
		if !p.inFlight {
			p.inFlight = true
			go e.exchange(ctx, p)
		}
	}
}

// exchange exchanges lists with one entry. It ends within callTimeout and then clears
// inFlight.
func (e *Enroller) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply messenger.AnnounceReply
	request := messenger.PeersRequest{From: e.config.Self, FleetVersion: e.config.FleetVersion()}
	err := e.Call(ctx, p.address, messenger.MethodPeers, request, &reply)
	e.mu.Lock()
	defer e.mu.Unlock()
	p.inFlight = false
	if err != nil {
		// A connection without an answer may lead to a frozen or replaced process; the
		// next exchange dials a new one.
		if p.conn != nil {
			p.conn.Close()
			p.conn = nil
		}
		return
	}
	p.id, p.lastContact = reply.EntryID, e.config.Now()
	p.version = max(p.version, reply.FleetVersion)
	for _, o := range reply.Owners {
		e.updateOwner(o)
	}
	for _, other := range reply.Peers {
		if _, known := e.peers[other.Address]; !known && other.Address != e.config.Self.Address {
			e.ensurePeer(other)
		}
	}
}

// keepRegistered maintains the entry's record in the store and reads the records of the
// other entries.
func (e *Enroller) keepRegistered(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if err := e.register(ctx); err != nil && ctx.Err() == nil {
			e.config.Reporter.Report(reporter.RegistrationFailed, reporter.Fields{"error": err.Error()})
		}
		select {
		case <-ctx.Done():
			return e.unregister()
		case <-ticker.C:
		}
	}
}

func (e *Enroller) register(ctx context.Context) error {
	if e.lease != 0 {
		if err := e.config.Keeper.KeepAlive(ctx, e.lease); keeper.IsErrLeaseNotExist(err) {
			e.lease = 0
		} else if err != nil {
			return fmt.Errorf("renew registration: %w", err)
		}
	}
	if e.lease == 0 {
		lease, err := e.config.Keeper.GrantLease(ctx, registrationTTL)
		if err != nil {
			return fmt.Errorf("get lease for registration: %w", err)
		}
		e.lease = lease.ID
	}
	records, err := e.findEntries(ctx)
	if err != nil {
		return fmt.Errorf("list entries: %w", err)
	}
	return e.applyRecords(ctx, records)
}

// findEntries lists the records of all entries, page by page.
func (e *Enroller) findEntries(ctx context.Context) ([]keeper.Record, error) {
	l := lister.New(lister.Config{FindRecords: e.config.Keeper.FindRecords, Prefix: keyPrefix})
	err := l.Read(ctx)
	return l.Records(), err
}

// applyRecords adds the registered entries as peers. It writes this entry's own record
// if that is missing or belongs to an earlier process of the entry.
func (e *Enroller) applyRecords(ctx context.Context, records []keeper.Record) error {
	own := keeper.Record{}
	e.mu.Lock()
	isSound := true
	for _, r := range records {
		a, err := decodeEntry(r)
		if err != nil { // the exchange still finds the entry
			e.reportOdd(r.Key, err)
		}
		if r.Key == keyPrefix+e.config.Self.EntryID {
			own, isSound = r, err == nil
		} else if err == nil && a.Address != e.config.Self.Address {
			e.ensurePeer(a)
		}
	}
	e.mu.Unlock()
	if own.Lease == e.lease && isSound {
		return nil
	}
	value, err := json.Marshal(e.config.Self)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	_, err = e.config.Keeper.CompareAndSwap(ctx, keeper.SwapOptions{
		Key: keyPrefix + e.config.Self.EntryID, Value: value, ExpectRevision: own.Revision, Lease: e.lease,
	})
	if err != nil {
		return fmt.Errorf("write registration: %w", err)
	}
	return nil
}

// decodeEntry decodes the record of an entry whole or not at all.
func decodeEntry(r keeper.Record) (messenger.PeerAddress, error) {
	a, err := decoder.Decode[messenger.PeerAddress](r.Value)
	if err != nil {
		return messenger.PeerAddress{}, err
	}
	if a.EntryID == "" || keyPrefix+a.EntryID != r.Key {
		return messenger.PeerAddress{}, decoder.ErrField{Field: "entry-id", Problem: fmt.Sprintf("%.100q is not that of the key", a.EntryID)}
	}
	if host, port, err := net.SplitHostPort(a.Address); err != nil || host == "" || port == "" {
		return messenger.PeerAddress{}, decoder.ErrField{Field: "address", Problem: fmt.Sprintf("%.100q is not host:port", a.Address)}
	}
	return a, nil
}

// reportOdd logs a record that can't be read, with the field that is wrong if that is known.
func (e *Enroller) reportOdd(key string, err error) {
	if !e.odd.Allows(key, e.config.Now()) {
		return
	}
	field, _ := errors.AsType[decoder.ErrField](err)
	e.config.Reporter.Report(reporter.RegistrationUnreadable, reporter.Fields{"key": key, "field": field.Field, "error": err.Error()})
}

func (e *Enroller) unregister() error {
	e.mu.Lock()
	for _, p := range e.peers {
		if p.conn != nil {
			p.conn.Close()
		}
	}
	e.mu.Unlock()
	if e.lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// If this fails, the lease expires. The exchanges have stopped, so no entry lists
	// this one as live for longer than liveTTL.
	_ = e.config.Keeper.RevokeLease(ctx, e.lease)
	return nil
}
