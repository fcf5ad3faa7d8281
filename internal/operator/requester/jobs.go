package requester

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/wire/messenger"
)

// SubmitJob submits a job. Its id makes a repeat safe.
func (q *Requester) SubmitJob(ctx context.Context, j *specifier.Job) (handler.JobAnswer, error) {
	var a handler.JobAnswer
	body, err := json.Marshal(j)
	if err != nil {
		return a, fmt.Errorf("encode job: %w", err)
	}
	path := "/v1/queues/" + url.PathEscape(j.Queue) + "/jobs/" + url.PathEscape(j.ID)
	err = q.do(ctx, call{method: http.MethodPut, path: path, body: body, repeatable: true, result: &a})
	return a, err
}

// GetJob returns the state of a job.
func (q *Requester) GetJob(ctx context.Context, id string) (handler.JobAnswer, error) {
	var a handler.JobAnswer
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id), readOnly: true, result: &a})
	return a, err
}

// CancelJob cancels a job.
func (q *Requester) CancelJob(ctx context.Context, id string) (handler.JobAnswer, error) {
	var a handler.JobAnswer
	err := q.do(ctx, call{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(id), repeatable: true, result: &a})
	return a, err
}

// ExplainJob returns the state of a job for each step.
func (q *Requester) ExplainJob(ctx context.Context, id string) (messenger.WorkExplainReply, error) {
	var a messenger.WorkExplainReply
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id) + "/explain", readOnly: true, result: &a})
	return a, err
}

// ExplainAccount returns the standing of a client account.
func (q *Requester) ExplainAccount(ctx context.Context, name string) (messenger.WorkAccountReply, error) {
	var a messenger.WorkAccountReply
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/accounts/" + url.PathEscape(name) + "/explain", readOnly: true, result: &a})
	return a, err
}

// ExplainQueue returns the load of a queue.
func (q *Requester) ExplainQueue(ctx context.Context, name string) (messenger.WorkQueueReply, error) {
	var a messenger.WorkQueueReply
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/queues/" + url.PathEscape(name) + "/explain", readOnly: true, result: &a})
	return a, err
}

// CountQueue returns the number of jobs of a queue that have not started.
func (q *Requester) CountQueue(ctx context.Context, queue string) (handler.QueueAnswer, error) {
	var a handler.QueueAnswer
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/queues/" + url.PathEscape(queue), readOnly: true, result: &a})
	return a, err
}
