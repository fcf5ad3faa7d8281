package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/wire/messenger"
)

// Guards against a task that runs again after its end was noted: a start that nobody answered
// comes to the worker's next life, and the agent's process that sent it has been replaced.
func TestDoubtsOfAnEarlierProcessAreStopped(t *testing.T) {
	tests := []struct {
		name  string
		age   time.Duration
		had   bool // the worker has the run
		stops int  // in this life
		next  int  // in the next one
	}{
		{"it may still come", time.Second, false, 1, 1},
		{"it has come", time.Second, true, 0, 0},
		{"it is too old to come", accountant.DoubtLife, false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			if tt.had {
				worker.runs[accountant.RunKey{Task: taskID(0), Number: 7}] = true
			}
			b := newBed(t, worker)
			b.g.Follow(1)
			b.sess = b.g.BeginSession()
			rep := b.report()
			b.g.Granted(time.Now(), rep.Life, messenger.WorkReply{Epoch: 1, GrantMillis: time.Minute.Milliseconds(), Doubts: []messenger.WorkDoubt{
				{Task: taskID(0).String(), Run: 7, AgeMillis: tt.age.Milliseconds()},
			}})
			b.stops(tt.stops)
			worker.change(func() {
				worker.life, worker.epoch, worker.stops, worker.runs = "life-2", 0, nil, make(map[accountant.RunKey]bool)
			})
			b.until("a report of the next life", func() bool { return b.report().Life == "life-2" })
			b.stops(tt.next)
		})
	}
}

// stops checks how many stops the worker is told, once none is under way.
func (b *bed) stops(want int) {
	b.t.Helper()
	stops := 0
	count := func() int {
		b.worker.change(func() { stops = len(b.worker.stops) })
		return stops
	}
	b.until("stops", func() bool { return count() >= want })
	b.until("reports without stops", func() bool {
		for _, r := range b.report().Runs {
			if r.Stopping {
				return false
			}
		}
		return true
	})
	if count() != want {
		b.t.Errorf("%d stops, want %d", stops, want)
	}
}

// Guards against doubts that nobody hears of: they are reported until a look shows the run
// or they are too old.
func TestDoubtsAreReported(t *testing.T) {
	worker := newFakeWorker()
	worker.deaf = 1000
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
	if got := b.report().Doubts; len(got) != 1 || got[0].Task != taskID(0).String() || got[0].Run != 1 {
		t.Fatalf("reported doubts %+v", got)
	}
	worker.change(func() { worker.runs[accountant.RunKey{Task: taskID(0), Number: 1}] = true })
	b.until("an end of the doubt", func() bool { return len(b.report().Doubts) == 0 })
}
