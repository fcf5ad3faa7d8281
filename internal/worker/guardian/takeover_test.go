package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// A cancelled job runs on for ever. A new owner answers an agent's first report and at
// once orders the stop of a run that its job no longer wants; on the connection the order
// overtakes the answer, which is the first that tells the agent of the new epoch. The
// owner sees no reason to order the stop again, so the agent must obey it.
func TestOrdersMayComeBeforeTheAnswerThatTellsOfTheEpoch(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	b.sess = b.g.BeginSession()
	b.order(2, messenger.WorkStop, 0, 1)
	b.until("an end of the run", func() bool {
		n := 0
		worker.change(func() { n = len(worker.runs) })
		return n == 0
	})
}

// Orders that are not carried out must be known as such to the owner: a stop that it
// takes for given is never given again.
func TestOrdersThatAreVoidAreRefused(t *testing.T) {
	orders := func(b *bed) messenger.WorkOrders {
		return messenger.WorkOrders{Epoch: 2, Session: b.sess, Life: b.worker.life}
	}
	tests := []struct {
		name   string
		change func(o *messenger.WorkOrders)
		void   bool
	}{
		{"in force", func(*messenger.WorkOrders) {}, false},
		{"of an earlier owner", func(o *messenger.WorkOrders) { o.Epoch = 1 }, true},
		{"of an earlier session", func(o *messenger.WorkOrders) { o.Session-- }, true},
		{"for another life of the worker", func(o *messenger.WorkOrders) { o.Life = "life-0" }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, newFakeWorker())
			b.own(2)
			o := orders(b)
			tt.change(&o)
			if err := b.g.Obey(o); (err != nil) != tt.void {
				t.Errorf("answered with %v", err)
			}
		})
	}
}

// A run stands still for ever, or disturbs at full speed. Two paces follow one another
// within a millisecond, and the worker does not answer the first try of a call. The last
// pace ordered must be the one in force, however often it takes.
func TestTheLastPaceOrderedIsInForce(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	worker.change(func() { worker.deafToPaces = 2 })
	b.pace(0)
	b.pace(100)
	time.Sleep(10 * time.Millisecond)
	b.until("the last pace", func() bool {
		ok := false
		worker.change(func() { n := len(worker.paces); ok = n > 0 && worker.paces[n-1] == 100 })
		return ok
	})
}

func (b *bed) pace(percent int) {
	b.seq++
	_ = b.g.Obey(messenger.WorkOrders{Epoch: 1, Session: b.sess, Life: b.worker.life, Orders: []messenger.WorkOrder{{
		Seq: b.seq, Kind: messenger.WorkPace, Task: taskID(0).String(), Run: 1, Percent: percent,
	}}})
}

// Guards against a run that stands still, or disturbs, for good: the worker refuses a pace
// for a moment, and the owner believes that it is in force.
func TestPacesThatAreRefusedForAMomentAreRepeated(t *testing.T) {
	tests := []struct {
		refusal RefusalReason
		repeats bool
	}{
		{RefusedUnhealthy, true},
		{RefusedEpoch, true},
		{RefusedRun, false},
		{RefusedLife, false},
		{RefusedMalformed, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.refusal), func(t *testing.T) {
			worker := newFakeWorker()
			b := newBed(t, worker)
			b.own(1)
			b.order(1, messenger.WorkStart, 0, 1)
			b.until("a run", func() bool { return b.confirmed() == 1 })
			worker.change(func() { worker.refusePaces, worker.refusal = 2, tt.refusal })
			b.pace(50)
			time.Sleep(6 * callPause)
			worker.change(func() {
				if got := len(worker.paces) == 1; got != tt.repeats {
					t.Errorf("%d paces are in force, %d refusals left", len(worker.paces), worker.refusePaces)
				}
			})
		})
	}
}

// Guards against a run that goes on for good: the worker answers its stop and does not
// carry it out.
func TestStopsThatHaveNoEffectAreRepeated(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	worker.change(func() { worker.idleStops = 2 })
	b.order(1, messenger.WorkStop, 0, 1)
	b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
	worker.change(func() {
		if got := len(worker.stops); got != 3 {
			t.Errorf("the worker was asked %d times, want 3: once for each that had no effect", got)
		}
	})
}
