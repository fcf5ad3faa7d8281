package guardian

import (
	"context"
	"errors"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
)

// Intervals and limits of status polls.
const (
	// pollWait is how long a poll may wait for a run to end. The tail latencies that pacing
	// uses are at most this old.
	pollWait = 300 * time.Millisecond
	// pollWaitIdle applies while nothing runs, to reduce wake-ups.
	pollWaitIdle = time.Second
	// pollTimeout is the time allowed for an answer beyond the wait. The worker answers in
	// milliseconds; the rest allows for this process waiting for its share of a processor.
	pollTimeout    = 400 * time.Millisecond
	pollRetryPause = 50 * time.Millisecond // after a failed poll
	// pollMinInterval is the pause after a poll that was answered immediately without news:
	// the worker does not wait while it lists ends that are not in the store yet. Without it,
	// agent and owner would poll and report continuously until the end is stored.
	pollMinInterval = 50 * time.Millisecond
	// metricsMaxAge is how old the owner's measurements of runs may become before a poll
	// without other news triggers a report. Pacing uses them; each is a mean over half a
	// second.
	metricsMaxAge = 240 * time.Millisecond
	// failedPollsToUnresponsive is how many polls in a row must fail before the worker counts
	// as unresponsive and gets no new starts. A single poll may be delayed.
	failedPollsToUnresponsive = 2
)

// poll polls the worker once, which also renews the leases.
func (g *Guardian) poll(ctx context.Context) {
	call, from := g.nextPoll()
	timeoutCtx, cancel := context.WithTimeout(ctx, call.Wait+pollTimeout)
	defer cancel()
	pollCtx, cancelPoll := context.WithCancel(timeoutCtx)
	defer cancelPoll()
	if !g.beginPoll(call, cancelPoll) {
		return
	}
	status, err := g.config.Worker.Poll(pollCtx, call)
	g.endPoll()
	if err != nil {
		cancelled := pollCtx.Err() != nil && timeoutCtx.Err() == nil // because of a new epoch or grant
		g.reportUnansweredPoll(call, from, err, cancelled)
		if cancelled {
			return
		}
		g.fenceFailedPoll(call, err)
		g.recordFailedPoll(err, from)
		_ = pauser.Pause(ctx, pollRetryPause)
		return
	}
	if !g.applyPoll(status, call, from) && call.Wait > 0 && g.config.Now().Sub(from.sentAt) < pollMinInterval {
		_ = pauser.Pause(ctx, pollMinInterval)
	}
}

// beginPoll reports whether a poll is still to be sent. If so, it can be cancelled from now on.
func (g *Guardian) beginPoll(call PollCall, cancel context.CancelFunc) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if call.Fence != g.fenceLocked() {
		return false
	}
	g.cancelPoll = cancel
	return true
}

func (g *Guardian) endPoll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelPoll, g.pollInProgress = nil, false
}

// reportUnansweredPoll logs a poll that the worker may have received without an answer to it.
func (g *Guardian) reportUnansweredPoll(call PollCall, from pollStart, err error, cancelled bool) {
	var refused ErrRefused
	if IsErrWorkerUnreachable(err) || errors.As(err, &refused) {
		return
	}
	g.config.Reporter.Report(reporter.PollUnanswered, reporter.Fields{
		"life": from.incarnation, "epoch": call.Fence.Epoch, "generation": call.Fence.Generation, "ends-seen": call.EndsSeen, "lease-until": call.LeaseUntil.String(), "sent": g.config.Now().Sub(from.sentAt).String(), "cancelled": cancelled, "error": err.Error(),
	})
}

