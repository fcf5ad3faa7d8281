package guardian

import (
	"context"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
)

// Lengths of looks.
const (
	// lookWait is how long a look may wait for an end. Reports of tails, which
	// pacing follows, are as old as this at most.
	lookWait = 300 * time.Millisecond
	// lookIdle is the same while nothing runs: fewer wake-ups.
	lookIdle = time.Second
	// lookLimit is how long the worker may take beyond the wait. It answers in
	// milliseconds; the rest is for this process on its share of a processor.
	lookLimit = 400 * time.Millisecond
	lookPause = 50 * time.Millisecond // after a look that failed
	// lookAgain is the pause after a look that was answered at once without news: the
	// worker does not wait while it lists ends that the store does not have yet. Without
	// it agent and owner would do nothing but look and report until the end is stored.
	lookAgain = 50 * time.Millisecond
	// figuresEvery is how old figures in the owner's hands may become before a look
	// without other news is reported. Pacing follows them; a report is a mean over half
	// a second.
	figuresEvery = 240 * time.Millisecond
	// figuresGaps is the same as a multiple of the gap that the owner wants.
	figuresGaps = 6
	// looksToSilence is how many looks in a row must fail before the worker counts as
	// silent and takes nothing new. One may be held up by itself.
	looksToSilence = 2
	// looksToEnd is how many looks in a row must find no process where the worker
	// was before its runs count as ended. Their leases, up to 5 s, need not be waited
	// out then.
	looksToEnd = 4
	// clockError is by how much the worker's clock may be slow.
	clockError = 0.02
)

// look makes one look at the worker, which also renews the leases.
func (g *Guardian) look(ctx context.Context) {
	call, from := g.nextLook()
	limit, cancel := context.WithTimeout(ctx, call.Wait+lookLimit)
	defer cancel()
	hurried, hurry := context.WithCancel(limit)
	defer hurry()
	g.mu.Lock()
	g.hurry = hurry
	g.mu.Unlock()
	seen, err := g.config.Worker.Look(hurried, call)
	if err != nil {
		if hurried.Err() != nil && limit.Err() == nil {
			return // a new epoch came meanwhile
		}
		g.lookFailed(err)
		_ = pauser.Pause(ctx, lookPause)
		return
	}
	if !g.take(seen, call, from) && call.Wait > 0 && g.config.Now().Sub(from.sentAt) < lookAgain {
		_ = pauser.Pause(ctx, lookAgain)
	}
}

// take takes the answer of a look in and tells whether it has news besides figures.
func (g *Guardian) take(seen Look, call LookCall, from lookStart) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.looksFailed, g.looksAbsent = 0, 0
	if !g.silentFrom.IsZero() {
		g.config.Reporter.Report(reporter.WorkerRegained, reporter.Fields{"silent": g.config.Now().Sub(g.silentFrom).String()})
		g.silentFrom = time.Time{}
		g.signal()
	}
	if g.life != seen.Life {
		g.beginLifeLocked(seen.Life)
	}
	if g.clockAt.IsZero() {
		g.signal()
	}
	if g.looked != call.Epoch {
		g.looked = call.Epoch
		g.signal()
	}
	g.clock, g.clockAt, g.aliveAt = seen.Clock, g.config.Now(), from.sentAt
	if from.life != seen.Life {
		from.clock = 0
	}
	return g.applyLocked(seen, from)
}

// lookStart is what was known when a look was sent.
type lookStart struct {
	sentAt time.Time
	life   string        // of the worker
	clock  time.Duration // which the worker's clock has passed; 0: not known
}

func (g *Guardian) nextLook() (LookCall, lookStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	call := LookCall{Epoch: g.epoch, Seen: g.endsStored, Wait: lookWait, LeaseUntil: g.leaseLocked(now)}
	if len(g.runs) == 0 {
		call.Wait = lookIdle
	}
	// Reports, and with them all starts, wait for the first look in a life of the
	// worker and under an epoch. Where nothing ends it would be answered only after its
	// whole wait, up to 1 s after each change of owner.
	if g.clockAt.IsZero() || g.looked != g.epoch || g.settlesDoubtLocked() {
		call.Wait = 0
	}
	from := lookStart{sentAt: now, life: g.life}
	if !g.clockAt.IsZero() {
		from.clock = g.clock
	}
	return call, from
}

// settlesDoubtLocked tells whether the next look shows what became of a start that was not
// answered. Its task waits for that.
func (g *Guardian) settlesDoubtLocked() bool {
	for _, r := range g.runs {
		if r.doubt && (r.stopped || r.void(g.clock)) {
			return true
		}
	}
	return false
}

// startUntilLocked returns until when a start that is sent now may be carried out, on the
// worker's clock. What has begun then goes on under the lease that looks renew.
func (g *Guardian) startUntilLocked(now time.Time) time.Duration {
	lease := g.leaseLocked(now)
	if lease <= 0 {
		return 0
	}
	return min(lease, g.clock+now.Sub(g.clockAt)+startLife)
}

// leaseLocked returns until when leases may run, on the worker's clock, or 0. The
// clock is taken to have stood still between the worker's answer and its arrival
// here, so the lease is rather too short than too long.
//
// A silent worker gets no renewal: it may hear what it does not answer, and its
// tasks could never be given up as long as each look may have prolonged them.
func (g *Guardian) leaseLocked(now time.Time) time.Duration {
	if !g.silentFrom.IsZero() {
		return 0
	}
	left := min(g.grantUntil.Sub(now), g.config.LeaseMax)
	if g.clockAt.IsZero() || left <= 0 {
		return 0
	}
	if end := now.Add(leaseOver(left)); end.After(g.leaseEnd) {
		g.leaseEnd = end
	}
	return g.clock + now.Sub(g.clockAt) + left
}

