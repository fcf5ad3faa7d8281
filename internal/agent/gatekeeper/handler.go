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

// Announcement is what an upstream sends to the agent beside it each second.
type Announcement struct {
	ID          string                  `json:"id"`
	Service     string                  `json:"service"`
	Address     string                  `json:"address"` // host:port
	Slots       int                     `json:"slots"`
	Connections int                     `json:"connections"`
	State       messenger.UpstreamState `json:"state"`
	// SentAtMillis is the Unix time of sending, optional. Upstream and agent
	// share the clock of their VM. An agent that was paused finds old renewals
	// in its socket when it wakes; by their time it can tell that they are old.
	SentAtMillis int64 `json:"sent-at-ms,omitempty"`
}

// Handler serves the announcements of local upstreams:
// POST /v1/upstreams renews, DELETE /v1/upstreams/{id} leaves.
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

// Renew takes an announcement of a local upstream.
func (g *Gatekeeper) Renew(a Announcement) error {
	if a.ID == "" || a.Service == "" {
		return fmt.Errorf("announcement without id or service")
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
	if t := g.gates[a.ID]; t != nil && sent.After(t.renewed) {
		t.renewed = sent
	}
	notify := g.onChange
	g.mu.Unlock()
	if changed && notify != nil {
		notify()
	}
	return nil
}

// renew updates the gate under the lock and tells whether entries should hear of
// it at once.
func (g *Gatekeeper) renew(a Announcement, sent time.Time) bool {
	// A renewal that was sent before the upstream said that it leaves may be
	// handled after it, each being a request of its own; it must not bring the
	// upstream back. The time of sending is told in whole milliseconds.
	if left, ok := g.left[a.ID]; ok && !sent.After(left.Add(time.Millisecond)) {
		return false
	}
	t, ok := g.gates[a.ID]
	if !ok || t.address != a.Address || t.service != a.Service {
		if ok {
			t.pool.close()
		}
		t = &gate{id: a.ID, service: a.Service, address: a.Address}
		t.connections = positiveOr(a.Connections, defaultConnections)
		t.pool = newPool(a.Address, t.connections)
		g.gates[a.ID] = t
		g.config.Reporter.Report(reporter.UpstreamAnnounced, reporter.Fields{"upstream": a.ID, "service": a.Service, "address": a.Address})
		ok = false
	}
	t.slots = positiveOr(a.Slots, defaultSlots)
	leaving := a.State == messenger.UpstreamLeaving
	changed := !ok || t.leaving != leaving
	t.leaving = leaving
	if leaving {
		t.refuseWaiters()
	}
	return changed
}

// Leave marks a local upstream as leaving: it takes nothing new from now on.
func (g *Gatekeeper) Leave(id string) {
	now := g.config.Now()
	g.mu.Lock()
	t, ok := g.gates[id]
	if ok {
		t.leaving = true
		t.refuseWaiters()
	}
	g.left[id] = now
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

// Forget drops upstreams that have been silent for long and run nothing, and
// memories of leaving. The announcer calls it with each heartbeat.
func (g *Gatekeeper) Forget() {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, t := range g.gates {
		if t.load() == 0 && now.Sub(t.renewed) > forgetAfter*g.config.Expiry {
			t.pool.close()
			delete(g.gates, id)
			g.config.Reporter.Report(reporter.UpstreamGone, reporter.Fields{"upstream": id})
		}
	}
	for id, left := range g.left {
		if now.Sub(left) > attemptMemoryTime {
			delete(g.left, id)
		}
	}
}

// forgetAfter is the number of expiries after which a silent upstream is dropped.
const forgetAfter = 5

func positiveOr(n, otherwise int) int {
	if n > 0 {
		return n
	}
	return otherwise
}