// applyPoll applies the answer to a poll and reports whether it has news other than
// measurements.
func (g *Guardian) applyPoll(status Status, call PollCall, from pollStart) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if from.incarnation != "" && from.incarnation != status.Incarnation {
		g.config.Reporter.Report(reporter.PollAnsweredByOther, reporter.Fields{"life": from.incarnation, "by": status.Incarnation, "epoch": call.Fence.Epoch, "generation": call.Fence.Generation, "ends-seen": call.EndsSeen})
	}
	g.failedPolls, g.processEnded, g.unreachable = 0, false, false
	if !g.unresponsiveSince.IsZero() {
		g.config.Reporter.Report(reporter.WorkerResponding, reporter.Fields{"life": status.Incarnation, "silent": g.config.Now().Sub(g.unresponsiveSince).String(), "clock-behind": g.clockBehindLocked(status).String()})
		g.unresponsiveSince = time.Time{}
		g.signal()
	}
	if g.incarnation != status.Incarnation {
		g.beginIncarnationLocked(status.Incarnation)
	}
	g.confirmSuccessorLocked(from.sentAt)
	g.pollsFailSince, g.crashRecorded, g.expiredRuns = time.Time{}, false, nil
	if g.clockAt.IsZero() {
		g.signal()
	}
	// A poll of the previous incarnation that this one answered does not fence off other late calls.
	if g.polledEpoch != call.Fence.Epoch && call.Fence.Generation >= g.incarnationGeneration {
		g.polledEpoch = call.Fence.Epoch
		g.countUnrequestedLeaseLocked()
		g.signal()
	}
	g.generationStep = 1
	if from.incarnation == status.Incarnation {
		g.endsConfirmed, g.pollAnswered = max(g.endsConfirmed, call.EndsSeen), true
	}
	g.clock, g.clockAt, g.lastPollSentAt = status.Clock, g.config.Now(), from.sentAt
	if from.incarnation != status.Incarnation {
		from.clock = 0
	}
	return g.applyRunsAndEndsLocked(status, from)
}

// clockBehindLocked returns by how much the worker's clock has advanced less than that of this process since
// the worker's last answer, 0 if another incarnation gave that.
func (g *Guardian) clockBehindLocked(status Status) time.Duration {
	if g.clockAt.IsZero() || g.incarnation != status.Incarnation {
		return 0
	}
	return g.config.Now().Sub(g.clockAt) - (status.Clock - g.clock)
}

// countUnrequestedLeaseLocked counts a lease of the longest length, which a late call may have set
// until the first poll that was meant for this incarnation. All that runs there has it.
func (g *Guardian) countUnrequestedLeaseLocked() {
	if !g.unrequestedLeaseEnd.IsZero() {
		return
	}
	g.unrequestedLeaseEnd = g.config.Now().Add(timekeeper.Longest(g.config.LeaseMax))
	if g.unrequestedLeaseEnd.After(g.leaseEnd) {
		g.leaseEnd = g.unrequestedLeaseEnd
	}
}

// pollStart is the state known when a poll was sent.
type pollStart struct {
	sentAt      time.Time
	incarnation string        // of the worker
	clock       time.Duration // lower bound of the worker's clock; 0: not known
}

func (g *Guardian) nextPoll() (PollCall, pollStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	if g.successor != nil {
		return g.successorPollLocked(now)
	}
	call := PollCall{Fence: g.fenceLocked(), Incarnation: g.incarnation, Wait: pollWait, LeaseUntil: g.requestLeaseLocked(now)}
	if len(g.runs) == 0 {
		call.Wait = pollWaitIdle
	}
	// Reports, and therefore all starts, wait for the first poll of an incarnation and of an
	// epoch. Where nothing ends, it would be answered only after its full wait, up to 1 s
	// after each change of owner.
	//
	// A worker that stood still together with its clock has runs whose leases count as ended. They are stopped only
	// once it has answered.
	if g.clockAt.IsZero() || g.polledEpoch != g.epoch || g.failedPolls > 0 || g.resolvesUnconfirmedStartLocked() {
		call.Wait = 0
	}
	call.EndsSeen, call.Wait = g.endsToForgetLocked(call.Wait)
	g.pollInProgress, g.pollGeneration, g.pollAnswered = true, g.generation, false
	from := pollStart{sentAt: now, incarnation: g.incarnation}
	if !g.clockAt.IsZero() {
		from.clock = g.clock
	}
	return call, from
}

// successorPollLocked returns a poll that shows whether the announced incarnation has replaced the
// present one. Either of them may answer it, so it requests no lease and lets no ends be forgotten.
func (g *Guardian) successorPollLocked(now time.Time) (PollCall, pollStart) {
	g.pollInProgress, g.pollGeneration, g.pollAnswered, g.confirmingPoll = true, g.generation, false, false
	call := PollCall{Fence: g.fenceLocked(), Incarnation: g.successor.Incarnation}
	if len(g.runs) > 0 {
		call.Replaces = g.incarnation
	}
	return call, pollStart{sentAt: now, incarnation: g.successor.Incarnation}
}

