package scheduler

import (
	"sync"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Limits of the window of starts.
const (
	// minWindow is what lease renewals, reports and submissions wait behind at most on a link that
	// turns out to be slow: a quarter of a second at 2 Mbit/s, the slowest in use.
	minWindow = 64 << 10
	maxWindow = 16 << 20
	// fastAnswer and slowAnswer are the times of an answer below which the window grows, and from which
	// it shrinks. An agent answers orders as soon as it has read them.
	fastAnswer = 100 * time.Millisecond
	slowAnswer = 300 * time.Millisecond
	// startOverhead is about what a start takes beside its payload.
	startOverhead = 250
)

// window limits the starts that are on their way to agents, in bytes. Each carries the payload of its
// job: without a limit, the starts of an owner that takes over many jobs fill its link for longer
// than its lease lasts, agents get none of them in time, and the next owner does the same. A nil window
// has no limit. It is safe for concurrent use.
type window struct {
	mu       sync.Mutex
	size     int
	sent     int // bytes of all flows
	flows    map[*session]*flow
	shrunkAt time.Time
	fastAt   time.Time // of the latest fast answer
}

// flow is what is on its way to one agent.
type flow struct {
	bytes int       // not answered
	since time.Time // when the message that is not answered was sent; zero: there is none
}

func newWindow() *window { return &window{size: minWindow, flows: make(map[*session]*flow)} }

// open reports whether another start may be sent. Flows that have stalled don't count while other
// agents answer fast: then a VM is out of contact, and not the link full.
func (w *window) open(now time.Time) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent < w.size {
		return true
	}
	sent := w.sent
	for _, f := range w.flows {
		if w.isStalledLocked(f, now) {
			sent -= f.bytes
		}
	}
	return sent < w.size
}

func (w *window) isStalledLocked(f *flow, now time.Time) bool {
	return !f.since.IsZero() && now.Sub(f.since) >= slowAnswer && now.Sub(w.fastAt) < slowAnswer
}

// add counts starts that are about to be sent.
func (w *window) add(s *session, bytes int) {
	if w == nil || bytes == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flows[s]
	if f == nil {
		f = &flow{}
		w.flows[s] = f
	}
	f.bytes += bytes
	w.sent += bytes
}

// sending records that a message is sent now. There is one at a time for each agent.
func (w *window) sending(s *session, now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.flows[s]; f != nil {
		f.since = now
	}
}

// answered ends the count of the starts of a message that was answered now, and changes the size of the
// window by the time that the answer took.
func (w *window) answered(s *session, bytes int, now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flows[s]
	if f == nil {
		return
	}
	full := 2*w.sent >= w.size // a window that is not used up says nothing about a larger one
	if now.Sub(f.since) < fastAnswer && bytes > 0 {
		w.fastAt = now
		if full {
			w.size = min(w.size+bytes, maxWindow)
		}
	}
	w.shrinkLocked(f, now)
	f.since = time.Time{}
	w.removeLocked(s, f, bytes)
}

// failed ends the count of all starts for an agent that has not answered a message.
func (w *window) failed(s *session, now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.flows[s]; f != nil {
		w.shrinkLocked(f, now)
		w.removeLocked(s, f, f.bytes)
	}
}

// shrinkLocked halves the window if the message of a flow has taken long, once for all messages that
// were sent before.
func (w *window) shrinkLocked(f *flow, now time.Time) {
	if now.Sub(f.since) >= slowAnswer && f.since.After(w.shrunkAt) && !w.isStalledLocked(f, now) {
		w.size, w.shrunkAt = max(w.size/2, minWindow), now
	}
}

// drop ends the count of all starts for an agent whose session has ended.
func (w *window) drop(s *session) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.flows[s]; f != nil {
		w.removeLocked(s, f, f.bytes)
	}
}

func (w *window) removeLocked(s *session, f *flow, bytes int) {
	f.bytes -= bytes
	w.sent -= bytes
	if f.bytes <= 0 {
		delete(w.flows, s)
	}
}

// startBytes returns the size of the starts among orders.
func startBytes(orders []messenger.WorkOrder) (bytes int) {
	for _, o := range orders {
		if o.Kind == messenger.WorkStart {
			bytes += startOverhead + len(o.Payload)
		}
	}
	return bytes
}
