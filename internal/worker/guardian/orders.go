package guardian

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Timeouts and limits of calls to the worker.
const (
	// callTimeout allows for this process waiting for its share of a processor. The worker
	// itself answers in milliseconds.
	callTimeout   = 600 * time.Millisecond
	callPause     = 50 * time.Millisecond  // before a retry
	callPauseMax  = 400 * time.Millisecond // the pause doubles up to this
	startAttempts = 4                      // of a start, while connections to the worker are refused
	// startValidity is how long after it was sent a start may be carried out. An answer later
	// than callTimeout changes nothing, and the worker refuses a later start by its own clock,
	// so an unanswered start blocks its task for no longer than this.
	startValidity = 800 * time.Millisecond
	// clockLagMax is the longest time by which the worker's clock may lag behind the estimate of
	// an earlier process of the agent, which may be of a version that allows for no slow clock.
	clockLagMax = 100 * time.Millisecond
	// neverExpires is the expiry of a start that the worker may carry out at any time.
	neverExpires     = time.Duration(math.MaxInt64)
	ownerReplyMaxAge = 1500 * time.Millisecond // starts are rejected if the last reply is older
)

// ErrOrdersExpired is returned for orders that have expired and were not carried out.
type ErrOrdersExpired struct {
	Session, Epoch int64
	Incarnation    string // of the worker that the orders were meant for
}

func (e ErrOrdersExpired) Error() string {
	return fmt.Sprintf("orders of session %d and epoch %d for incarnation %s of the worker have expired", e.Session, e.Epoch, e.Incarnation)
}

// IsErrOrdersExpired reports whether err is, or wraps, an ErrOrdersExpired.
func IsErrOrdersExpired(err error) bool {
	var e ErrOrdersExpired
	return errors.As(err, &e)
}

// errGrantEnded is the cause of a start that was not sent: without a lease it has no expiry, and the worker
// could carry it out at any time.
var errGrantEnded = errors.New("the grant has ended since the order")

// Execute carries out orders. Orders of an ended session, of a replaced owner or for another
// incarnation of the worker have expired. They are answered with an error, because the owner
// assumes that acknowledged orders are carried out and never repeats them.
//
// Orders of a session may overtake the reply to its first report, which carries the epoch.
// They are carried out nevertheless: only the process with which this agent opened the
// session has its number.
func (g *Guardian) Execute(o messenger.WorkOrders) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Session == g.session && o.Incarnation == g.incarnation {
		g.followLocked(o.Epoch)
	}
	if o.Session != g.session || o.Epoch != g.epoch || o.Incarnation != g.incarnation {
		g.config.Reporter.Report(reporter.OrdersExpired, reporter.Fields{
			"session": o.Session, "session-here": g.session, "epoch": o.Epoch, "epoch-here": g.epoch, "life": o.Incarnation, "life-here": g.incarnation, "orders": len(o.Orders),
		})
		return ErrOrdersExpired{Session: o.Session, Epoch: o.Epoch, Incarnation: o.Incarnation}
	}
	for _, order := range o.Orders {
		g.ordersSeen = max(g.ordersSeen, order.Seq)
		id, err := specifier.ParseTaskID(order.Task)
		if err != nil {
			g.config.Reporter.Report(reporter.OrderMalformed, reporter.Fields{"task": order.Task, "error": err.Error()})
			continue
		}
		g.executeLocked(tracker.RunKey{Task: id, Number: order.Run}, order)
	}
	g.dropStoredEndsLocked(o.EndsStored) // after the stops, which may be of runs that these ends name
	return nil
}

func (g *Guardian) executeLocked(key tracker.RunKey, o messenger.WorkOrder) {
	switch o.Kind {
	case messenger.WorkStart:
		if reason := g.rejectReasonLocked(o); reason != "" {
			g.config.Reporter.Report(reporter.StartRejected, reporter.Fields{"task": o.Task, "run": o.Run, "reason": reason})
			g.signal()
			return
		}
		ctx, cancel := context.WithCancel(g.runCtx)
		g.runs[key] = &run{state: starting, startUnconfirmed: true, needs: o.Needs, needsKnown: true, checkpoint: o.Checkpoint, cancel: cancel}
		go g.start(ctx, key, g.incarnation, o)
	case messenger.WorkStop:
		r := g.runs[key]
		if r == nil && g.hasEndedLocked(key) {
			return
		}
		if r == nil {
			// A start sent by an earlier process of this agent may still be carried out. The
			// stop makes the worker refuse it; until the stop has taken effect, the run is
			// listed and the owner starts its task nowhere else.
			r = &run{state: running, startUnconfirmed: true, startCallEndedAt: g.config.Now()}
			g.runs[key] = r
			g.recordUnconfirmedStartLocked(key)
		}
		g.stopLocked(key, r, "ordered")
	case messenger.WorkPace:
		if r := g.runs[key]; r != nil && r.state == running {
			g.setPaceLocked(key, r, o.Percent)
		}
	}
}

// hasEndedLocked reports whether the worker has listed the end of a run that the owner has not stored yet.
func (g *Guardian) hasEndedLocked(key tracker.RunKey) bool {
	return slices.ContainsFunc(g.ends, func(e ListedEnd) bool { return e.Task == key.Task && e.Run == key.Number })
}

// rejectReasonLocked returns why a start must not be carried out, or "".
//
// This is the last check before the worker, which starts whatever it is asked to: an owner
// that was paused or counts wrongly must not overcommit a VM, and a worker that is leaving
// must get nothing new.
func (g *Guardian) rejectReasonLocked(o messenger.WorkOrder) string {
	switch {
	case g.leaving:
		return "worker is leaving"
	case !g.unresponsiveSince.IsZero():
		return "worker unresponsive"
	case g.config.Now().Sub(g.repliedAt) > ownerReplyMaxAge:
		return "no recent reply from the owner"
	case g.leaseLocked(g.config.Now()) <= 0:
		return "no grant"
	case g.vmInfo == nil || !g.vmInfo.Capacity.Fits(g.committedLocked().Add(o.Needs)):
		return "not enough free capacity"
	}
	return ""
}

// start sends a start to the worker once. Each copy of an unanswered call may be carried out
// separately, and a new incarnation of the worker has no record of a copy carried out before.
// Polls show afterwards whether the worker has the run; if none does, the run is stopped.
func (g *Guardian) start(ctx context.Context, key tracker.RunKey, incarnation string, o messenger.WorkOrder) {
	call, err := g.sendStart(ctx, key, incarnation, o)
	if IsErrWorkerUnreachable(err) {
		g.config.Reporter.Report(reporter.StartRejected, reporter.Fields{"task": o.Task, "run": o.Run, "reason": "worker unreachable", "error": err.Error()})
		g.recordStartNotSent(key)
		return
	}
	if ctx.Err() != nil { // the agent ends, or the run was stopped or ended with its incarnation
		if err != nil {
			g.recordUnconfirmedStart(key)
		}
		return
	}
	var refused ErrRefused
	switch {
	case err == nil:
		g.recordStartAnswer(key, func(r *run) { r.state, r.startUnconfirmed, r.confirmed = running, false, true })
		g.config.Reporter.Report(reporter.RunStarted, reporter.Fields{"task": o.Task, "run": o.Run, "epoch": call.Fence.Epoch})
		return
	case errors.As(err, &refused):
		g.config.Reporter.Report(reporter.StartRejected, reporter.Fields{"task": o.Task, "run": o.Run, "reason": string(refused.Reason)})
		g.recordStartAnswer(key, nil)
		return
	}
	g.config.Reporter.Report(reporter.StartUnanswered, reporter.Fields{"task": o.Task, "run": o.Run, "error": err.Error()})
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[key]; r != nil && r.state == starting {
		g.recordUnconfirmedStartLocked(key)
		g.stopLocked(key, r, "start unanswered")
	}
}

// sendStart makes the call of a start. It is repeated only while connections to the
// worker are refused, as nothing has been sent then, and if a later call has arrived before it.
func (g *Guardian) sendStart(ctx context.Context, key tracker.RunKey, incarnation string, o messenger.WorkOrder) (call StartCall, err error) {
	for range startAttempts {
		call = StartCall{Task: key.Task, Run: key.Number, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Incarnation: incarnation}
		g.mu.Lock()
		call.Fence, call.Until = g.fenceForStartLocked(), g.requestStartLocked(g.config.Now())
		if r := g.runs[key]; r != nil && r.state == starting {
			r.startExpiresAt, r.sentAt = call.Until, g.config.Now()
		}
		if call.Until <= 0 {
			g.mu.Unlock()
			return call, ErrWorkerUnreachable{Cause: errGrantEnded}
		}
		g.startsInFlight++
		g.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = g.config.Worker.Start(callCtx, call)
		cancel()
		g.recordStartCallEnded()
		if g.overtaken(call.Fence, err) {
			continue
		}
		if !IsErrWorkerUnreachable(err) {
			break
		}
		g.recordNothingSent(key)
		if pauser.Pause(ctx, callPause) != nil {
			break
		}
	}
	return call, err
}

func (g *Guardian) recordStartCallEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startsInFlight--
	g.lastStartEndedAt = g.config.Now()
}

// recordStartNotSent removes a run whose start was never sent. A stop that was ordered meanwhile
// is sent in any case: the owner waits for it.
func (g *Guardian) recordStartNotSent(key tracker.RunKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[key]; r != nil && r.state == starting {
		delete(g.runs, key)
	}
	g.signal()
}

// recordNothingSent records that the connection of a start was refused.
func (g *Guardian) recordNothingSent(key tracker.RunKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[key]; r != nil {
		r.sentAt = time.Time{}
	}
}

// recordStartAnswer records that a start was answered. A nil change removes the run.
func (g *Guardian) recordStartAnswer(key tracker.RunKey, change func(*run)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.runs[key]
	if r == nil {
		return
	}
	r.answeredAt = g.config.Now()
	// A confirmed start can wait for the next report: no decision depends on it.
	if change != nil && r.state == starting {
		change(r)
		return
	}
	if change == nil {
		delete(g.runs, key)
	}
	g.signal()
}

// stopLocked begins to stop a run, whether or not the run has reached the worker.
func (g *Guardian) stopLocked(key tracker.RunKey, r *run, cause string) {
	if r.state == stopping {
		return
	}
	if r.cancel != nil {
		r.cancel()
	}
	r.state = stopping
	g.config.Reporter.Report(reporter.RunStopped, reporter.Fields{"task": key.Task.String(), "run": key.Number, "cause": cause})
	go g.stop(g.runCtx, key)
}

// stop sends a stop to the worker until it is answered. From then on the worker refuses the
// run, and a poll shows whether the run still occupies capacity.
func (g *Guardian) stop(ctx context.Context, key tracker.RunKey) {
	pause := callPause
	for ctx.Err() == nil {
		g.mu.Lock()
		r, fence, incarnation := g.runs[key], g.fenceLocked(), g.incarnation
		g.mu.Unlock()
		if r == nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := g.config.Worker.Stop(callCtx, StopCall{Task: key.Task, Run: key.Number, Fence: fence, Incarnation: incarnation})
		cancel()
		if err == nil && g.stopAnswered(r, incarnation) {
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

// stopAnswered records the answer to a stop. It returns false if the worker has a new
// incarnation by now, which has no record of the stop.
func (g *Guardian) stopAnswered(r *run, incarnation string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation != incarnation {
		return false
	}
	r.stopped, r.answeredAt = true, g.config.Now()
	return true
}

// setPaceLocked sends a new pace to the worker. Only one goroutine per run sends paces, so
// that the last pace ordered is the last one to arrive.
func (g *Guardian) setPaceLocked(key tracker.RunKey, r *run, percent int) {
	r.pace = percent
	if !r.sendingPace {
		r.sendingPace = true
		go g.sendPace(g.runCtx, key, r)
	}
}

// sendPace sends the last ordered pace to the worker until it is answered. Without retries, a
// run whose call was lost would stall, or interfere with its neighbours, until the owner has
// a reason to order another pace.
func (g *Guardian) sendPace(ctx context.Context, key tracker.RunKey, r *run) {
	for ctx.Err() == nil {
		g.mu.Lock()
		percent, fence, incarnation, done := r.pace, g.fenceLocked(), g.incarnation, g.runs[key] != r || r.state != running
		g.mu.Unlock()
		if done {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := g.config.Worker.Pace(callCtx, PaceCall{Task: key.Task, Run: key.Number, Percent: percent, Fence: fence, Incarnation: incarnation})
		cancel()
		if g.finishPace(r, percent, err) {
			g.startRepeatingPace(ctx, key, r)
			return
		}
		if err != nil {
			g.config.Reporter.Report(reporter.PaceFailed, reporter.Fields{"task": key.Task.String(), "run": key.Number, "percent": percent, "error": err.Error()})
			_ = pauser.Pause(ctx, callPause)
		}
	}
}

// finishPace reports whether sending is complete: the worker has the last ordered pace, or
// will never accept it.
func (g *Guardian) finishPace(r *run, percent int, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var refused ErrRefused
	final := errors.As(err, &refused) && !refused.Reason.retryable()
	if err != nil && !errors.As(err, &refused) {
		r.latePaceUntil = g.config.Now().Add(tracker.UnconfirmedStartMaxAge)
	}
	if (err == nil || final) && r.pace == percent {
		r.sendingPace = false
		return true
	}
	return false
}

// paceRepeatInterval is the pause between repeats of a pace while an earlier call may still
// be carried out.
const paceRepeatInterval = time.Second

// startRepeatingPace repeats the current pace for as long as an earlier, unanswered one may
// still be carried out after it.
func (g *Guardian) startRepeatingPace(ctx context.Context, key tracker.RunKey, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.repeatingPace || !g.config.Now().Before(r.latePaceUntil) {
		return
	}
	r.repeatingPace = true
	go g.repeatPace(ctx, key, r)
}

func (g *Guardian) repeatPace(ctx context.Context, key tracker.RunKey, r *run) {
	for pauser.Pause(ctx, paceRepeatInterval) == nil {
		g.mu.Lock()
		done := g.runs[key] != r || r.state != running || g.config.Now().Sub(r.latePaceUntil) >= paceRepeatInterval
		if done {
			r.repeatingPace = false
		} else if !r.sendingPace {
			r.sendingPace = true
			go g.sendPace(ctx, key, r)
		}
		g.mu.Unlock()
		if done {
			return
		}
	}
}
