package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"bamboospread/internal/wire/messenger"
)

// UpstreamsPath is where an agent takes announcements.
const UpstreamsPath = "/v1/upstreams"

// leaveTries is how often an upstream tells its agent that it leaves.
const leaveTries = 5

// Announcement is what an upstream tells its agent each second.
type Announcement struct {
	ID          string                  `json:"id"`
	Service     string                  `json:"service"`
	Address     string                  `json:"address"`
	Slots       int                     `json:"slots"`
	Connections int                     `json:"connections"`
	State       messenger.UpstreamState `json:"state"`
	// SentAtMillis is the Unix time of sending: an agent that was paused finds
	// old announcements when it wakes and must not take them for new ones.
	SentAtMillis int64 `json:"sent-at-ms"`
}

// announce tells the agent of the upstream until ctx ends, then that it leaves.
func (u *Upstream) announce(ctx context.Context, address string) {
	ticker := time.NewTicker(u.config.Announce)
	defer ticker.Stop()
	a := Announcement{
		ID: u.config.ID, Service: u.config.Service, Address: address,
		Slots: u.config.Slots, Connections: u.config.Connections, State: messenger.UpstreamReady,
	}
	for ctx.Err() == nil {
		a.SentAtMillis = time.Now().UnixMilli()
		body, err := json.Marshal(a)
		if err != nil {
			panic(err) // a struct of strings and numbers
		}
		u.tell(ctx, http.MethodPost, UpstreamsPath, body)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	for range leaveTries {
		if u.tell(late, http.MethodDelete, UpstreamsPath+"/"+url.PathEscape(u.config.ID), nil) {
			return
		}
		time.Sleep(u.config.Announce / leaveTries)
	}
}

// tell calls the agent and tells whether it took the call.
func (u *Upstream) tell(ctx context.Context, method, path string, body []byte) bool {
	if u.config.Agent == "" {
		return true
	}
	r, err := http.NewRequestWithContext(ctx, method, u.config.Agent+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	reply, err := u.http.Do(r)
	if err != nil {
		return false
	}
	reply.Body.Close()
	return reply.StatusCode < http.StatusMultipleChoices
}
