package handler

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"bamboospread/internal/fleet/changer"
	"bamboospread/internal/fleet/finder"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// retryAfterSeconds is the Retry-After value of every answer that asks for a retry.
const retryAfterSeconds = 1

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	// The client may have disconnected, so a write error is ignored.
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, status int, a ErrorAnswer) {
	if status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(w, status, a)
}

// readBody reads a body of at most limit bytes. On failure it writes the answer and
// returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeError(w, status, ErrorAnswer{Error: "read body: " + err.Error(), Outcome: OutcomeRefused})
	return nil, false
}

// readJSON decodes a body into v. On failure it writes the answer and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := readBody(w, r, maxJSONBody)
	if !ok {
		return false
	}
	if n := countObjects(body); n > maxJSONObjects {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "decode body: more than " + strconv.Itoa(maxJSONObjects) + " objects", Outcome: OutcomeRefused})
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "decode body: " + err.Error(), Outcome: OutcomeRefused})
		return false
	}
	return true
}

// maxJSONObjects limits the objects of a body. A task has two; an empty one takes three bytes of a
// body and a hundred times as much in memory.
const maxJSONObjects = 3 * MaxTasks

// countObjects returns the number of objects in JSON.
func countObjects(text []byte) int {
	objects, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch {
		case quoted && text[i] == '\\':
			i++
		case text[i] == '"':
			quoted = !quoted
		case text[i] == '{' && !quoted:
			objects++
		}
	}
	return objects
}

// writeChangeError answers a change that was rejected or whose outcome is unknown.
func (h *Handler) writeChangeError(w http.ResponseWriter, changeID string, err error) {
	a := ErrorAnswer{Error: err.Error(), ChangeID: changeID, Outcome: OutcomeRefused}
	status := http.StatusBadRequest
	var conflict changer.ErrConflict
	switch {
	case errors.As(err, &conflict):
		status, a.Outcome = http.StatusConflict, OutcomeConflict
		a.Version, a.Difference, a.DifferenceFrom = conflict.Current, conflict.Difference, "change"
		if conflict.BaseKnown {
			a.DifferenceFrom = "base"
		}
	case changer.IsErrUnavailable(err):
		status, a.Outcome = http.StatusServiceUnavailable, OutcomeUnavailable
	case changer.IsErrOutcomeUnknown(err):
		status, a.Outcome = http.StatusGatewayTimeout, OutcomeUnknown
	case changer.IsErrZoneNotExist(err):
		status = http.StatusNotFound
	case changer.IsErrZoneOutInText(err), changer.IsErrChangeIDReused(err):
		status = http.StatusUnprocessableEntity
	default:
		if findings, ok := finder.AsFindings(err); ok {
			a.Error, a.Findings = "the fleet text has faults", findings
		}
	}
	h.config.Reporter.Report(reporter.OperatorChangeRefused, reporter.Fields{"change-id": changeID, "outcome": string(a.Outcome), "error": err.Error()})
	writeError(w, status, a)
}

// writeCellError answers a failed call to the cell's owner. A read-only call has no
// effect, so its outcome is never unknown.
func writeCellError(w http.ResponseWriter, err error, readOnly bool) {
	a := ErrorAnswer{Error: err.Error(), Outcome: OutcomeUnknown}
	status := http.StatusGatewayTimeout
	switch connector.CodeOf(err) {
	case messenger.CodeNotOwner, messenger.CodeUnavailable:
		status, a.Outcome = http.StatusServiceUnavailable, OutcomeUnavailable
	case messenger.CodeBadRequest:
		status, a.Outcome = http.StatusBadRequest, OutcomeRefused
	case messenger.CodeNotExist:
		status, a.Outcome = http.StatusNotFound, OutcomeRefused
	default:
		if readOnly {
			status, a.Outcome = http.StatusServiceUnavailable, OutcomeUnavailable
		}
	}
	writeError(w, status, a)
}
