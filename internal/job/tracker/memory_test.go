package tracker

import (
	"runtime"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against an owner that outgrows its process: 40 of the largest jobs that wait took 251 MB.
func TestMemoryOfWaitingTasks(t *testing.T) {
	const jobs, most = 40, 150 // bytes a task
	tr := New(Config{Policy: &specifier.Policy{}})
	before := liveBytes()
	for n := range jobs {
		spec := &specifier.Job{ID: jobID(n + 1), Queue: "q", Steps: []specifier.Step{{Count: specifier.MaxTasks, Needs: oneCore, EstimateMillis: 1000}}, AcceptedMillis: begin.UnixMilli()}
		tr.AddJob(spec, time.Time{}, begin)
	}
	if got := (liveBytes() - before) / (jobs * specifier.MaxTasks); got > most {
		t.Errorf("%d bytes for each waiting task, want at most %d", got, most)
	}
	runtime.KeepAlive(tr)
}

func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
