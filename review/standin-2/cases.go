package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	urgentPrefix = "/lohu930/" // a queue of priority 0
	batchPrefix  = "/pufi791/" // a queue of priority 2
	watchPrefix  = "/pule252/" // a queue of tasks that last
)

// begin starts entries and runners and writes the first config.
func (l *lab) begin(entries, runners int) error {
	l.putConfig(4,
		route{Name: "urgent", Prefix: urgentPrefix, Target: 250, Priority: 0, MaxAttempts: 4, Slack: 1.5},
		route{Name: "batch", Prefix: batchPrefix, Target: 1000, Priority: 2, MaxAttempts: 4, Slack: 2},
		route{Name: "watch", Prefix: watchPrefix, Target: 2500, Priority: 0, MaxAttempts: 2, Slack: 2.2})
	for range entries {
		if err := l.addEntry(); err != nil {
			return err
		}
	}
	for n := range runners {
		if _, err := l.addRunner("a", fmt.Sprintf("r1-%d", n/3+1)); err != nil {
			return err
		}
	}
	return l.awaitReady()
}

func accepted(status int) error {
	if status/100 != 2 {
		return fmt.Errorf("a submission was answered with %d", status)
	}
	return nil
}

// submitSound submits small work that ends well, a request each interval.
func (l *lab) submitSound(prefix string, first, count int, interval time.Duration, w work, s step) error {
	for n := range count {
		if err := accepted(l.submit(n%len(l.entries), prefix, fmt.Sprintf("%016x", first+n), w, s)); err != nil {
			return err
		}
		time.Sleep(interval)
	}
	return nil
}

// lastingTaskCrashesRunners: a task that lasts crashes each runner that starts it when it begins to
// work. It is one of eleven submissions within 10 s.
func lastingTaskCrashesRunners(l *lab) (bool, error) {
	const id = "00000000000000b1"
	const watched = 55 * time.Second
	if err := l.begin(2, 6); err != nil {
		return false, err
	}
	s := step{Count: 1, CPU: 2000, Mem: 2000, Estimate: 320, LongRunning: true, Image: "watch"}
	if err := l.submitSound(watchPrefix, 0xb100, 10, 500*time.Millisecond, work{StartMillis: 300}, s); err != nil {
		return false, err
	}
	w := work{StartMillis: 1500}
	if l.trouble {
		w.CrashMillis = 1500
	}
	if err := accepted(l.submit(0, watchPrefix, id, w, s)); err != nil {
		return false, err
	}
	time.Sleep(watched)
	crashes, starts := l.seen("crash", id), l.seen("start", id)
	more := 0
	for _, s := range starts {
		if len(crashes) >= 3 && s.at > crashes[2].at {
			more++
		}
	}
	l.note("%d starts of the task, %d crashes of runners under it, %d starts after the third crash; shown as %q", len(starts), len(crashes), more, l.state(0, watchPrefix, id))
	l.note("%d runs of sound tasks were lost with these runners", len(l.seen("lost", "000000000000b1")))
	return more >= 3, nil
}

// finish is the time from the end of the traffic until submissions are asked for, and maxIdle how
// long one may have nothing running then.
const (
	finish  = 14 * time.Second
	maxIdle = 3 * time.Second
)

// idleAfterFinish returns how long a submission has nothing running, from finish after now on. It
// looks for some time more.
func (l *lab) idleAfterFinish(id string, more time.Duration) (idle time.Duration) {
	l.note("the traffic ends")
	time.Sleep(finish)
	since := l.now()
	for len(l.seen("start", id)) == 0 && idle < more {
		time.Sleep(100 * time.Millisecond)
		idle = l.now() - since
	}
	l.note("from %.0f s after the end of the traffic on, %s had nothing running for %.1f s", finish.Seconds(), id, idle.Seconds())
	return idle
}

