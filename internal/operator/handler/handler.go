// Package handler implements the HTTP API for operators: the fleet text, zones, tasks,
// jobs, status, explanations and events. Bodies are JSON with keys in kebab case.
package handler

import (
	"context"
	"net/http"

	"bamboospread/internal/fleet/changer"
	"bamboospread/internal/fleet/follower"
	"bamboospread/internal/kernel/reporter"
)

// Limits of request bodies.
const (
	maxTextBody = 1 << 20 // above the limit of the parser, so that the parser reports a text that is too large
	maxJSONBody = 8 << 20
)

// Headers of the API.
const (
	HeaderChangeID = "Bamboospread-Change-Id"
)

// Config holds the settings of a Handler.
type Config struct {
	Cell     string
	Changer  *changer.Changer
	Follower *follower.Follower
	// CallCell calls the owner of a cell.
	CallCell func(ctx context.Context, cell, method string, params, result any) error
	Jobs     Jobs
	Reporter *reporter.Reporter
}

// Handler serves the operator API.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// New returns a Handler.
func New(c Config) *Handler {
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	h := &Handler{config: c, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/fleet", h.getFleet)
	h.mux.HandleFunc("PUT /v1/fleet", h.applyFleet)
	h.mux.HandleFunc("POST /v1/fleet/validate", h.validateFleet)
	h.mux.HandleFunc("POST /v1/zones/{zone}", h.setZone)
	h.mux.HandleFunc("POST /v1/tasks", h.submitTasks)
	h.mux.HandleFunc("GET /v1/tasks", h.findTasks)
	h.mux.HandleFunc("GET /v1/tasks/{id}", h.getTask)
	h.mux.HandleFunc("DELETE /v1/tasks/{id}", h.cancelTask)
	h.mux.HandleFunc("POST /v1/tasks/cancel", h.cancelTasks)
	h.routeJobs()
	h.mux.HandleFunc("GET /v1/status", h.getStatus)
	h.mux.HandleFunc("GET /v1/explain/{kind}/{name}", h.explain)
	h.mux.HandleFunc("GET /v1/events", h.findEvents)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }
