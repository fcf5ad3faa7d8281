package guardian

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Lengths of calls to the worker.
const (
	// callLimit is how long an answer may take. The worker answers in
	// milliseconds; the rest is for this process on its share of a processor.
	callLimit    = 600 * time.Millisecond
	callPause    = 50 * time.Millisecond  // before a repeat
	callPauseMax = 400 * time.Millisecond // it doubles up to this
	startTries   = 4                      // of a start that no process listens for
	// startLife is how long after it was sent a start may be carried out. An answer that
	// takes longer than callLimit changes nothing, and the worker refuses the start by its
	// own clock: no longer than this is a task held for a start that nobody answers.
	startLife = 800 * time.Millisecond
	// startSlack is by how much the worker's clock may be behind what an agent takes it for.
	startSlack = 100 * time.Millisecond
	// neverVoid is the bound of a start that the worker may carry out at any time.
	neverVoid   = time.Duration(math.MaxInt64)
	orderMaxAge = 1500 * time.Millisecond
)

// ErrOrdersVoid is returned for orders that were not carried out.
type ErrOrdersVoid struct {
	Session, Epoch int64
	Life           string // of the worker that they were meant for
}

func (e ErrOrdersVoid) Error() string {
	return fmt.Sprintf("orders of session %d and epoch %d for life %s of the worker are void", e.Session, e.Epoch, e.Life)
}

// IsErrOrdersVoid tells whether orders were not carried out.
func IsErrOrdersVoid(err error) bool {
	var e ErrOrdersVoid
	return errors.As(err, &e)
}

// Obey carries orders out. Orders of a session that is over, of an owner that was
// replaced or for another life of the worker are void, and the owner is told so: it
// takes orders that were answered for given and never repeats them.
//
// Orders of a session may overtake the answer to its first report, which tells of the
// epoch. They are obeyed: only the process that this agent opened the session with
// knows its number.
func (g *Guardian) Obey(o messenger.WorkOrders) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Session == g.session && o.Life == g.life {
		g.followLocked(o.Epoch)
	}
	if o.Session != g.session || o.Epoch != g.epoch || o.Life != g.life {
		g.config.Reporter.Report(reporter.OrdersVoid, reporter.Fields{
			"session": o.Session, "session-here": g.session, "epoch": o.Epoch, "epoch-here": g.epoch, "life": o.Life, "life-here": g.life, "orders": len(o.Orders),
		})
		return ErrOrdersVoid{Session: o.Session, Epoch: o.Epoch, Life: o.Life}
	}
	g.storedLocked(o.EndsStored)
	for _, order := range o.Orders {
		g.ordersSeen = max(g.ordersSeen, order.Seq)
		id, err := specifier.ParseTaskID(order.Task)
		if err != nil {
			g.config.Reporter.Report(reporter.OrderMalformed, reporter.Fields{"task": order.Task, "error": err.Error()})
			continue
		}
		g.obeyLocked(accountant.RunKey{Task: id, Number: order.Run}, order)
	}
	return nil
}

func (g *Guardian) obeyLocked(key accountant.RunKey, o messenger.WorkOrder) {
	switch o.Kind {
	case messenger.WorkStart:
		if reason := g.objectionLocked(o); reason != "" {
			g.config.Reporter.Report(reporter.StartRejected, reporter.Fields{"task": o.Task, "run": o.Run, "reason": reason})
			g.signal()
			return
		}
		ctx, cancel := context.WithCancel(g.context)
		g.runs[key] = &run{state: starting, doubt: true, needs: o.Needs, known: true, checkpoint: o.Checkpoint, cancel: cancel}
		go g.start(ctx, key, g.life, o)
	case messenger.WorkStop:
		r := g.runs[key]
		if r == nil {
			// A start that an earlier process of this agent sent may still be carried
			// out: the stop makes the worker refuse it, and until that is sure the run
			// is listed and the owner starts its task nowhere else.
			r = &run{state: running, doubt: true, callEnd: g.config.Now()}
			g.runs[key] = r
			g.noteDoubtLocked(key)
		}
		g.stopLocked(key, r, "ordered")
	case messenger.WorkPace:
		if r := g.runs[key]; r != nil && r.state == running {
			g.paceLocked(key, r, o.Percent)
		}
	}
}