// endsToForgetLocked returns the number up to which the next poll allows the worker to forget ends, 0 if
// there is none or it has to wait, and the poll's wait.
//
// A later incarnation must not get the number after it has carried out a start that was meant for this
// one. So the poll follows one that this incarnation has answered, and no start was under way since that
// one was sent. Otherwise another poll is sent first, once without waiting.
func (g *Guardian) endsToForgetLocked(wait time.Duration) (number int64, pollWait time.Duration) {
	confirming := g.confirmingPoll
	g.confirmingPoll = false
	switch {
	case g.endsStored <= g.endsConfirmed:
		return 0, wait
	case g.pollAnswered && g.startsInFlight == 0 && g.lastStartEndedAt.Before(g.lastPollSentAt):
		return g.endsStored, wait
	case confirming:
		return 0, wait
	}
	g.confirmingPoll = true
	return 0, 0
}

// resolvesUnconfirmedStartLocked reports whether the next poll shows the outcome of an
// unconfirmed start, whose task is blocked until then.
func (g *Guardian) resolvesUnconfirmedStartLocked() bool {
	for _, r := range g.runs {
		if r.startUnconfirmed && (r.stopped || r.startExpired(g.clock)) {
			return true
		}
	}
	return false
}

// requestStartLocked returns the time on the worker's clock until which a start sent now may be
// carried out. Afterwards the run continues under the lease that polls renew.
func (g *Guardian) requestStartLocked(now time.Time) time.Duration {
	until := g.leaseLocked(now)
	if until > 0 {
		until = min(until, g.workerClockLocked(now)+startValidity)
	}
	g.expectLeaseLocked(now, until)
	return until
}

// requestLeaseLocked returns the end of the leases to request with a poll sent now, on the
// worker's clock, or 0.
func (g *Guardian) requestLeaseLocked(now time.Time) time.Duration {
	until := g.leaseLocked(now)
	g.expectLeaseLocked(now, until)
	return until
}

// expectLeaseLocked records that a call sent now may extend the leases until the given time on the
// worker's clock; 0: it does not.
func (g *Guardian) expectLeaseLocked(now time.Time, until time.Duration) {
	left := until - g.workerClockLocked(now)
	if until <= 0 || left <= 0 {
		return
	}
	if end := now.Add(timekeeper.Longest(left)); end.After(g.leaseEnd) {
		g.leaseEnd = end
	}
}

// leaseLocked returns the end of the leases that may be requested, on the worker's clock, or 0.
// It assumes that no time passed between the worker's answer and its arrival here, and that the
// worker's clock is slow since, so the lease is too short rather than too long. How long it lasts
// on a slow clock is counted by the owner, see scheduler.LeaseExpiry.
//
// An unresponsive worker gets no renewal: it may receive calls without answering, and its
// tasks could never be given up if each poll might have extended their leases.
func (g *Guardian) leaseLocked(now time.Time) time.Duration {
	left := min(g.grantUntil.Sub(now), g.config.LeaseMax)
	if !g.unresponsiveSince.IsZero() || g.clockAt.IsZero() || left <= 0 {
		return 0
	}
	return g.workerClockLocked(now) + left
}

// workerClockLocked returns a lower bound of the worker's clock, which may be slow: an upper bound
// would make a lease that an agent requests after a pause outlive the grant.
func (g *Guardian) workerClockLocked(now time.Time) time.Duration {
	return g.clock + timekeeper.Shortest(now.Sub(g.clockAt))
}

