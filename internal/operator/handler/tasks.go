package handler

import (
	"net/http"
	"strconv"

	"bamboospread/internal/wire/messenger"
)

// MaxTasks limits the tasks of one submission.
const MaxTasks = 10_000

func (h *Handler) submitTasks(w http.ResponseWriter, r *http.Request) {
	var requested messenger.SubmitRequest
	if !readJSON(w, r, &requested) {
		return
	}
	if len(requested.Tasks) == 0 || len(requested.Tasks) > MaxTasks {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "tasks: want 1 to " + strconv.Itoa(MaxTasks) + " tasks, not " + strconv.Itoa(len(requested.Tasks)), Outcome: OutcomeRefused})
		return
	}
	for i, t := range requested.Tasks {
		// If the entry generated the id, a repeated request would submit the task twice.
		if t.ID == "" {
			writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "tasks[" + strconv.Itoa(i) + "].id is missing", Outcome: OutcomeRefused})
			return
		}
	}
	requested.Cell = h.config.Cell
	var reply messenger.SubmitReply
	h.call(w, r, messenger.MethodSubmit, requested, &reply)
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
	var requested messenger.CancelRequest
	if !readJSON(w, r, &requested) {
		return
	}
	if len(requested.IDs) == 0 && requested.Tenant == "" {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: "want ids, or a tenant with or without a class", Outcome: OutcomeRefused})
		return
	}
	requested.Cell = h.config.Cell
	var reply messenger.CancelReply
	h.call(w, r, messenger.MethodCancel, requested, &reply)
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

// call forwards a change to the cell's owner and answers with its reply.
func (h *Handler) call(w http.ResponseWriter, r *http.Request, method string, params, reply any) {
	if err := h.config.CallCell(r.Context(), h.config.Cell, method, params, reply); err != nil {
		writeCellError(w, err, false)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// read forwards a query to the cell's owner and answers with its reply.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, method string, params, reply any) {
	if err := h.config.CallCell(r.Context(), h.config.Cell, method, params, reply); err != nil {
		writeCellError(w, err, true)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// readNumber parses a query parameter, 0 if it is absent. On failure it writes the answer
// and returns false.
func readNumber(w http.ResponseWriter, r *http.Request, name string) (int64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: name + ": want a whole number of at least 0, not " + strconv.Quote(text), Outcome: OutcomeRefused})
		return 0, false
	}
	return v, true
}
