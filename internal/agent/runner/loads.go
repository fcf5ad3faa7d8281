package runner

import (
	"time"

	"bamboospread/internal/wire/messenger"
)

const (
	loadRetention = 30 * time.Second
	maxLoadOffset = 1500 * time.Millisecond // between the ends of the windows of worker and agent
)

// loadWindow is the load of the local upstreams in a window.
type loadWindow struct {
	end      time.Time
	services []messenger.ServiceLoad
}

// recordLoad stores the load of the upstreams since the last call.
func (r *Runner) recordLoad(now time.Time, services []messenger.ServiceLoad) {
	r.loads = append(r.loads, loadWindow{end: now, services: services})
	for now.Sub(r.loads[0].end) > loadRetention {
		r.loads = r.loads[1:]
	}
}

// loadAt returns the load of the window that ended nearest to the given time.
// The worker's report lags, the agent's own measurement does not. If the current
// load were sent with the worker's report, the owner would match current response
// times with earlier tasks, and attribute a slowdown to tasks that had not
// started. Without a window within maxLoadOffset the load is unknown.
func (r *Runner) loadAt(end time.Time) []messenger.ServiceLoad {
	var best []messenger.ServiceLoad
	least := maxLoadOffset
	for _, l := range r.loads {
		if offset := l.end.Sub(end).Abs(); offset <= least {
			best, least = l.services, offset
		}
	}
	return best
}
