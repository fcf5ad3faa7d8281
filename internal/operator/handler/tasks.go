package handler

import (
	"net/http"
	"strconv"

	"bamboospread/internal/wire/messenger"
)

// MaxTasks bounds one submission.
const MaxTasks = 10_000

func (h *Handler) submitTasks(w http.ResponseWriter, r *http.Request) {
	var wanted messenger.SubmitRequest
	if !readJSON(w, r, &wanted) {
		return
	}
	if len(wanted.Tasks) == 0 || len(wanted.Tasks) > MaxTasks {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "tasks: want 1 to " + strconv.Itoa(MaxTasks), Outcome: OutcomeRefused})
		return
	}
	for i, t := range wanted.Tasks {
		// An id of the entry's making would make a repeat submit the task twice.
		if t.ID == "" {
			writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "tasks[" + strconv.Itoa(i) + "].id is missing", Outcome: OutcomeRefused})
			return
		}
	}
	wanted.Cell = h.config.Cell
	var reply messenger.SubmitReply
	h.call(w, r, messenger.MethodSubmit, wanted, &reply)
}

func (h *Handler) findTasks(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, ok := readNumber(w, r, "limit")
	if !ok {
		return
	}
	var reply messenger.FindTasksReply
	h.read(w, r, messenger.MethodFindTasks, messenger.FindTasksOptions{
		Cell: h.config.Cell, IDs: q["id"], Tenant: q.Get("tenant"), Class: q.Get("class"),
		State: messenger.TaskState(q.Get("state")), VM: q.Get("vm"), Limit: int(limit),
	}, &reply)
}

func (h *Handler) getTask(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var reply messenger.FindTasksReply
	err := h.config.CallCell(r.Context(), h.config.Cell, messenger.MethodFindTasks, messenger.FindTasksOptions{Cell: h.config.Cell, IDs: []string{id}}, &reply)
	switch {
	case err != nil:
		writeCellError(w, err, true)
	case len(reply.Tasks) == 0:
		writeError(w, http.StatusNotFound, ErrorAnswer{Error: "task " + strconv.Quote(id) + " does not exist"})
	default:
		writeJSON(w, http.StatusOK, reply.Tasks[0])
	}
}

func (h *Handler) cancelTask(w http.ResponseWriter, r *http.Request) {
	var reply messenger.CancelReply
	h.call(w, r, messenger.MethodCancel, messenger.CancelRequest{Cell: h.config.Cell, IDs: []string{r.PathValue("id")}}, &reply)
}

func (h *Handler) cancelTasks(w http.ResponseWriter, r *http.Request) {
	var wanted messenger.CancelRequest
	if !readJSON(w, r, &wanted) {
		return
	}
	if len(wanted.IDs) == 0 && wanted.Tenant == "" {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "want ids, or a tenant with or without a class", Outcome: OutcomeRefused})
		return
	}
	wanted.Cell = h.config.Cell
	var reply messenger.CancelReply
	h.call(w, r, messenger.MethodCancel, wanted, &reply)
}

func (h *Handler) getStatus(w http.ResponseWriter, r *http.Request) {
	var reply messenger.Status
	h.read(w, r, messenger.MethodStatus, messenger.StatusRequest{Cell: h.config.Cell}, &reply)
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	var reply messenger.ExplainReply
	h.read(w, r, messenger.MethodExplain, messenger.ExplainRequest{
		Cell: h.config.Cell, Kind: r.PathValue("kind"), Name: r.PathValue("name"),
	}, &reply)
}

func (h *Handler) findEvents(w http.ResponseWriter, r *http.Request) {
	above, ok := readNumber(w, r, "above")
	if !ok {
		return
	}
	limit, ok := readNumber(w, r, "limit")
	if !ok {
		return
	}
	var reply messenger.EventsReply
	h.read(w, r, messenger.MethodEvents, messenger.EventsRequest{Cell: h.config.Cell, Above: above, Limit: int(limit)}, &reply)
}

// call passes a change to the cell's owner and answers with its reply.
func (h *Handler) call(w http.ResponseWriter, r *http.Request, method string, params, reply any) {
	if err := h.config.CallCell(r.Context(), h.config.Cell, method, params, reply); err != nil {
		writeCellError(w, err, false)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// read passes a question to the cell's owner and answers with its reply.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, method string, params, reply any) {
	if err := h.config.CallCell(r.Context(), h.config.Cell, method, params, reply); err != nil {
		writeCellError(w, err, true)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// readNumber reads a query parameter, 0 if it is absent; on failure it has
// answered.
func readNumber(w http.ResponseWriter, r *http.Request, name string) (int64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: name + ": want a whole number, not " + strconv.Quote(text), Outcome: OutcomeRefused})
		return 0, false
	}
	return v, true
}
