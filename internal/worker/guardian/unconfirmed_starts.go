package guardian

import (
	"context"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// unconfirmedStart is a start that was not answered. It blocks its task only while the run is
// listed. The record is kept longer, and each later incarnation of the worker is asked to
// refuse the start.
type unconfirmedStart struct {
	sentAt      time.Time
	incarnation string // latest incarnation of the worker that got the start or was asked to refuse it
}

func (g *Guardian) recordUnconfirmedStart(key tracker.RunKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordUnconfirmedStartLocked(key)
}

// recordUnconfirmedStartLocked records a start that was not answered, even if it was stopped
// afterwards: the next incarnation of the worker has no record of the stop.
func (g *Guardian) recordUnconfirmedStartLocked(key tracker.RunKey) {
	now := g.config.Now()
	if r := g.runs[key]; r != nil {
		r.startCallEndedAt = now
	}
	g.unconfirmedStarts[key] = unconfirmedStart{sentAt: now, incarnation: g.incarnation}
	g.fenceUnansweredStartLocked()
	g.dropExpiredStartsLocked()
}

func (g *Guardian) dropExpiredStartsLocked() {
	now := g.config.Now()
	for key, s := range g.unconfirmedStarts {
		if now.Sub(s.sentAt) >= tracker.UnconfirmedStartMaxAge {
			delete(g.unconfirmedStarts, key)
		}
	}
}

// unconfirmedStartsLocked lists the unconfirmed starts.
func (g *Guardian) unconfirmedStartsLocked() []messenger.WorkUnconfirmedStart {
	g.dropExpiredStartsLocked()
	var all []messenger.WorkUnconfirmedStart
	for key, s := range g.unconfirmedStarts {
		all = append(all, messenger.WorkUnconfirmedStart{Task: key.Task.String(), Run: key.Number, AgeMillis: g.config.Now().Sub(s.sentAt).Milliseconds()})
	}
	return all
}

// describeUnansweredLocked returns for the log how long ago the start of a run was sent that got no answer;
// empty if there is none.
func (g *Guardian) describeUnansweredLocked(key tracker.RunKey) string {
	s, ok := g.unconfirmedStarts[key]
	if !ok {
		return ""
	}
	return g.config.Now().Sub(s.sentAt).Round(time.Millisecond).String()
}

// adoptUnconfirmedStartLocked adopts a start sent by an earlier process of this agent, unless
// the worker is known to have the run.
func (g *Guardian) adoptUnconfirmedStartLocked(s messenger.WorkUnconfirmedStart) {
	id, err := specifier.ParseTaskID(s.Task)
	if err != nil {
		g.config.Reporter.Report(reporter.OrderMalformed, reporter.Fields{"task": s.Task, "error": err.Error()})
		return
	}
	key := tracker.RunKey{Task: id, Number: s.Run}
	if _, known := g.unconfirmedStarts[key]; known || g.runs[key] != nil && g.runs[key].confirmed {
		return
	}
	g.unconfirmedStarts[key] = unconfirmedStart{sentAt: g.config.Now().Add(-time.Duration(s.AgeMillis) * time.Millisecond)}
}

// fenceUnconfirmedStartsLocked asks the current incarnation of the worker to refuse the
// unconfirmed starts that it has not been asked to refuse yet.
func (g *Guardian) fenceUnconfirmedStartsLocked() {
	g.dropExpiredStartsLocked()
	for key, s := range g.unconfirmedStarts {
		if s.incarnation == g.incarnation || g.incarnation == "" {
			continue
		}
		s.incarnation = g.incarnation
		g.unconfirmedStarts[key] = s
		if g.runs[key] == nil { // otherwise it is already being stopped
			g.config.Reporter.Report(reporter.RunStopped, reporter.Fields{"task": key.Task.String(), "run": key.Number, "cause": "unconfirmed start", "life": g.incarnation})
			go g.preventStart(g.runCtx, key, g.incarnation)
		}
	}
}

// preventStart asks one incarnation of the worker to refuse a start, until it answers.
func (g *Guardian) preventStart(ctx context.Context, key tracker.RunKey, incarnation string) {
	pause := callPause
	for ctx.Err() == nil {
		g.mu.Lock()
		s, ok := g.unconfirmedStarts[key]
		done := !ok || s.incarnation != incarnation || g.config.Now().Sub(s.sentAt) >= tracker.UnconfirmedStartMaxAge
		fence := g.fenceLocked()
		g.mu.Unlock()
		if done {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := g.config.Worker.Stop(callCtx, StopCall{Task: key.Task, Run: key.Number, Fence: fence, Incarnation: incarnation})
		cancel()
		if err == nil {
			return
		}
		g.config.Reporter.Report(reporter.StopUnanswered, reporter.Fields{"task": key.Task.String(), "run": key.Number, "error": err.Error()})
		_ = pauser.Pause(ctx, pause)
		pause = min(2*pause, callPauseMax)
	}
}
