package handler

import (
	"net/http"
	"strconv"

	"bamboospread/internal/wire/messenger"
)

// checkAccount reports whether a job may count for a client account: none is named, or the fleet
// text has the tenant. If not, it writes the answer.
func (h *Handler) checkAccount(w http.ResponseWriter, name string) bool {
	if name == "" || h.config.Jobs.Policy().HasAccount(name) {
		return true
	}
	writeError(w, http.StatusNotFound, ErrorAnswer{Error: "account " + strconv.Quote(name) + " does not exist: the fleet text has no such tenant", Outcome: OutcomeRefused})
	return false
}

func (h *Handler) explainAccount(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("account")
	var a messenger.WorkAccountReply
	err := h.config.Jobs.CallOwner(r.Context(), messenger.MethodWorkExplainAccount, messenger.WorkAccountRequest{Account: name}, &a)
	switch {
	case err != nil:
		writeCellError(w, err, true)
	case !a.Known:
		writeError(w, http.StatusNotFound, ErrorAnswer{Error: "account " + strconv.Quote(name) + " does not exist and has no jobs", Outcome: OutcomeRefused})
	default:
		writeJSON(w, http.StatusOK, a)
	}
}
