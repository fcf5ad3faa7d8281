package guardian

import (
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

func (g *Guardian) noteDoubt(key accountant.RunKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteDoubtLocked(key)
}

// noteDoubtLocked remembers a start that was not answered, also after it was
// stopped: the next life of the worker knows nothing of the stop.
func (g *Guardian) noteDoubtLocked(key accountant.RunKey) {
	g.doubts[key] = g.config.Now()
	g.forgetDoubtsLocked()
}

func (g *Guardian) forgetDoubtsLocked() {
	now := g.config.Now()
	for k, at := range g.doubts {
		if now.Sub(at) >= accountant.DoubtLife {
			delete(g.doubts, k)
		}
	}
}

// doubtsLocked lists the starts that may still be carried out.
func (g *Guardian) doubtsLocked() []messenger.WorkDoubt {
	g.forgetDoubtsLocked()
	var all []messenger.WorkDoubt
	for key, at := range g.doubts {
		all = append(all, messenger.WorkDoubt{Task: key.Task.String(), Run: key.Number, AgeMillis: g.config.Now().Sub(at).Milliseconds()})
	}
	return all
}

// inheritLocked takes over a start that an earlier process of this agent has sent. The
// worker may have begun another life since, so unless it has the run it is told to stop it.
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
	g.doubts[key] = g.config.Now().Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	g.forgetDoubtsLocked()
	g.stopDoubtLocked(key, "sent by an earlier process")
}

// stopDoubtLocked makes the worker refuse a start that may still come. It is listed until
// the stop was answered.
func (g *Guardian) stopDoubtLocked(key accountant.RunKey, cause string) {
	if at, ok := g.doubts[key]; !ok || g.runs[key] != nil || g.config.Now().Sub(at) >= accountant.DoubtLife {
		return
	}
	r := &run{state: running, doubt: true}
	g.runs[key] = r
	g.stopLocked(key, r, cause)
}