func (g *Guardian) recordFailedPoll(err error, from pollStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	var refused ErrRefused
	if from.incarnation != g.incarnation && errors.As(err, &refused) && refused.Reason == RefusedIncarnation {
		g.successor = nil // the worker that is there is not the announced one
		return
	}
	g.failedPolls++
	g.unreachable = IsErrWorkerUnreachable(err)
	if g.pollsFailSince.IsZero() {
		g.pollsFailSince = now
	}
	var ended ErrWorkerEnded
	g.processEnded = g.processEnded || errors.As(err, &ended) && ended.Incarnation == g.incarnation
	if g.unresponsiveSince.IsZero() && (g.processEnded || g.failedPolls >= failedPollsToUnresponsive) {
		g.unresponsiveSince = now
		g.config.Reporter.Report(reporter.WorkerNotResponding, reporter.Fields{"error": err.Error(), "runs": len(g.runs)})
		g.signal()
	}
	var lives ErrFormerWorkerLives
	if errors.As(err, &lives) {
		g.crashRecorded, g.expiredRuns = true, nil // there is none to record
	}
	if g.processEnded {
		g.recordCrashLocked(g.pollsFailSince, processEnded)
	}
	proof := g.proofOfEndLocked()
	if len(g.runs) == 0 || proof == "" {
		return
	}
	// All runs have ended. A start without an answer may still arrive for a while.
	before := len(g.runs)
	for key, r := range g.runs {
		if !r.startUnconfirmed || !r.startCallEndedAt.IsZero() && now.Sub(r.startCallEndedAt) > timekeeper.Longest(startValidity)+clockLagMax {
			delete(g.runs, key)
			g.expireRunLocked(key, r)
		}
	}
	if n := before - len(g.runs); n > 0 {
		g.config.Reporter.Report(reporter.RunsGivenUp, reporter.Fields{"life": g.incarnation, "runs": n, "left": len(g.runs), "proof": string(proof), "lease-left": max(g.leaseEnd.Sub(now), 0).String()})
	}
	g.signal()
}

// expireRunLocked keeps a run of an unresponsive worker until it is known whether the worker
// has crashed.
func (g *Guardian) expireRunLocked(key tracker.RunKey, r *run) {
	if g.crashRecorded {
		return
	}
	if g.expiredRuns == nil {
		g.expiredRuns = make(map[tracker.RunKey]*run)
	}
	g.expiredRuns[key] = r
}

// applyRunsAndEndsLocked applies the runs and ends of a poll and reports whether they contain
// news other than measurements.
func (g *Guardian) applyRunsAndEndsLocked(status Status, from pollStart) (news bool) {
	// Runs that a poll lists that was sent after all leases had certainly ended go on because the worker's clock stood
	// still or is slow. The owner starts their tasks elsewhere, and may not be able to order the stop.
	outlived := from.incarnation == g.incarnation && from.sentAt.After(g.leaseEnd)
	listed := make(map[tracker.RunKey]bool, len(status.Runs))
	for _, s := range status.Runs {
		key := tracker.RunKey{Task: s.Task, Number: s.Run}
		listed[key] = true
		r := g.runs[key]
		if r == nil {
			// Started by an order to an earlier agent process, or carried out late. The owner
			// decides what happens to it.
			r = &run{state: running, sentAt: from.sentAt}
			g.runs[key] = r
			g.config.Reporter.Report(reporter.RunFound, reporter.Fields{"task": s.Task.String(), "run": s.Run, "life": g.incarnation, "epoch": g.epoch, "unanswered": g.describeUnansweredLocked(key)})
			news = true
		}
		r.startUnconfirmed, r.confirmed = false, true
		delete(g.unconfirmedStarts, key) // its only copy has arrived
		g.repeatStopLocked(key, r, from.sentAt)
		if r.state == starting {
			r.state = running
			news = true
		}
		if outlived {
			g.stopLocked(key, r, "lease ended")
		}
		r.checkpoint, r.progress, r.measure = s.Checkpoint, s.Progress, s.Measure
	}
	news = g.addEndsLocked(status.Ends) || news
	news = g.setMoreEndsLocked(status.MoreEnds) || news
	news = g.dropLostRunsLocked(listed, status.Clock, from) || news
	switch {
	case news:
		g.signal()
	case len(status.Runs) > 0 && g.config.Now().Sub(g.reportedAt) >= max(metricsMaxAge, g.requestedReportInterval):
		notify(g.wake)
	}
	return news
}

// setMoreEndsLocked records whether the worker may have more ends than it has listed, and reports
// whether that has changed.
func (g *Guardian) setMoreEndsLocked(more bool) (changed bool) {
	if g.moreEnds == more {
		return false
	}
	g.moreEnds = more
	g.config.Reporter.Report(reporter.EndsNotListed, reporter.Fields{"more": more, "waiting": len(g.ends), "stored": g.endsStored, "runs": len(g.runs)})
	return true
}

