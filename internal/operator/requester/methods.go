package requester

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/wire/messenger"
)

// GetFleet returns the current fleet record.
func (q *Requester) GetFleet(ctx context.Context) (handler.FleetAnswer, error) {
	var a handler.FleetAnswer
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/fleet", readOnly: true, result: &a})
	return a, err
}

// GetFleetVersion returns the fleet text of a recent version.
func (q *Requester) GetFleetVersion(ctx context.Context, version int64) (handler.FleetAnswer, error) {
	var a handler.FleetAnswer
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/fleet", query: query, readOnly: true, result: &a})
	return a, err
}

// ApplyOptions describes a new fleet text.
type ApplyOptions struct {
	Text     []byte
	Base     int64
	ChangeID string
}

// Apply replaces the fleet text.
func (q *Requester) Apply(ctx context.Context, o ApplyOptions) (handler.ChangeAnswer, error) {
	var a handler.ChangeAnswer
	err := q.do(ctx, call{
		method: http.MethodPut, path: "/v1/fleet", query: url.Values{"base": {strconv.FormatInt(o.Base, 10)}},
		header: http.Header{handler.HeaderChangeID: {o.ChangeID}}, body: o.Text, repeatable: true, result: &a,
	})
	return a, err
}

// SetZone takes an availability zone out or in.
func (q *Requester) SetZone(ctx context.Context, zone string, state describer.ZoneState, changeID string) (handler.ChangeAnswer, error) {
	var a handler.ChangeAnswer
	body, err := json.Marshal(handler.ZoneRequest{State: string(state)})
	if err != nil {
		return a, fmt.Errorf("encode zone request: %w", err)
	}
	err = q.do(ctx, call{
		method: http.MethodPost, path: "/v1/zones/" + url.PathEscape(zone),
		header: http.Header{handler.HeaderChangeID: {changeID}}, body: body, repeatable: true, result: &a,
	})
	return a, err
}

// Submit submits tasks. Their ids make a repeat safe.
func (q *Requester) Submit(ctx context.Context, tasks []messenger.TaskSpec) (messenger.SubmitReply, error) {
	var a messenger.SubmitReply
	body, err := json.Marshal(messenger.SubmitRequest{Tasks: tasks})
	if err != nil {
		return a, fmt.Errorf("encode tasks: %w", err)
	}
	err = q.do(ctx, call{method: http.MethodPost, path: "/v1/tasks", body: body, repeatable: true, result: &a})
	return a, err
}

// Cancel cancels tasks. A cancellation by id is safe to repeat. One by tenant and class is
// not repeated, because it could also cancel tasks that were submitted since.
func (q *Requester) Cancel(ctx context.Context, c messenger.CancelRequest) (messenger.CancelReply, error) {
	var a messenger.CancelReply
	body, err := json.Marshal(c)
	if err != nil {
		return a, fmt.Errorf("encode cancel request: %w", err)
	}
	err = q.do(ctx, call{method: http.MethodPost, path: "/v1/tasks/cancel", body: body, repeatable: len(c.IDs) > 0, result: &a})
	return a, err
}

// FindTasks lists tasks.
func (q *Requester) FindTasks(ctx context.Context, o messenger.FindTasksOptions) (messenger.FindTasksReply, error) {
	var a messenger.FindTasksReply
	query := url.Values{"id": o.IDs}
	for k, v := range map[string]string{"tenant": o.Tenant, "class": o.Class, "state": string(o.State), "vm": o.VM} {
		if v != "" {
			query.Set(k, v)
		}
	}
	if o.Limit > 0 {
		query.Set("limit", strconv.Itoa(o.Limit))
	}
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/tasks", query: query, readOnly: true, result: &a})
	return a, err
}

// GetTask returns one task.
func (q *Requester) GetTask(ctx context.Context, id string) (messenger.Task, error) {
	var a messenger.Task
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/tasks/" + url.PathEscape(id), readOnly: true, result: &a})
	return a, err
}

// GetStatus returns the state of the cell.
func (q *Requester) GetStatus(ctx context.Context) (messenger.Status, error) {
	var a messenger.Status
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/status", readOnly: true, result: &a})
	return a, err
}

// Explain returns the history and state of a task, VM or service.
func (q *Requester) Explain(ctx context.Context, kind, name string) (messenger.ExplainReply, error) {
	var a messenger.ExplainReply
	path := "/v1/explain/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
	err := q.do(ctx, call{method: http.MethodGet, path: path, readOnly: true, result: &a})
	return a, err
}

// FindEvents lists the events of decisions with a number above the given one.
func (q *Requester) FindEvents(ctx context.Context, above int64, limit int) (messenger.EventsReply, error) {
	var a messenger.EventsReply
	query := url.Values{"above": {strconv.FormatInt(above, 10)}}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	err := q.do(ctx, call{method: http.MethodGet, path: "/v1/events", query: query, readOnly: true, result: &a})
	return a, err
}