// objectionLocked returns why a start must not be carried out, or "".
//
// This is the last place before the worker, which starts whatever it is told to:
// an owner that was paused or counts wrongly must not bring a VM over its
// capacity, and a worker that leaves must get nothing new.
func (g *Guardian) objectionLocked(o messenger.WorkOrder) string {
	switch {
	case g.leaving:
		return "worker leaves"
	case !g.silentFrom.IsZero():
		return "worker silent"
	case g.config.Now().Sub(g.repliedAt) > orderMaxAge:
		return "owner not heard"
	case g.leaseLocked(g.config.Now()) <= 0:
		return "no grant"
	case g.facts == nil || !g.facts.Capacity.Fits(g.committedLocked().Add(o.Needs)):
		return "no room"
	}
	return ""
}

// start asks the worker for a run, once: each copy of a call that is not answered may be
// carried out by itself, and a worker that has begun another life meanwhile knows nothing
// of the copy that ran before. What the worker has is then shown by looks; a start that
// none of them shows is stopped.
func (g *Guardian) start(ctx context.Context, key accountant.RunKey, life string, o messenger.WorkOrder) {
	call, err := g.sendStart(ctx, key, life, o)
	if ctx.Err() != nil { // ended, stopped or reborn meanwhile
		if err != nil {
			g.noteDoubt(key)
		}
		return
	}
	var refused ErrRefused
	switch {
	case err == nil:
		g.settle(key, func(r *run) { r.state, r.doubt, r.confirmed = running, false, true })
		g.config.Reporter.Report(reporter.RunStarted, reporter.Fields{"task": o.Task, "run": o.Run, "epoch": call.Epoch})
		return
	case errors.As(err, &refused):
		g.config.Reporter.Report(reporter.StartRejected, reporter.Fields{"task": o.Task, "run": o.Run, "reason": string(refused.Reason)})
		g.settle(key, nil)
		return
	}
	g.config.Reporter.Report(reporter.StartUnanswered, reporter.Fields{"task": o.Task, "run": o.Run, "error": err.Error()})
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[key]; r != nil && r.state == starting {
		g.noteDoubtLocked(key)
		g.stopLocked(key, r, "start not answered")
	}
}

// sendStart makes the call of a start. It is repeated only while no process listens where
// the worker was: nothing was sent then.
func (g *Guardian) sendStart(ctx context.Context, key accountant.RunKey, life string, o messenger.WorkOrder) (call StartCall, err error) {
	for range startTries {
		call = StartCall{Task: key.Task, Run: key.Number, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Life: life}
		g.mu.Lock()
		call.Epoch, call.Until = g.epoch, g.startUntilLocked(g.config.Now())
		if r := g.runs[key]; r != nil && r.state == starting {
			r.voidAfter = call.Until
		}
		g.mu.Unlock()
		limit, cancel := context.WithTimeout(ctx, callLimit)
		err = g.config.Worker.Start(limit, call)
		cancel()
		if !IsErrWorkerNotExist(err) || pauser.Pause(ctx, callPause) != nil {
			break
		}
	}
	return call, err
}

// settle notes that a start was answered; a nil change drops the run.
func (g *Guardian) settle(key accountant.RunKey, change func(*run)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.runs[key]
	if r == nil {
		return
	}
	r.settledAt = g.config.Now()
	// A start that was confirmed can wait for the next report: nothing is decided by it.
	if change != nil && r.state == starting {
		change(r)
		return
	}
	if change == nil {
		delete(g.runs, key)
	}
	g.signal()
}

// stopLocked begins to stop a run, whether it has come to the worker or not.
func (g *Guardian) stopLocked(key accountant.RunKey, r *run, cause string) {
	if r.state == stopping {
		return
	}
	if r.cancel != nil {
		r.cancel()
	}
	r.state = stopping
	g.config.Reporter.Report(reporter.RunStopped, reporter.Fields{"task": key.Task.String(), "run": key.Number, "cause": cause})
	go g.stop(g.context, key)
}