// dropLostRunsLocked removes the runs that the worker does not have and will not get, and
// reports whether there were any. A poll sent after the start or stop was answered, or after
// the start has expired, shows whether the worker has the run, unless it leaves out ends.
func (g *Guardian) dropLostRunsLocked(listed map[tracker.RunKey]bool, clock time.Duration, from pollStart) (dropped bool) {
	for key, r := range g.runs {
		if r.inDoubt = !listed[key] && g.moreEnds; r.inDoubt {
			continue
		}
		conclusive := r.pollIsConclusive(from.sentAt)
		if !listed[key] && (conclusive || r.startExpired(from.clock)) {
			if r.state == running {
				g.reportNotListed(key, r, conclusive)
			}
			delete(g.runs, key)
			dropped = true
			continue
		}
		if r.startUnconfirmed && r.startExpiresAt == 0 && r.state == stopping { // sent by an earlier process
			r.startExpiresAt = clock + startValidity + clockLagMax
		}
	}
	return dropped
}

// reportNotListed logs that a run is given up because the worker lists neither the run nor its end.
func (g *Guardian) reportNotListed(key tracker.RunKey, r *run, conclusive bool) {
	reason := "its start has expired"
	if conclusive {
		reason = "the poll was sent after its start was answered"
	}
	g.config.Reporter.Report(reporter.RunNotListed, reporter.Fields{
		"task": key.Task.String(), "run": key.Number, "reason": reason, "confirmed": r.confirmed, "life": g.incarnation, "epoch": g.epoch, "ends-stored": g.endsStored,
	})
}

// stopSlack is added to the longest time of a stop before the stop is repeated.
const stopSlack = 300 * time.Millisecond

// repeatStopLocked repeats a stop that was answered, if a poll sent long afterwards still
// lists the run.
func (g *Guardian) repeatStopLocked(key tracker.RunKey, r *run, pollSentAt time.Time) {
	late := pollSentAt.Sub(r.answeredAt)
	if r.state != stopping || !r.stopped || late <= g.config.StopTime+stopSlack {
		return
	}
	g.config.Reporter.Report(reporter.StopWithoutEffect, reporter.Fields{"task": key.Task.String(), "run": key.Number, "answered": late.String()})
	r.stopped = false
	go g.stop(g.runCtx, key)
}

// startExpired reports whether an unconfirmed start can no longer be carried out. clock is a
// lower bound of the worker's clock when a poll was sent that does not list the run.
func (r *run) startExpired(clock time.Duration) bool {
	return r.startUnconfirmed && r.state == stopping && r.startExpiresAt > 0 && clock > r.startExpiresAt
}

// pollIsConclusive reports whether a poll sent at pollSentAt that does not list the run shows
// that the worker does not have it. While the start has not been answered, no poll does.
func (r *run) pollIsConclusive(pollSentAt time.Time) bool {
	switch r.state {
	case starting:
		return false
	case stopping:
		return r.stopped && pollSentAt.After(r.answeredAt)
	default:
		return pollSentAt.After(r.answeredAt)
	}
}

func (g *Guardian) addEndsLocked(ends []ListedEnd) (news bool) {
	last := g.endsStored
	if n := len(g.ends); n > 0 {
		last = g.ends[n-1].Seq
	}
	for _, e := range ends {
		if e.Seq <= last {
			continue
		}
		if e.Seq > last+1 && (last > 0 || g.knownFromStart) {
			g.config.Reporter.Report(reporter.EndsMissing, reporter.Fields{"life": g.incarnation, "first-listed": e.Seq, "last-known": last, "ends-stored": g.endsStored})
		}
		last = e.Seq
		g.ends = append(g.ends, e)
		key := tracker.RunKey{Task: e.Task, Number: e.Run}
		delete(g.unconfirmedStarts, key)
		if r := g.runs[key]; r != nil {
			if r.cancel != nil {
				r.cancel()
			}
			delete(g.runs, key)
		}
		g.config.Reporter.Report(reporter.RunEnded, reporter.Fields{"task": e.Task.String(), "run": e.Run, "how": e.Outcome})
		news = true
	}
	return news
}
