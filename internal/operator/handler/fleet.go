package handler

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"bamboospread/internal/fleet/changer"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/finder"
	"bamboospread/internal/fleet/validator"
)

// refreshTimeout limits the store call that refreshes the fleet for an answer.
const refreshTimeout = time.Second

func (h *Handler) getFleet(w http.ResponseWriter, r *http.Request) {
	if requested := r.URL.Query().Get("version"); requested != "" {
		h.getFleetVersion(w, requested)
		return
	}
	// Operators base their next change on this answer; a change based on an outdated
	// version would only result in a conflict.
	ctx, cancel := context.WithTimeout(r.Context(), refreshTimeout)
	defer cancel()
	_, err := h.config.Follower.Refresh(ctx)
	stored := h.config.Follower.CurrentRecord()
	writeJSON(w, http.StatusOK, FleetAnswer{
		Version: stored.Version, ChangeID: stored.ChangeID, Text: stored.Text,
		ZonesOut: append([]string{}, stored.ZonesOut...), AppliedAt: stored.AppliedAt, Stale: err != nil,
	})
}

func (h *Handler) getFleetVersion(w http.ResponseWriter, requested string) {
	version, err := strconv.ParseInt(requested, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "version " + strconv.Quote(requested) + ": want a whole number"})
		return
	}
	text, ok := h.config.Follower.FindText(version)
	if !ok {
		writeError(w, http.StatusNotFound, ErrorAnswer{Error: "version " + requested + " is not known to this entry; only recent ones are kept"})
		return
	}
	writeJSON(w, http.StatusOK, FleetAnswer{Version: version, Text: text, ZonesOut: []string{}, Stale: version < h.config.Follower.Version()})
}

func (h *Handler) applyFleet(w http.ResponseWriter, r *http.Request) {
	changeID, ok := readChangeID(w, r)
	if !ok {
		return
	}
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil || base < 0 {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "base: want the version on which the text is based, 0 for the first", Outcome: OutcomeRefused, ChangeID: changeID})
		return
	}
	text, ok := readBody(w, r, maxTextBody)
	if !ok {
		return
	}
	version, err := h.config.Changer.Apply(r.Context(), changer.ApplyOptions{Text: text, Base: base, ChangeID: changeID})
	h.writeChange(w, changeID, version, err)
}

func (h *Handler) setZone(w http.ResponseWriter, r *http.Request) {
	changeID, ok := readChangeID(w, r)
	if !ok {
		return
	}
	var requested ZoneRequest
	if !readJSON(w, r, &requested) {
		return
	}
	version, err := h.config.Changer.SetZone(r.Context(), r.PathValue("zone"), describer.ZoneState(requested.State), changeID)
	h.writeChange(w, changeID, version, err)
}

func (h *Handler) writeChange(w http.ResponseWriter, changeID string, version int64, err error) {
	if err != nil {
		h.writeChangeError(w, changeID, err)
		return
	}
	writeJSON(w, http.StatusOK, ChangeAnswer{Outcome: OutcomeDone, Version: version, ChangeID: changeID})
}

// maxChangeIDBytes limits the ids in the record's list of changes.
const maxChangeIDBytes = 128

func readChangeID(w http.ResponseWriter, r *http.Request) (string, bool) {
	id := r.Header.Get(HeaderChangeID)
	if id == "" || len(id) > maxChangeIDBytes {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "header " + HeaderChangeID + ": want a string of 1 to 128 bytes, unique to this change", Outcome: OutcomeRefused})
		return "", false
	}
	return id, true
}

func (h *Handler) validateFleet(w http.ResponseWriter, r *http.Request) {
	text, ok := readBody(w, r, maxTextBody)
	if !ok {
		return
	}
	if _, err := validator.Check(text); err != nil {
		findings, _ := finder.AsFindings(err)
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "the fleet text has faults", Outcome: OutcomeRefused, Findings: findings})
		return
	}
	writeJSON(w, http.StatusOK, ErrorAnswer{})
}
