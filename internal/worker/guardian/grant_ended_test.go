package guardian

import (
	"context"
	"testing"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// Guards against tasks that run twice: a start that is sent once the grant has ended has no expiry, so the worker
// may carry it out at any time.
func TestStartAfterGrantIsNotSent(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.g.mu.Lock()
	e.g.grantUntil = e.g.config.Now()
	e.g.mu.Unlock()
	key := tracker.RunKey{Task: taskID(0), Number: 1}
	_, err := e.g.sendStart(context.Background(), key, worker.incarnation, messenger.WorkOrder{Kind: messenger.WorkStart, Task: key.Task.String(), Run: 1})
	if !IsErrWorkerUnreachable(err) {
		t.Errorf("the start ends with %v", err)
	}
	worker.withLock(func() {
		if len(worker.starts) > 0 {
			t.Errorf("starts were sent: %+v", worker.starts)
		}
	})
}
