package guardian

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// Guards against tasks that start again after they were done: while their ends can't be stored, the
// worker lists 500 of them, and the runs beyond these are in none of its lists.
func TestRunsBeyondListedEndsAreNotLost(t *testing.T) {
	const listed = 500
	for _, n := range []int{499, 500, 501, 1200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newFakeWorker()
			w.listedEnds, w.reportsEndsAtOnce = listed, true
			for i := range n {
				w.runs[tracker.RunKey{Task: taskID(i), Number: 1}] = true
			}
			e := newTestEnv(t, w)
			e.own(1)
			e.until("all runs are known", func() bool { return len(e.report().Runs) == n })
			w.endAll(n)
			e.until("the first ends are listed", func() bool { return len(e.report().Ends) == min(n, listed) })
			time.Sleep(2 * pollMinInterval) // further polls list the same
			rep := e.report()
			if known := len(rep.Runs) + len(rep.Ends); known != n || rep.MoreEnds != (n >= listed) {
				t.Errorf("%d of %d runs are reported as running or ended, more ends: %t", known, n, rep.MoreEnds)
			}
			if ends, doubt := e.g.Waiting(); ends != min(n, listed) || doubt != n-min(n, listed) {
				t.Errorf("%d ends wait and %d runs are in doubt", ends, doubt)
			}
			stored := int64(0)
			e.until("all ends are stored", func() bool {
				rep := e.report()
				for _, end := range rep.Ends {
					if end.Seq != stored+1 {
						t.Fatalf("end %d is reported after %d", end.Seq, stored)
					}
					stored = end.Seq
				}
				if known := int(stored) + len(rep.Runs); known != n {
					t.Fatalf("%d of %d runs are reported as running or ended", known, n)
				}
				e.g.ApplyReply(time.Now(), rep.Incarnation, messenger.WorkReply{Epoch: 1, GrantMillis: 60_000, EndsStored: stored})
				return stored == int64(n)
			})
			e.until("the list is complete", func() bool { return !e.report().MoreEnds })
		})
	}
}

// endAll ends all runs as done.
func (f *fakeWorker) endAll(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range n {
		delete(f.runs, tracker.RunKey{Task: taskID(i), Number: 1})
		f.ends = append(f.ends, ListedEnd{Seq: int64(i + 1), Task: taskID(i), Run: 1, Outcome: string(tracker.EndDone)})
	}
}
