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

// UpstreamsPath is the path at which an agent accepts announcements.
const UpstreamsPath = "/v1/upstreams"

// leaveAttempts is the number of attempts to notify the agent that the upstream leaves.
const leaveAttempts = 5

// Announcement is the message that an upstream sends to its agent each second.
type Announcement struct {
	ID          string                  `json:"id"`
	Service     string                  `json:"service"`
	Address     string                  `json:"address"`
	Slots       int                     `json:"slots"`
	Connections int                     `json:"connections"`
	State       messenger.UpstreamState `json:"state"`
	// SentAtMillis is the Unix time of sending: an agent that was paused reads old
	// announcements when it resumes and must not treat them as new ones.
	SentAtMillis int64 `json:"sent-at-ms"`
	// Running are the ids of the requests that the upstream runs: an agent whose
	// connection was reset can't know.
	Running []string `json:"running"`
}

// announce announces the upstream to the agent until ctx ends, then deregisters it.
func (u *Upstream) announce(ctx context.Context, address string) {
	ticker := time.NewTicker(u.config.Announce)
	defer ticker.Stop()
	a := Announcement{
		ID: u.config.ID, Service: u.config.Service, Address: address,
		Slots: u.config.Slots, Connections: u.config.Connections, State: messenger.UpstreamReady,
	}
	for ctx.Err() == nil {
		a.SentAtMillis = time.Now().UnixMilli() // before the list, so that it holds then
		a.Running = u.runningIDs()
		body, err := json.Marshal(a)
		if err != nil {
			panic(err) // a struct of strings and numbers
		}
		u.callAgent(ctx, http.MethodPost, UpstreamsPath, body)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-u.lostEnded:
		}
	}
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	for range leaveAttempts {
		if u.callAgent(leaveCtx, http.MethodDelete, UpstreamsPath+"/"+url.PathEscape(u.config.ID), nil) {
			return
		}
		time.Sleep(u.config.Announce / leaveAttempts)
	}
}

// callAgent calls the agent and reports whether the call succeeded.
func (u *Upstream) callAgent(ctx context.Context, method, path string, body []byte) bool {
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
