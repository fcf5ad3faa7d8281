package guardian

import (
	"context"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// doubt is a start that was not answered. It holds its task only as long as the run is
// listed; the doubt lasts longer, and each later life of the worker is told to refuse the
// start.
type doubt struct {
	sentAt time.Time
	life   string // the latest of the worker that got the start or was told to refuse it
}

func (g *Guardian) noteDoubt(key accountant.RunKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteDoubtLocked(key)
}

// noteDoubtLocked remembers a start that was not answered, also after it was
// stopped: the next life of the worker knows nothing of the stop.
func (g *Guardian) noteDoubtLocked(key accountant.RunKey) {
	now := g.config.Now()
	if r := g.runs[key]; r != nil {
		r.callEnd = now
	}
	g.doubts[key] = doubt{sentAt: now, life: g.life}
	g.forgetDoubtsLocked()
}

func (g *Guardian) forgetDoubtsLocked() {
	now := g.config.Now()
	for k, d := range g.doubts {
		if now.Sub(d.sentAt) >= accountant.DoubtLife {
			delete(g.doubts, k)
		}
	}
}

// doubtsLocked lists the starts that were not answered.
func (g *Guardian) doubtsLocked() []messenger.WorkDoubt {
	g.forgetDoubtsLocked()
	var all []messenger.WorkDoubt
	for key, d := range g.doubts {
		all = append(all, messenger.WorkDoubt{Task: key.Task.String(), Run: key.Number, AgeMillis: g.config.Now().Sub(d.sentAt).Milliseconds()})
	}
	return all
}

// inheritLocked takes over a start that an earlier process of this agent has sent, unless
// the worker has the run.
func (g *Guardian) inheritLocked(d messenger.WorkDoubt) {
	id, err := specifier.ParseTaskID(d.Task)
	if err != nil {
		g.config.Reporter.Report(reporter.OrderMalformed, reporter.Fields{"task": d.Task, "error": err.Error()})
		return
	}
	key := accountant.RunKey{Task: id, Number: d.Run}
	if _, known := g.doubts[key]; known || g.runs[key] != nil && g.runs[key].confirmed {
		return
	}
	g.doubts[key] = doubt{sentAt: g.config.Now().Add(-time.Duration(d.AgeMillis) * time.Millisecond)}
}

// fenceDoubtsLocked has the present life of the worker told to refuse the starts in doubt
// that it was not told of yet.
func (g *Guardian) fenceDoubtsLocked() {
	g.forgetDoubtsLocked()
	for key, d := range g.doubts {
		if d.life == g.life || g.life == "" {
			continue
		}
		d.life = g.life
		g.doubts[key] = d
		if g.runs[key] == nil { // else it is being stopped
			g.config.Reporter.Report(reporter.RunStopped, reporter.Fields{"task": key.Task.String(), "run": key.Number, "cause": "start in doubt", "life": g.life})
			go g.fence(g.context, key, g.life)
		}
	}
}

// fence tells one life of the worker to refuse a start until it answers.
func (g *Guardian) fence(ctx context.Context, key accountant.RunKey, life string) {
	pause := callPause
	for ctx.Err() == nil {
		g.mu.Lock()
		d, ok := g.doubts[key]
		over := !ok || d.life != life || g.config.Now().Sub(d.sentAt) >= accountant.DoubtLife
		epoch := g.epoch
		g.mu.Unlock()
		if over {
			return
		}
		limit, cancel := context.WithTimeout(ctx, callLimit)
		err := g.config.Worker.Stop(limit, StopCall{Task: key.Task, Run: key.Number, Epoch: epoch})
		cancel()
		if err == nil {
			return
		}
		g.config.Reporter.Report(reporter.StopUnanswered, reporter.Fields{"task": key.Task.String(), "run": key.Number, "error": err.Error()})
		_ = pauser.Pause(ctx, pause)
		pause = min(2*pause, callPauseMax)
	}
}
