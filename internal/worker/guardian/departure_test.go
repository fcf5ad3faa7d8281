package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/wire/messenger"
)

// Guards against tasks that wait for the leases of a worker that has left, and against tasks that run
// twice: a worker has left once it has announced that it leaves, has deregistered and refuses connections.
func TestRunsOfWorkerThatHasLeftEndAtOnce(t *testing.T) {
	const workerID = "worker-1"
	for _, tt := range []struct {
		name                       string
		leaving, deregisters, ends bool
		id                         string
		left                       bool
	}{
		{name: "has left", leaving: true, deregisters: true, ends: true, id: workerID, left: true},
		{name: "deregisters and still answers", leaving: true, deregisters: true, id: workerID},
		{name: "announces that it leaves and refuses connections", leaving: true, ends: true},
		{name: "late deregistration of a former incarnation", deregisters: true, ends: true, id: workerID},
		{name: "deregistration of another worker", leaving: true, deregisters: true, ends: true, id: "worker-2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			worker := newFakeWorker()
			e := newTestEnv(t, worker)
			announce := func(leaving bool) {
				e.g.Announce(Announcement{ID: workerID, Incarnation: "incarnation-1", Zone: "z", Capacity: specifier.Resources{CPUMillis: 2000, MemoryMB: 1000}, Leaving: leaving})
			}
			announce(false)
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("a run", func() bool { return e.confirmed() == 1 })
			announce(tt.leaving)
			if tt.deregisters {
				e.g.Deregister(tt.id)
			}
			if tt.ends {
				worker.withLock(func() { worker.unreachable = true })
			}
			time.Sleep(e.g.config.StopTime + 4*pollRetryPause) // leases last a second here
			if left := len(e.report().Runs) == 0; left != tt.left {
				t.Errorf("the runs have ended: %t", left)
			}
			if n := len(e.report().Crashes); n != 0 {
				t.Errorf("%d crashes", n)
			}
		})
	}
}
