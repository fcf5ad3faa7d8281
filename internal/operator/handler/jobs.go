package handler

import (
	"context"
	"math"
	"net/http"
	"strconv"

	"bamboospread/internal/job/receiver"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// JobAnswer answers a submission, a query or a cancellation of a job.
type JobAnswer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	State   string  `json:"state,omitempty"`  // a tracker.JobState
	Reason  string  `json:"reason,omitempty"` // why the job failed
}

// QueueAnswer holds the number of jobs of a queue that have not started.
type QueueAnswer struct {
	Queue   string `json:"queue"`
	Pending int    `json:"pending"`
}

// Jobs holds the dependencies of the handler for jobs.
type Jobs struct {
	Receiver *receiver.Receiver
	Policy   func() *specifier.Policy
	// CallOwner calls the owner of the cell for jobs.
	CallOwner func(ctx context.Context, method string, params, result any) error
}

func (h *Handler) routeJobs() {
	h.mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", h.submitJob)
	h.mux.HandleFunc("GET /v1/jobs/{id}", h.getJob)
	h.mux.HandleFunc("DELETE /v1/jobs/{id}", h.cancelJob)
	h.mux.HandleFunc("GET /v1/jobs/{id}/explain", h.explainJob)
	h.mux.HandleFunc("GET /v1/queues/{queue}", h.countQueue)
	h.mux.HandleFunc("GET /v1/queues/{queue}/explain", h.explainQueue)
	h.mux.HandleFunc("GET /v1/accounts/{account}/explain", h.explainAccount)
}

// submitJob accepts a job. Its id and queue are in the path, so a repeated request refers
// to the same job.
func (h *Handler) submitJob(w http.ResponseWriter, r *http.Request) {
	var j specifier.Job
	if !readJSON(w, r, &j) {
		return
	}
	j.ID = r.PathValue("id")
	q, ok := h.findQueue(w, r.PathValue("queue"))
	if !ok || !h.checkAccount(w, j.Account) {
		return
	}
	q.Accept(&j)
	if err := specifier.Check(&j); err != nil {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Error: err.Error(), Outcome: OutcomeRefused})
		return
	}
	writeJobResult(w, j.ID, h.config.Jobs.Receiver.Submit(r.Context(), &j))
}

// findQueue returns the queue with the given name. If the fleet text has none, it writes the answer.
func (h *Handler) findQueue(w http.ResponseWriter, name string) (q specifier.Queue, ok bool) {
	p := h.config.Jobs.Policy()
	if p.Version == 0 {
		writeError(w, http.StatusServiceUnavailable, ErrorAnswer{Error: "this entry has no fleet text yet", Outcome: OutcomeUnavailable})
		return q, false
	}
	if q, ok = p.QueueByName(name); !ok {
		writeError(w, http.StatusNotFound, ErrorAnswer{Error: "queue " + strconv.Quote(name) + " does not exist", Outcome: OutcomeRefused})
	}
	return q, ok
}

func writeJobResult(w http.ResponseWriter, id string, res receiver.Result) {
	switch res.Outcome {
	case receiver.Accepted:
		a := JobAnswer{ID: id, Outcome: OutcomeDone, State: string(res.State)}
		if res.State == tracker.JobFailed {
			a.Reason = res.Reason
		}
		writeJSON(w, http.StatusOK, a)
	case receiver.NotExist:
		writeError(w, http.StatusNotFound, ErrorAnswer{Error: "job " + strconv.Quote(id) + " does not exist", Outcome: OutcomeRefused})
	case receiver.OutcomeUnknown:
		writeError(w, http.StatusGatewayTimeout, ErrorAnswer{Error: res.Reason, Outcome: OutcomeUnknown})
	case receiver.Refused:
		if res.NotAdmitted {
			// Not "unavailable": another entry would answer the same.
			seconds := strconv.Itoa(int(math.Ceil(res.RetryAfter.Seconds())))
			w.Header().Set("Retry-After", seconds)
			writeJSON(w, http.StatusServiceUnavailable, ErrorAnswer{Error: res.Reason + "; try again in " + seconds + " s", Outcome: OutcomeRefused})
			return
		}
		writeError(w, http.StatusServiceUnavailable, ErrorAnswer{Error: res.Reason, Outcome: OutcomeUnavailable})
	}
}

func (h *Handler) getJob(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	writeJobResult(w, id, h.config.Jobs.Receiver.State(r.Context(), id))
}

func (h *Handler) cancelJob(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	writeJobResult(w, id, h.config.Jobs.Receiver.Cancel(r.Context(), id))
}

func (h *Handler) explainJob(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var a messenger.WorkExplainReply
	err := h.config.Jobs.CallOwner(r.Context(), messenger.MethodWorkExplain, messenger.WorkStateRequest{Job: id}, &a)
	switch {
	case err != nil:
		writeCellError(w, err, true)
	case !a.Known:
		writeError(w, http.StatusNotFound, ErrorAnswer{Error: "job " + strconv.Quote(id) + " does not exist", Outcome: OutcomeRefused})
	default:
		writeJSON(w, http.StatusOK, a)
	}
}

func (h *Handler) countQueue(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("queue")
	if _, ok := h.findQueue(w, name); !ok {
		return
	}
	n, err := h.config.Jobs.Receiver.Pending(r.Context(), name)
	if err != nil {
		writeCellError(w, err, true)
		return
	}
	writeJSON(w, http.StatusOK, QueueAnswer{Queue: name, Pending: n})
}

func (h *Handler) explainQueue(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("queue")
	var a messenger.WorkQueueReply
	err := h.config.Jobs.CallOwner(r.Context(), messenger.MethodWorkExplainQueue, messenger.WorkQueueRequest{Queue: name}, &a)
	switch {
	case err != nil:
		writeCellError(w, err, true)
	case !a.Known:
		writeError(w, http.StatusNotFound, ErrorAnswer{Error: "queue " + strconv.Quote(name) + " does not exist and has no jobs", Outcome: OutcomeRefused})
	default:
		writeJSON(w, http.StatusOK, a)
	}
}
