package handler

import (
	"encoding/json"
	"time"

	"bamboospread/internal/fleet/finder"
)

// Outcome is the outcome of a change.
type Outcome string

// Outcomes of a change.
const (
	OutcomeDone        Outcome = "done"
	OutcomeRefused     Outcome = "refused"     // the request is invalid or can't be carried out; nothing was changed
	OutcomeConflict    Outcome = "conflict"    // another change was accepted first; nothing was changed
	OutcomeUnavailable Outcome = "unavailable" // nothing was changed; try again later
	OutcomeUnknown     Outcome = "unknown"     // repeat the change with the same change id
)

// FleetAnswer is the current fleet record, or the fleet text of an earlier version.
type FleetAnswer struct {
	Version   int64     `json:"version"`
	ChangeID  string    `json:"change-id,omitempty"`
	Text      string    `json:"text"`
	ZonesOut  []string  `json:"zones-out"` // taken out by command
	AppliedAt time.Time `json:"applied-at,omitzero"`
	// Stale is set if there may be a newer version: the store could not be reached, or
	// an earlier version was requested.
	Stale bool `json:"stale"`
}

// ChangeAnswer answers an accepted change of the fleet.
type ChangeAnswer struct {
	Outcome  Outcome `json:"outcome"`
	Version  int64   `json:"version"`
	ChangeID string  `json:"change-id"`
}

// ZoneRequest requests a state of an availability zone.
type ZoneRequest struct {
	State string `json:"state"` // in or out
}

// ErrorAnswer answers a request that failed.
type ErrorAnswer struct {
	Error      string          `json:"error"`
	Outcome    Outcome         `json:"outcome,omitempty"`
	ChangeID   string          `json:"change-id,omitempty"`
	Version    int64           `json:"version,omitempty"` // the current version, set for a conflict
	Findings   finder.Findings `json:"findings,omitempty"`
	Difference []string        `json:"difference,omitempty"`
	// DifferenceFrom is the text to which the current one is compared: "base" or "change".
	DifferenceFrom string `json:"difference-from,omitempty"`
}

// DecodeError decodes an ErrorAnswer. Any other body is returned, truncated, as its
// Error.
func DecodeError(body []byte) ErrorAnswer {
	var a ErrorAnswer
	if err := json.Unmarshal(body, &a); err != nil || a.Error == "" {
		const limit = 300
		return ErrorAnswer{Error: string(body[:min(len(body), limit)])}
	}
	return a
}
