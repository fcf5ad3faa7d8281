package handler

import (
	"encoding/json"
	"time"

	"bamboospread/internal/fleet/finder"
)

// Outcome tells what became of a change.
type Outcome string

// Outcomes of a change.
const (
	OutcomeDone        Outcome = "done"
	OutcomeRefused     Outcome = "refused"     // it can't be done as asked; nothing was changed
	OutcomeConflict    Outcome = "conflict"    // another change came first; nothing was changed
	OutcomeUnavailable Outcome = "unavailable" // nothing was changed; try again later
	OutcomeUnknown     Outcome = "unknown"     // send it again with the same change id
)

// FleetAnswer is the fleet record in force.
type FleetAnswer struct {
	Version   int64     `json:"version"`
	ChangeID  string    `json:"change-id,omitempty"`
	Text      string    `json:"text"`
	ZonesOut  []string  `json:"zones-out"` // taken out by command
	AppliedAt time.Time `json:"applied-at,omitzero"`
	// Stale: the store could not be asked; a newer version may be in force.
	Stale bool `json:"stale"`
}

// ChangeAnswer answers a change of the fleet.
type ChangeAnswer struct {
	Outcome  Outcome `json:"outcome"`
	Version  int64   `json:"version"`
	ChangeID string  `json:"change-id"`
}

// ZoneRequest asks for a state of an availability zone.
type ZoneRequest struct {
	State string `json:"state"` // in or out
}

// ErrorAnswer answers a request that failed.
type ErrorAnswer struct {
	Error      string          `json:"error"`
	Outcome    Outcome         `json:"outcome,omitempty"`
	ChangeID   string          `json:"change-id,omitempty"`
	Version    int64           `json:"version,omitempty"` // in force, with a conflict
	Findings   finder.Findings `json:"findings,omitempty"`
	Difference []string        `json:"difference,omitempty"`
	// DifferenceFrom tells what the difference is taken from: "base" or "change".
	DifferenceFrom string `json:"difference-from,omitempty"`
}

// DecodeError reads an ErrorAnswer; a body that is none becomes its text.
func DecodeError(body []byte) ErrorAnswer {
	var a ErrorAnswer
	if err := json.Unmarshal(body, &a); err != nil || a.Error == "" {
		const limit = 300
		return ErrorAnswer{Error: string(body[:min(len(body), limit)])}
	}
	return a
}
