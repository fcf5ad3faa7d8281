package gatekeeper

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

const maxAnnouncementBytes = 64 << 10

// Announcement is sent by an upstream to the agent of its VM every second.
type Announcement struct {
	ID          string                  `json:"id"`
	Service     string                  `json:"service"`
	Address     string                  `json:"address"` // host:port
	Slots       int                     `json:"slots"`
	Connections int                     `json:"connections"`
	State       messenger.UpstreamState `json:"state"`
	// SentAtMillis is the Unix time of sending, optional. Upstream and agent
	// share the clock of their VM. When an agent resumes after a pause, its
	// socket holds old renewals; SentAtMillis shows that they are old.
	SentAtMillis int64 `json:"sent-at-ms,omitempty"`
	// Running are the ids of the requests that the upstream runs, optional; it
	// takes effect with SentAtMillis. Without it the slot of a request whose
	// connection was reset stays occupied for as long as that of one without an
	// answer.
	Running []string `json:"running"`
}

// Handler serves the announcements of local upstreams: POST /v1/upstreams renews
// an upstream, DELETE /v1/upstreams/{id} marks it as leaving.
func (g *Gatekeeper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/upstreams", func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
			http.Error(w, fmt.Sprintf("decode announcement: %v", err), http.StatusBadRequest)
			return
		}
		if err := g.Renew(a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /v1/upstreams/{id}", func(w http.ResponseWriter, r *http.Request) {
		g.Leave(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Renew registers a local upstream or renews it.
func (g *Gatekeeper) Renew(a Announcement) error {
	if a.ID == "" || a.Service == "" {
		return fmt.Errorf("announcement without id or service: id %q, service %q", a.ID, a.Service)
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return fmt.Errorf("address of upstream %s: %w", a.ID, err)
	}
	now := g.config.Now()
	sent := now
	if a.SentAtMillis > 0 {
		if age := g.config.TimeOfDay().UnixMilli() - a.SentAtMillis; age > 0 {
			sent = now.Add(-messenger.FromMillis(age))
		}
	}
	g.mu.Lock()
	changed := g.renew(a, sent)
	if u := g.upstreams[a.ID]; u != nil && sent.After(u.renewed) {
		u.renewed = sent
		if a.Running != nil && a.SentAtMillis > 0 {
			g.applyRunning(u, a.Running, sent)
		}
	}
	notify := g.onChange
	g.mu.Unlock()
	if changed && notify != nil {
		notify()
	}
	return nil
}

// renew updates the upstream and reports whether entries should be notified at
// once. The caller holds mu.
func (g *Gatekeeper) renew(a Announcement, sent time.Time) bool {
	// Renewal and leave are separate requests, so a renewal that was sent before
	// the leave may be handled after it; it must not make the upstream ready
	// again. The time of sending has a resolution of one millisecond.
	if leftAt, ok := g.leftAt[a.ID]; ok && !sent.After(leftAt.Add(time.Millisecond)) {
		return false
	}
	u, ok := g.upstreams[a.ID]
	// A process of the upstream that has ended may have sent it.
	if ok && sent.Before(u.renewed.Add(-time.Millisecond)) {
		return false
	}
	if !ok || u.address != a.Address || u.service != a.Service {
		if ok {
			u.pool.close()
		}
		u = &upstream{id: a.ID, service: a.Service, address: a.Address}
		u.connections = positiveOr(a.Connections, defaultConnections)
		u.pool = newPool(a.Address, u.connections)
		g.upstreams[a.ID] = u
		g.config.Reporter.Report(reporter.UpstreamAnnounced, reporter.Fields{"upstream": a.ID, "service": a.Service, "address": a.Address})
		ok = false
	}
	u.slots = positiveOr(a.Slots, defaultSlots)
	leaving := a.State == messenger.UpstreamLeaving
	changed := !ok || u.leaving != leaving
	u.leaving = leaving
	if leaving {
		u.refuseWaiters()
	}
	return changed
}

// Leave marks a local upstream as leaving: it gets no new requests from now on.
func (g *Gatekeeper) Leave(id string) {
	now := g.config.Now()
	g.mu.Lock()
	u, ok := g.upstreams[id]
	if ok {
		u.leaving = true
		u.refuseWaiters()
	}
	g.leftAt[id] = now
	notify := g.onChange
	g.mu.Unlock()
	if !ok {
		return
	}
	g.config.Reporter.Report(reporter.UpstreamLeaving, reporter.Fields{"upstream": id})
	if notify != nil {
		notify()
	}
}

// RemoveExpired removes upstreams that have not renewed for removeAfterExpiries
// and run nothing, and old records of leaving. The announcer calls it with each
// heartbeat.
func (g *Gatekeeper) RemoveExpired() {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, u := range g.upstreams {
		if u.load() == 0 && now.Sub(u.renewed) > removeAfterExpiries*g.config.Expiry {
			u.pool.close()
			delete(g.upstreams, id)
			g.config.Reporter.Report(reporter.UpstreamRemoved, reporter.Fields{"upstream": id})
		}
	}
	for id, leftAt := range g.leftAt {
		if now.Sub(leftAt) > attemptRetention {
			delete(g.leftAt, id)
		}
	}
}

// removeAfterExpiries is the number of expiries without a renewal after which an
// upstream is removed.
const removeAfterExpiries = 5

func positiveOr(n, otherwise int) int {
	if n > 0 {
		return n
	}
	return otherwise
}
