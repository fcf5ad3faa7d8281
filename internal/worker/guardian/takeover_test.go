package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Guards against a cancelled job that runs forever. A new owner replies to an agent's first
// report and immediately orders the stop of a run that its job no longer needs. On the
// connection the order overtakes the reply, which is the first message with the new epoch.
// The owner has no reason to order the stop again, so the agent must carry it out.
func TestOrdersMayArriveBeforeReplyWithEpoch(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	e.session = e.g.BeginSession()
	e.order(2, messenger.WorkStop, 0, 1)
	e.until("an end of the run", func() bool {
		n := 0
		worker.withLock(func() { n = len(worker.runs) })
		return n == 0
	})
}

// Orders that are not carried out must be rejected visibly: the owner never repeats a stop
// that it assumes to be given.
func TestOutdatedOrdersAreRejected(t *testing.T) {
	orders := func(e *testEnv) messenger.WorkOrders {
		return messenger.WorkOrders{Epoch: 2, Session: e.session, Incarnation: e.worker.incarnation}
	}
	tests := []struct {
		name     string
		change   func(o *messenger.WorkOrders)
		rejected bool
	}{
		{"current", func(*messenger.WorkOrders) {}, false},
		{"earlier owner", func(o *messenger.WorkOrders) { o.Epoch = 1 }, true},
		{"earlier session", func(o *messenger.WorkOrders) { o.Session-- }, true},
		{"other incarnation of the worker", func(o *messenger.WorkOrders) { o.Incarnation = "incarnation-0" }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newTestEnv(t, newFakeWorker())
			e.own(2)
			o := orders(e)
			tt.change(&o)
			if err := e.g.Execute(o); (err != nil) != tt.rejected {
				t.Errorf("Execute returned %v", err)
			}
		})
	}
}

// Guards against a run that stalls, or interferes at full speed, forever. Two paces are
// ordered within a millisecond, and the worker does not answer the first attempts. The last
// ordered pace must be applied, however many attempts it takes.
func TestLatestOrderedPaceIsApplied(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	worker.withLock(func() { worker.lostPaces = 2 })
	e.pace(0)
	e.pace(100)
	time.Sleep(10 * time.Millisecond)
	e.until("the last pace", func() bool {
		ok := false
		worker.withLock(func() { n := len(worker.paces); ok = n > 0 && worker.paces[n-1] == 100 })
		return ok
	})
}

func (e *testEnv) pace(percent int) {
	e.seq++
	_ = e.g.Execute(messenger.WorkOrders{Epoch: 1, Session: e.session, Incarnation: e.worker.incarnation, Orders: []messenger.WorkOrder{{
		Seq: e.seq, Kind: messenger.WorkPace, Task: taskID(0).String(), Run: 1, Percent: percent,
	}}})
}

// Guards against a run that stalls, or interferes, for good: the worker refuses a pace
// temporarily, and the owner assumes that it is applied.
func TestTemporarilyRefusedPaceIsRetried(t *testing.T) {
	tests := []struct {
		refusal RefusalReason
		repeats bool
	}{
		{RefusedUnhealthy, true},
		{RefusedEpoch, true},
		{RefusedEndedRun, false},
		{RefusedIncarnation, false},
		{RefusedMalformed, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.refusal), func(t *testing.T) {
			worker := newFakeWorker()
			e := newTestEnv(t, worker)
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("a run", func() bool { return e.confirmed() == 1 })
			worker.withLock(func() { worker.refusedPaces, worker.refusal = 2, tt.refusal })
			e.pace(50)
			time.Sleep(6 * callPause)
			worker.withLock(func() {
				if got := len(worker.paces) == 1; got != tt.repeats {
					t.Errorf("%d paces were applied, %d refusals left", len(worker.paces), worker.refusedPaces)
				}
			})
		})
	}
}

// Guards against a run that never ends: the worker answers its stop without carrying it out.
func TestStopWithoutEffectIsRepeated(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	worker.withLock(func() { worker.ignoredStops = 2 })
	e.order(1, messenger.WorkStop, 0, 1)
	e.until("an end of the run", func() bool { return len(e.report().Runs) == 0 })
	worker.withLock(func() {
		if got := len(worker.stops); got != 3 {
			t.Errorf("the worker got %d stops, want 3: two without effect and one that was carried out", got)
		}
	})
}