// hopelessTasksHoldAllRunners: all tasks of two submissions fail, beside other work of a lower
// priority. They are two of 83 submissions within 2.7 s.
func hopelessTasksHoldAllRunners(l *lab) (bool, error) {
	const last = "00000000000000e3"
	hopeless := []string{"00000000000000e1", "00000000000000e2"}
	if err := l.begin(4, 11); err != nil {
		return false, err
	}
	s := step{Count: 1, CPU: 500, Mem: 500, Estimate: 200, Image: "label"}
	if err := l.submitSound(urgentPrefix, 0xe100, 80, 25*time.Millisecond, work{RunMillis: 100}, s); err != nil {
		return false, err
	}
	w := work{RunMillis: 200}
	if l.trouble {
		w.FailMillis = 100
	}
	s.Count = 36
	for n, id := range hopeless {
		if err := accepted(l.submit(n, urgentPrefix, id, w, s)); err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	s.Count, s.Image = 1, "sort"
	if err := accepted(l.submit(1, batchPrefix, last, work{RunMillis: 100}, s)); err != nil {
		return false, err
	}
	idle := l.idleAfterFinish(last, 40*time.Second)
	l.note("the last submission is shown as %q, the hopeless ones as %q and %q", l.state(0, batchPrefix, last), l.state(0, urgentPrefix, hopeless[0]), l.state(0, urgentPrefix, hopeless[1]))
	return idle >= maxIdle, nil
}

// lastingFillersAreEvicted: the load of a serving task rises beside tasks that fill and last.
func lastingFillersAreEvicted(l *lab) (bool, error) {
	const serving, filling = "00000000000000d1", "00000000000000d2"
	if err := l.begin(2, 1); err != nil {
		return false, err
	}
	if err := accepted(l.submit(0, watchPrefix, serving, work{StartMillis: 300, Serves: true}, step{Count: 1, CPU: 16000, Mem: 8000, Estimate: 320, LongRunning: true, Image: "serve", Target: 100})); err != nil {
		return false, err
	}
	l.runners[0].setTail(30)
	time.Sleep(3 * time.Second)
	if err := accepted(l.submit(0, batchPrefix, filling, work{StartMillis: 300}, step{Count: 6, CPU: 1500, Mem: 2000, Estimate: 320, LongRunning: true, Fills: true, MaxUnavailable: 1, Image: "fill"})); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if _, err := l.addRunner("a", "r1-1"); err != nil { // a new runner
		return false, err
	}
	time.Sleep(6 * time.Second)
	if got := len(l.seen("at-work", filling)); got != 6 {
		return false, fmt.Errorf("%d tasks are at work, not 6", got)
	}
	if l.trouble {
		l.runners[0].setTail(160)
	}
	time.Sleep(10 * time.Second)
	return l.mostAway(filling) > 1, nil
}

// mostAway returns how many tasks of a submission's step were ended by stops and not at work again,
// at most, counting from the stop order.
func (l *lab) mostAway(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	away, most := make(map[string]bool), 0
	for _, e := range l.events {
		if !strings.HasPrefix(e.task, id) {
			continue
		}
		switch e.kind {
		case "stop-order":
			away[e.task] = true
		case "at-work":
			delete(away, e.task)
		}
		most = max(most, len(away))
	}
	l.noteLocked(time.Since(l.began), fmt.Sprintf("at most %d tasks of %s were away at once by orders", most, id))
	return most
}

// cancelledBeforeLateWrite: the writes of a submission get no answer and are carried out late, after
// the submission was cancelled.
func cancelledBeforeLateWrite(l *lab) (bool, error) {
	const id = "00000000000000a1"
	if err := l.begin(2, 2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var lost atomic.Int64
	go l.traffic(stop)
	time.Sleep(2 * time.Second)
	before := l.writes()
	if l.trouble {
		l.setLate(func(t txn) (time.Duration, bool) {
			for _, p := range t.Puts {
				if p.Key == "work/jobs/"+id {
					lost.Add(1)
					l.note("store: a write of %s gets no answer and is carried out 6 s later", id)
					return 6 * time.Second, true
				}
			}
			return 0, false
		})
	}
	time.Sleep(1700 * time.Millisecond)
	posted := l.submit(0, urgentPrefix, id, work{RunMillis: 60000}, step{Count: 1, CPU: 500, Mem: 500, Estimate: 60000, Image: "label"})
	l.setLate(nil)
	l.note("store: answers again; %d of %d writes were lost", lost.Load(), l.writes()-before)
	cancelled, _ := l.request(1, "DELETE", urgentPrefix+id, nil)
	at := l.now()
	time.Sleep(12 * time.Second)
	close(stop)
	late := 0
	for _, s := range l.seen("start", id) {
		if s.at > at+3*time.Second {
			late++
			l.note("a start %.3f s after the cancelling was acknowledged", (s.at - at).Seconds())
		}
	}
	if cancelled/100 != 2 && cancelled != 410 {
		return false, fmt.Errorf("the DELETE was answered with %d", cancelled)
	}
	l.note("POST answered %d, DELETE %d, %d starts later than cancel_ms after it; shown as %q", posted, cancelled, late, l.state(1, urgentPrefix, id))
	return late > 0, nil
}

func (l *lab) setLate(late func(t txn) (time.Duration, bool)) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.late = late
}

func (l *lab) writes() int64 {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.store.writes
}

// traffic submits small work until stop is closed.
func (l *lab) traffic(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		l.submit(n%2, batchPrefix, fmt.Sprintf("0000000000%06x", n+0x1000), work{RunMillis: 100}, step{Count: 1, CPU: 500, Mem: 500, Estimate: 100, Image: "sort"})
	}
}

// newBootOfAnotherKind: a runner crashes and starts again under its id as one of another kind.
func newBootOfAnotherKind(l *lab) (bool, error) {
	const id = "00000000000000c1"
	if err := l.begin(2, 0); err != nil {
		return false, err
	}
	for _, kind := range []string{"a", "b"} {
		if _, err := l.addRunner(kind, "r1-1"); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	r := l.runners[0]
	r.restartAfter, r.firstBeatAfter = 2*time.Second, beatInterval
	if l.trouble {
		r.labelsOnRestart = []string{"b", "r1-1"}
	}
	if err := accepted(l.submit(0, batchPrefix, id, work{RunMillis: 60000}, step{Count: 2, CPU: 500, Mem: 500, Estimate: 60000, Requirements: "a", Image: "sort"})); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	r.crash("power")
	time.Sleep(8 * time.Second)
	wrong := 0
	for _, s := range l.seen("start", id) {
		if !strings.Contains(s.detail, "labels a") {
			wrong++
		}
	}
	l.note("%d starts on a runner without the label", wrong)
	return wrong > 0, nil
}

// fillersNeverStart: all runners have a task that serves close to its target, and far from their
// room in use.
func fillersNeverStart(l *lab) (bool, error) {
	const serving, filling = "00000000000000f1", "00000000000000f2"
	if err := l.begin(2, 3); err != nil {
		return false, err
	}
	if err := accepted(l.submit(0, watchPrefix, serving, work{StartMillis: 300, Serves: true}, step{Count: 3, CPU: 8000, Mem: 8000, Estimate: 320, LongRunning: true, Image: "serve", Target: 100, MaxPerServer: 1})); err != nil {
		return false, err
	}
	for _, r := range l.runners {
		r.setTail(30)
	}
	time.Sleep(5 * time.Second)
	if l.trouble {
		for _, r := range l.runners {
			r.setTail(85)
		}
	}
	time.Sleep(3 * time.Second)
	if err := accepted(l.submit(1, batchPrefix, filling, work{RunMillis: 500}, step{Count: 1, CPU: 1000, Mem: 1000, Estimate: 500, Fills: true, Image: "fill"})); err != nil {
		return false, err
	}
	idle := l.idleAfterFinish(filling, 30*time.Second)
	l.note("the submission is shown as %q", l.state(0, batchPrefix, filling))
	return idle >= maxIdle, nil
}

// rollAfterLostMachine: a runner's machine is lost for good, and the entries are stopped and started
// in turn, the one that owns first.
func rollAfterLostMachine(l *lab) (bool, error) {
	const id = "00000000000000a7"
	const entries, runners, gap = 4, 4, 2 * time.Second
	if err := l.begin(entries, runners); err != nil {
		return false, err
	}
	s := step{Count: runners, CPU: 2000, Mem: 2000, Estimate: 320, LongRunning: true, Image: "watch", MaxPerServer: 1}
	if err := accepted(l.submit(0, watchPrefix, id, work{StartMillis: 300}, s)); err != nil {
		return false, err
	}
	s = step{Count: 1, CPU: 500, Mem: 500, Estimate: 60000, LongRunning: true, Image: "watch"} // may run on any runner
	const free = "00000000000000a8"
	s.Count = 2 * runners
	if err := accepted(l.submit(1, watchPrefix, free, work{StartMillis: 300}, s)); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if l.trouble {
		l.loseMachine(0)
	}
	lostAt := l.now()
	time.Sleep(300 * time.Millisecond)
	rolled := make(map[string]bool)
	for range entries {
		name := l.nextToRoll(rolled)
		rolled[name] = true
		if err := l.roll(name); err != nil {
			return false, err
		}
		time.Sleep(gap)
	}
	time.Sleep(12 * time.Second)
	return l.longestAway(free, lostAt) >= 6*time.Second+maxIdle, nil
}

// nextToRoll returns the entry that owns, as the store's record shows, or else any other that was
// not rolled yet.
func (l *lab) nextToRoll(rolled map[string]bool) (next string) {
	owner := l.store.text("cells/main/owner")
	for n := range l.entries {
		name := fmt.Sprintf("frontend-%d", n+1)
		if rolled[name] {
			continue
		}
		if strings.Contains(owner, name) {
			return name
		}
		next = name
	}
	return next
}

// longestAway returns how long a task of a submission had no run, at most, from when it was lost.
func (l *lab) longestAway(id string, lostAt time.Duration) (longest time.Duration) {
	for _, lost := range l.seen("lost", id) {
		back := l.now()
		for _, s := range l.seen("start", id) {
			if s.task == lost.task && s.at > lost.at {
				back = min(back, s.at)
			}
		}
		l.note("%s was without a run for %.1f s", lost.task, (back - lost.at).Seconds())
		longest = max(longest, back-lost.at)
	}
	l.note("a task was without a run for %.1f s at most; the machine was lost at %.3f", longest.Seconds(), lostAt.Seconds())
	return longest
}