// leaseOver is after how long a lease has run out, also on a slow clock.
func leaseOver(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockError)
}

func (g *Guardian) lookFailed(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	g.looksFailed++
	if g.silentFrom.IsZero() && g.looksFailed >= looksToSilence {
		g.silentFrom = now
		g.config.Reporter.Report(reporter.WorkerSilent, reporter.Fields{"error": err.Error(), "runs": len(g.runs)})
		g.signal()
	}
	if IsErrWorkerNotExist(err) {
		g.looksAbsent++
	} else {
		g.looksAbsent = 0
	}
	if len(g.runs) == 0 || !g.endedLocked() {
		return
	}
	// Whatever ran has ended. A start that was not answered may still come for a while.
	for key, r := range g.runs {
		if !r.doubt || !r.callEnd.IsZero() && now.Sub(r.callEnd) > leaseOver(startLife)+startSlack {
			delete(g.runs, key)
		}
	}
	g.signal()
}

// applyLocked takes the lists of a look and tells whether they have news besides figures.
func (g *Guardian) applyLocked(seen Look, from lookStart) (news bool) {
	at := make(map[accountant.RunKey]bool, len(seen.Runs))
	for _, s := range seen.Runs {
		key := accountant.RunKey{Task: s.Task, Number: s.Run}
		at[key] = true
		r := g.runs[key]
		if r == nil {
			// Started by an order of an earlier life of this process, or carried
			// out late: the owner decides what becomes of it.
			r = &run{state: running}
			g.runs[key] = r
			g.config.Reporter.Report(reporter.RunFound, reporter.Fields{"task": s.Task.String(), "run": s.Run})
			news = true
		}
		r.doubt, r.confirmed = false, true
		delete(g.doubts, key) // its one copy has come
		g.stopAgainLocked(key, r, from.sentAt)
		if r.state == starting {
			r.state = running
			news = true
		}
		r.checkpoint, r.progress, r.measure = s.Checkpoint, s.Progress, s.Measure
	}
	news = g.takeEndsLocked(seen.Ends) || news
	news = g.dropGoneLocked(at, seen.Clock, from) || news
	if news || len(seen.Runs) > 0 && g.config.Now().Sub(g.reportedAt) >= max(figuresEvery, figuresGaps*g.gap) {
		g.signal()
	}
	return news
}

// dropGoneLocked drops the runs that the worker does not have and will not get, and tells
// whether there were any. A look that was sent after the start or the stop was answered, or
// after the start has become void, shows whether the worker has the run.
func (g *Guardian) dropGoneLocked(listed map[accountant.RunKey]bool, clock time.Duration, from lookStart) (dropped bool) {
	for key, r := range g.runs {
		if !listed[key] && (r.gone(from.sentAt) || r.void(from.clock)) {
			delete(g.runs, key)
			dropped = true
			continue
		}
		if r.doubt && r.voidAfter == 0 && r.state == stopping { // sent by an earlier process
			r.voidAfter = clock + startLife + startSlack
		}
	}
	return dropped
}

// stopSlack is how much longer than it may take a stop is given before it is repeated.
const stopSlack = 300 * time.Millisecond

// stopAgainLocked repeats a stop that the worker has answered if a look that was sent long
// after it still lists the run.
func (g *Guardian) stopAgainLocked(key accountant.RunKey, r *run, lookSentAt time.Time) {
	late := lookSentAt.Sub(r.settledAt)
	if r.state != stopping || !r.stopped || late <= g.config.StopTime+stopSlack {
		return
	}
	g.config.Reporter.Report(reporter.StopWithoutEffect, reporter.Fields{"task": key.Task.String(), "run": key.Number, "answered": late.String()})
	r.stopped = false
	go g.stop(g.context, key)
}

// void tells whether a start that was not answered can't be carried out any more; clock is
// what the worker's clock had passed when a look was sent that does not list the run.
func (r *run) void(clock time.Duration) bool {
	return r.doubt && r.state == stopping && r.voidAfter > 0 && clock > r.voidAfter
}

func (r *run) gone(lookSentAt time.Time) bool {
	switch r.state {
	case starting:
		return false
	case stopping:
		return r.stopped && lookSentAt.After(r.settledAt)
	default:
		return lookSentAt.After(r.settledAt)
	}
}

func (g *Guardian) takeEndsLocked(ends []SeenEnd) (news bool) {
	last := g.endsStored
	if n := len(g.ends); n > 0 {
		last = g.ends[n-1].Seq
	}
	for _, e := range ends {
		if e.Seq <= last {
			continue
		}
		g.ends = append(g.ends, e)
		key := accountant.RunKey{Task: e.Task, Number: e.Run}
		delete(g.doubts, key)
		if r := g.runs[key]; r != nil {
			if r.cancel != nil {
				r.cancel()
			}
			delete(g.runs, key)
		}
		g.config.Reporter.Report(reporter.RunEnded, reporter.Fields{"task": e.Task.String(), "run": e.Run, "how": e.How})
		news = true
	}
	return news
}
