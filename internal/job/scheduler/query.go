package scheduler

import (
	"context"
	"time"

	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// hint adds a record that an entry has stored.
func (o *owner) hint(ctx context.Context, h messenger.WorkHint) error {
	e := recordSeen{keeper.Record{Key: h.Key, Value: h.Value, Revision: h.Revision}, sourceHint}
	if err := o.send(ctx, e); err != nil {
		return connector.Errorf(messenger.CodeNotOwner, "%v", err)
	}
	return nil
}

// query is an event that evaluates a function in the loop.
type query[A any] struct {
	ask    func(o *owner) A
	answer chan A
}

func (q query[A]) apply(o *owner, _ time.Time) { q.answer <- q.ask(o) }

// ask evaluates f in the owner's loop and returns its result.
func ask[A any](ctx context.Context, o *owner, f func(o *owner) A) (A, error) {
	q := query[A]{ask: f, answer: make(chan A, 1)}
	var none A
	if err := o.send(ctx, q); err != nil {
		return none, connector.Errorf(messenger.CodeNotOwner, "%v", err)
	}
	select {
	case a := <-q.answer:
		return a, nil
	case <-o.done:
		return none, connector.Errorf(messenger.CodeNotOwner, "%v", errCellLost)
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (o *owner) jobState(ctx context.Context, r messenger.WorkStateRequest) (messenger.WorkStateReply, error) {
	return ask(ctx, o, func(o *owner) messenger.WorkStateReply {
		j := o.state.Jobs[r.Job]
		if j == nil {
			return messenger.WorkStateReply{InDoubt: o.unknown.inDoubt(r.Job, o.s.config.Now()), CancelsFull: o.unknown.cancelsFull()}
		}
		return messenger.WorkStateReply{Known: true, State: string(j.ReportedState()), Reason: j.ReportedReason()}
	})
}

func (o *owner) pending(ctx context.Context, r messenger.WorkPendingRequest) (messenger.WorkPendingReply, error) {
	return ask(ctx, o, func(o *owner) messenger.WorkPendingReply {
		return messenger.WorkPendingReply{Pending: o.state.Pending(r.Queue)}
	})
}
