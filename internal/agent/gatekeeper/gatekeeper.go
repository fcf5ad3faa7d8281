// Package gatekeeper admits requests to the upstreams of an agent's VM. It alone
// counts their slots and connections, so that several entries together cannot
// overload them. It runs the requests that entries send, and reports for each
// whether it certainly did not run.
package gatekeeper

import (
	"context"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

const (
	defaultExpiry      = 2500 * time.Millisecond
	defaultMaxOverrun  = 5 * time.Second
	defaultDialTimeout = time.Second
	defaultMaxWait     = 10 * time.Millisecond
	defaultSlots       = 8
	defaultConnections = 64
	// MaxResponseBytes bounds the body of an upstream's response.
	MaxResponseBytes = 8 << 20
	minRetryAfter    = 5 * time.Millisecond
)

// Config holds the settings of a Gatekeeper.
type Config struct {
	Reporter *reporter.Reporter
	// Expiry is the time without a renewal after which an upstream gets no new
	// requests; default 2.5 s, so that the last request reaches it within 3 s
	// of its last renewal.
	Expiry time.Duration
	// MaxOverrun is how long the slot of a request past its deadline stays
	// occupied while its upstream is, or may be, still working on it; default 5 s.
	MaxOverrun  time.Duration
	DialTimeout time.Duration // default 1 s
	// MaxWait is how long a request may wait for a slot; default 10 ms, negative:
	// no waiting. At most one request waits per slot, and the earliest deadline
	// goes first. Entries do not see each other's latest requests; without
	// waiting, a freed slot would stay idle until a refused entry retries.
	MaxWait time.Duration
	Now     func() time.Time // nil: time.Now
	// TimeOfDay is the clock that the upstreams of the VM also read; nil: Now. It
	// may jump, so it is used only for the age of an announcement.
	TimeOfDay func() time.Time
	// OnChange, if set, is called when an upstream is added, changes between ready
	// and leaving, or the Gatekeeper drains. It must not block.
	OnChange func()
}

// Gatekeeper admits requests to the upstreams of one VM. It is safe for
// concurrent use.
type Gatekeeper struct {
	config    Config
	mu        sync.Mutex
	upstreams map[string]*upstream
	leftAt    map[string]time.Time // when an upstream announced that it leaves
	draining  bool
	inFlight  int
	drained   chan struct{} // closed when draining and nothing is in flight
	onChange  func()
	attempts  *attemptLog
	meters    map[string]*loadMeter // by service
}

// New returns a Gatekeeper without upstreams.
func New(c Config) *Gatekeeper {
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	if c.Expiry <= 0 {
		c.Expiry = defaultExpiry
	}
	if c.MaxOverrun <= 0 {
		c.MaxOverrun = defaultMaxOverrun
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxWait == 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.TimeOfDay == nil {
		c.TimeOfDay = c.Now
	}
	return &Gatekeeper{
		config: c, upstreams: make(map[string]*upstream), leftAt: make(map[string]time.Time),
		drained: make(chan struct{}), onChange: c.OnChange,
		attempts: newAttemptLog(), meters: make(map[string]*loadMeter),
	}
}

// SetOnChange replaces Config.OnChange; announcer.New calls it.
func (g *Gatekeeper) SetOnChange(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onChange = f
}

// Upstreams returns the state of all local upstreams, for heartbeats.
func (g *Gatekeeper) Upstreams() []messenger.Upstream {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]messenger.Upstream, 0, len(g.upstreams))
	for _, u := range g.upstreams {
		list = append(list, u.describe(g.stateOf(u, now)))
	}
	return list
}

// stateOf returns the state of an upstream at the given time. The age of the
// renewal is compared on each call and does not depend on a timer: after a pause
// the agent finds all its upstreams expired and refuses requests even before a
// timer fires.
func (g *Gatekeeper) stateOf(u *upstream, now time.Time) messenger.UpstreamState {
	switch {
	case g.draining, u.leaving:
		return messenger.UpstreamLeaving
	case now.Sub(u.renewed) > g.config.Expiry:
		return messenger.UpstreamDown
	}
	return messenger.UpstreamReady
}

