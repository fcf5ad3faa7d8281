package guardian

import (
	"testing"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// Guards against tasks that may start on one VM only for 15 s though nothing can start late: a stop that crosses
// the end of its run is no start without an answer.
func TestStopThatCrossesEndRecordsNoUnansweredStart(t *testing.T) {
	tests := []struct {
		name       string
		endsStored int64 // as the message with the stop says
	}{
		{"the end is not stored", 0},
		{"the same message says that the end is stored", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			e := newTestEnv(t, worker)
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("a run", func() bool { return e.confirmed() == 1 })
			worker.withLock(func() {
				delete(worker.runs, tracker.RunKey{Task: taskID(0), Number: 1})
				worker.ends = append(worker.ends, ListedEnd{Seq: 1, Task: taskID(0), Run: 1, Outcome: "broken"})
			})
			e.until("the end", func() bool { return len(e.report().Ends) == 1 })
			e.seq++
			err := e.g.Execute(messenger.WorkOrders{
				Epoch: 1, Session: e.session, Incarnation: worker.incarnation, EndsStored: tt.endsStored,
				Orders: []messenger.WorkOrder{{Seq: e.seq, Kind: messenger.WorkStop, Task: taskID(0).String(), Run: 1, Needs: oneCore}},
			})
			if err != nil {
				t.Fatal(err)
			}
			e.until("the answer to the stop", func() bool { return len(e.report().Runs) == 0 })
			if got := e.report().UnconfirmedStarts; len(got) > 0 {
				t.Errorf("unanswered starts are reported: %+v", got)
			}
		})
	}
}
