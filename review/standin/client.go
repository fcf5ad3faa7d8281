package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	clientTries    = 4
	retryPause     = 300 * time.Millisecond
	host           = "nony24.example"
)

// step is a step of a submission.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Mem          int64  `json:"mem_mb"`
	Estimate     int64  `json:"estimate_ms"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// request sends a request of a client, again at another entry after no answer, 429, 502, 503 or 504.
func (f *fleet) request(method, path string, body any) (status int, text string) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	for try := range clientTries {
		e := f.entries[try%len(f.entries)]
		status, text = f.send(e, method, path, b)
		f.rec.add("client %s %s at %s: %d %s", method, path, e.name, status, text)
		switch status {
		case 0, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			time.Sleep(retryPause)
		default:
			return status, text
		}
	}
	return status, text
}

func (f *fleet) send(e *process, method, path string, body []byte) (int, string) {
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", e.ip, frontendPort, path), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	client := http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return 0, "no answer"
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, "no answer"
	}
	return a.StatusCode, string(bytes.TrimSpace(text))
}

// submit hands a submission in, and says how its steps behave.
func (f *fleet) submit(prefix, id string, steps []step, b ...behaviour) error {
	f.world.mu.Lock()
	for n := range steps {
		f.world.behaviours[fmt.Sprintf("%s.%d", id, n)] = b[n]
	}
	f.world.mu.Unlock()
	if status, text := f.request(http.MethodPost, prefix+id, map[string]any{"spec": "text of " + id, "steps": steps}); status != http.StatusOK {
		return fmt.Errorf("submission %s was answered %d %s", id, status, text)
	}
	return nil
}

// state asks for the state of a submission.
func (f *fleet) state(prefix, id string) string {
	status, text := f.request(http.MethodGet, prefix+id, nil)
	var s struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &s) != nil {
		return fmt.Sprint(status)
	}
	return s.State
}

// route is a route of the config.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout_ms"`
	Target   int     `json:"target_duration_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max_attempts"`
	Slack    float64 `json:"slack_factor"`
	Advice   *advice `json:"advice,omitempty"`
}

type advice struct {
	Decision int `json:"decision_ms"`
	Period   int `json:"period_ms"`
	Validity int `json:"validity_ms"`
}

func (f *fleet) route(name, prefix string, priority int) route {
	return route{Name: name, Host: host, Prefix: prefix, Kind: "non_idempotent", Timeout: 3000, Target: 1000, Priority: priority, Service: f.service, Attempts: 4, Slack: 2}
}

// putConfig writes a config as the operator.
func (f *fleet) putConfig(version int, routes ...route) {
	services := []map[string]any{{
		"name": f.service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		"enforces_capacity": false, "standby": false,
	}}
	limits := map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	f.store.operatorPut("op/config", map[string]any{"version": version, "routes": routes, "services": services, "limits": limits})
	var names []string
	for _, r := range routes {
		names = append(names, r.Name)
	}
	f.rec.add("operator writes config %d with routes %v", version, names)
}