// stop asks the worker to stop a run until it answers. From then on the worker
// refuses the run, and a look shows whether it still takes room.
func (g *Guardian) stop(ctx context.Context, key accountant.RunKey) {
	pause := callPause
	for ctx.Err() == nil {
		g.mu.Lock()
		r, epoch, life := g.runs[key], g.epoch, g.life
		g.mu.Unlock()
		if r == nil {
			return
		}
		limit, cancel := context.WithTimeout(ctx, callLimit)
		err := g.config.Worker.Stop(limit, StopCall{Task: key.Task, Run: key.Number, Epoch: epoch})
		cancel()
		if err == nil && g.stopAnswered(r, life) {
			return
		}
		if err == nil {
			continue
		}
		g.config.Reporter.Report(reporter.StopUnanswered, reporter.Fields{"task": key.Task.String(), "run": key.Number, "error": err.Error()})
		_ = pauser.Pause(ctx, pause)
		pause = min(2*pause, callPauseMax)
	}
}

// stopAnswered notes the answer to a stop, unless the worker that gave it has begun another
// life meanwhile, which knows nothing of the stop.
func (g *Guardian) stopAnswered(r *run, life string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.life != life {
		return false
	}
	r.stopped, r.settledAt = true, g.config.Now()
	return true
}

// paceLocked has the worker told of a new pace. One goroutine of a run tells it, so
// that the last pace ordered is the last to come.
func (g *Guardian) paceLocked(key accountant.RunKey, r *run, percent int) {
	r.pace = percent
	if !r.pacing {
		r.pacing = true
		go g.keepPace(g.context, key, r)
	}
}

// keepPace tells the worker the pace that was ordered last until it answers. Without
// the repeats a run whose call was lost would stand still, or disturb, for as long as
// the owner sees no reason for another pace.
func (g *Guardian) keepPace(ctx context.Context, key accountant.RunKey, r *run) {
	for ctx.Err() == nil {
		g.mu.Lock()
		percent, epoch, over := r.pace, g.epoch, g.runs[key] != r || r.state != running
		g.mu.Unlock()
		if over {
			return
		}
		limit, cancel := context.WithTimeout(ctx, callLimit)
		err := g.config.Worker.Pace(limit, PaceCall{Task: key.Task, Run: key.Number, Percent: percent, Epoch: epoch})
		cancel()
		if g.pacedOrRefused(r, percent, err) {
			g.repace(ctx, key, r)
			return
		}
		if err != nil {
			g.config.Reporter.Report(reporter.PaceFailed, reporter.Fields{"task": key.Task.String(), "run": key.Number, "percent": percent, "error": err.Error()})
			_ = pauser.Pause(ctx, callPause)
		}
	}
}

// pacedOrRefused ends the telling when the worker has the last pace or will never take it.
func (g *Guardian) pacedOrRefused(r *run, percent int, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var refused ErrRefused
	final := errors.As(err, &refused) && !refused.Reason.passes()
	if err != nil && !errors.As(err, &refused) {
		r.paceDoubt = g.config.Now().Add(accountant.DoubtLife)
	}
	if (err == nil || final) && r.pace == percent {
		r.pacing = false
		return true
	}
	return false
}

// paceAgain is the pause between repeats of a pace while an earlier one may come late.
const paceAgain = time.Second

// repace repeats the pace in force for as long as one that was not answered may still be
// carried out after it.
func (g *Guardian) repace(ctx context.Context, key accountant.RunKey, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.repacing || !g.config.Now().Before(r.paceDoubt) {
		return
	}
	r.repacing = true
	go g.keepRepacing(ctx, key, r)
}

func (g *Guardian) keepRepacing(ctx context.Context, key accountant.RunKey, r *run) {
	for pauser.Pause(ctx, paceAgain) == nil {
		g.mu.Lock()
		over := g.runs[key] != r || r.state != running || g.config.Now().Sub(r.paceDoubt) >= paceAgain
		if over {
			r.repacing = false
		} else if !r.pacing {
			r.pacing = true
			go g.keepPace(ctx, key, r)
		}
		g.mu.Unlock()
		if over {
			return
		}
	}
}
