package gatekeeper

import (
	"slices"
	"time"
)

// lostRequest is a request whose connection was lost before it was answered. The upstream may still run
// it, so it keeps its slot.
type lostRequest struct {
	id string
	at time.Time // when the connection was lost
}

// keepSlot keeps the slot of a lost request until the upstream states that it does not run the request
// any more, or for as long as that of a request without an answer.
func (g *Gatekeeper) keepSlot(u *upstream, id string, deadline time.Time) {
	l := &lostRequest{id: id, at: g.config.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	u.lost = append(u.lost, l)
	time.AfterFunc(time.Until(deadline.Add(g.config.MaxOverrun)), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.endLost(u, func(o *lostRequest) bool { return o == l })
	})
}

// endLost frees the slots of the lost requests that have ended. The caller holds mu.
func (g *Gatekeeper) endLost(u *upstream, ended func(*lostRequest) bool) {
	before := len(u.lost)
	u.lost = slices.DeleteFunc(u.lost, ended)
	for range before - len(u.lost) {
		g.freeSlot(u)
	}
}

// applyRunning ends the lost requests that the upstream does not run any more, as it stated at the given
// time, which has a resolution of one millisecond. The caller holds mu.
func (g *Gatekeeper) applyRunning(u *upstream, running []string, stated time.Time) {
	g.endLost(u, func(l *lostRequest) bool {
		return stated.After(l.at.Add(time.Millisecond)) && !slices.Contains(running, l.id)
	})
}