// Run runs one attempt at a local upstream. The reply has OutcomeNotRun only if
// nothing was sent to the upstream.
func (g *Gatekeeper) Run(ctx context.Context, r messenger.RunRequest) messenger.RunReply {
	started := g.config.Now()
	deadline := started.Add(messenger.FromMillis(r.TimeoutMillis))
	u, waiting, refusal := g.admit(r, started, deadline)
	if refusal == nil && waiting != nil {
		refusal = g.awaitSlot(ctx, r, u, waiting)
	}
	if refusal != nil {
		return *refusal
	}
	done := make(chan messenger.RunReply, 1)
	// The exchange has a goroutine of its own: the caller gets a reply at its
	// deadline, while the slot stays occupied until the exchange ends. Freeing the
	// slot at the deadline would send a slow upstream more requests than it has
	// slots.
	go func() {
		reply, lost := u.exchange(g.config, r, deadline, func() string { return g.checkSend(u, deadline) })
		if lost {
			g.keepSlot(u, r.RequestID, deadline)
		}
		reply.InFlight = g.release(u, started, reply, lost)
		done <- reply
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case reply := <-done:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	return messenger.RunReply{
		RequestID: r.RequestID, Attempt: r.Attempt, Outcome: messenger.OutcomeUnknown,
		Reason: "the upstream did not respond in time",
	}
}

// refuse returns the reply to a request that was not run. The caller holds mu.
func refuse(r messenger.RunRequest, reason string, u *upstream) *messenger.RunReply {
	reply := &messenger.RunReply{RequestID: r.RequestID, Attempt: r.Attempt, Outcome: messenger.OutcomeNotRun, Reason: reason}
	if u != nil {
		reply.InFlight = u.load()
	}
	if reason == messenger.ReasonFull {
		reply.RetryAfterMillis = messenger.Millis(max(minRetryAfter, u.meanTime))
	}
	return reply
}

// admit gives the request a slot, queues it for one, or returns the refusal.
func (g *Gatekeeper) admit(r messenger.RunRequest, now, deadline time.Time) (*upstream, *waiter, *messenger.RunReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.upstreams[r.Upstream]
	if !ok || u.service != r.Service {
		return nil, nil, refuse(r, messenger.ReasonUnknownUpstream, nil)
	}
	switch g.stateOf(u, now) {
	case messenger.UpstreamLeaving:
		return nil, nil, refuse(r, messenger.ReasonLeaving, u)
	case messenger.UpstreamDown:
		return nil, nil, refuse(r, messenger.ReasonUnknownUpstream, u)
	}
	if r.TimeoutMillis <= 0 {
		return nil, nil, refuse(r, "the deadline has passed", u)
	}
	full := u.inFlight >= u.slots
	if full && (g.config.MaxWait <= 0 || len(u.waiters) >= u.slots) {
		return nil, nil, refuse(r, messenger.ReasonFull, u)
	}
	// Running the same attempt twice would run the request twice. Nothing between
	// entry and agent resends a message today; with this check the guarantee does
	// not depend on that.
	if !g.attempts.add(r.RequestID, r.Attempt, now) {
		return nil, nil, &messenger.RunReply{
			RequestID: r.RequestID, Attempt: r.Attempt, Outcome: messenger.OutcomeUnknown,
			Reason: "this attempt was received before", InFlight: u.load(),
		}
	}
	if full {
		w := &waiter{deadline: deadline, granted: make(chan bool, 1)}
		u.push(w)
		return u, w, nil
	}
	u.inFlight++
	g.inFlight++
	return u, nil, nil
}

// awaitSlot waits for the slot for at most MaxWait. It returns nil when the slot
// was granted, else the refusal.
func (g *Gatekeeper) awaitSlot(ctx context.Context, r messenger.RunRequest, u *upstream, w *waiter) *messenger.RunReply {
	timer := time.NewTimer(min(g.config.MaxWait, time.Until(w.deadline)))
	defer timer.Stop()
	granted, received := false, false
	select {
	case granted = <-w.granted:
		received = true
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !received && !u.remove(w) {
		granted = <-w.granted // granted or refused at the same moment
	}
	if granted {
		return nil
	}
	if u.leaving || g.draining {
		return refuse(r, messenger.ReasonLeaving, u)
	}
	return refuse(r, messenger.ReasonFull, u)
}

// checkSend returns why a request that has its slot must not be sent, or an empty
// string.
func (g *Gatekeeper) checkSend(u *upstream, deadline time.Time) string {
	now := g.config.Now()
	if !now.Before(deadline) {
		return "the deadline passed before sending"
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.leaving {
		return messenger.ReasonLeaving
	}
	if now.Sub(u.renewed) > g.config.Expiry {
		return messenger.ReasonUnknownUpstream
	}
	return ""
}

// release ends an exchange, frees its slot unless its request was lost, and returns how many requests
// the upstream still has.
func (g *Gatekeeper) release(u *upstream, started time.Time, reply messenger.RunReply, lost bool) int {
	elapsed := g.config.Now().Sub(started)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if !lost {
		g.freeSlot(u)
	}
	if reply.Outcome != messenger.OutcomeNotRun {
		u.meanTime += (elapsed - u.meanTime) / ewmaDivisor
		meter, ok := g.meters[u.service]
		if !ok {
			meter = &loadMeter{}
			g.meters[u.service] = meter
		}
		meter.observe(elapsed)
	}
	if g.draining && g.inFlight == 0 {
		g.closeDrained()
	}
	return u.load()
}

// freeSlot frees a slot or passes it to the next waiter. The caller holds mu.
func (g *Gatekeeper) freeSlot(u *upstream) {
	if w := u.pop(); w != nil {
		w.granted <- true // the slot stays occupied
		g.inFlight++
		return
	}
	u.inFlight--
}

func (g *Gatekeeper) closeDrained() {
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// Drain marks every upstream as leaving, refuses new requests and waits for
// those in flight.
func (g *Gatekeeper) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	for _, u := range g.upstreams {
		u.refuseWaiters()
	}
	if g.inFlight == 0 {
		g.closeDrained()
	}
	changed := g.onChange
	g.mu.Unlock()
	if changed != nil {
		changed()
	}
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
