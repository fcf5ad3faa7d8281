package runner

import (
	"time"

	"bamboospread/internal/wire/messenger"
)

const (
	loadsKept  = 30 * time.Second
	loadsApart = 1500 * time.Millisecond // that windows of worker and agent may end apart
)

// timedLoad is what the local upstreams did until a moment.
type timedLoad struct {
	to       time.Time
	services []messenger.ServiceLoad
}

// keepLoad notes what the upstreams did since the last call.
func (r *Runner) keepLoad(now time.Time, services []messenger.ServiceLoad) {
	r.loads = append(r.loads, timedLoad{to: now, services: services})
	for now.Sub(r.loads[0].to) > loadsKept {
		r.loads = r.loads[1:]
	}
}

// loadAt returns the load of the window that ended nearest to a moment. The
// worker's report lags while the agent's own measurement doesn't: sent together,
// the owner would match the answers of now to the tasks of then, and put a
// slowdown down to tasks that had not started. Without a window that near, the
// load counts as unknown.
func (r *Runner) loadAt(to time.Time) []messenger.ServiceLoad {
	var best []messenger.ServiceLoad
	least := loadsApart
	for _, l := range r.loads {
		if apart := l.to.Sub(to).Abs(); apart <= least {
			best, least = l.services, apart
		}
	}
	return best
}
