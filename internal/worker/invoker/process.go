package invoker

import (
	"slices"

	"bamboospread/internal/kernel/inspector"
	"bamboospread/internal/worker/guardian"
)

// process is a process that an executor has stated.
type process struct {
	incarnation string // the latest one that it has described
	identity    inspector.Identity
	watched     *inspector.Process // nil: it can't be seen from here
}

func (p *process) hasEnded() bool { return p.watched != nil && p.watched.Ended() }

// lives reports whether the process is known to live.
func (p *process) lives() bool { return p.watched != nil && !p.watched.Ended() }

func (p *process) close() {
	if p.watched != nil {
		p.watched.Close()
	}
}

// watch watches the process that an executor has stated with its description, if it can be seen from
// here. An earlier one is kept while it lives: its runs go on, whoever answers at the address now.
func (i *Invoker) watch(incarnation string, stated *inspector.Identity) {
	i.mu.Lock()
	defer i.mu.Unlock()
	latest := &process{incarnation: incarnation}
	if stated != nil {
		latest.identity = *stated
	}
	var kept []*process
	for _, p := range i.processes {
		switch {
		case stated != nil && p.identity == *stated:
			latest.watched = p.watched
		case p.lives():
			kept = append(kept, p)
		default:
			p.close()
		}
	}
	if latest.watched == nil && stated != nil {
		if watched, err := inspector.Open(*stated); err == nil {
			latest.watched = watched
		}
	}
	i.processes = append(kept, latest)
}

func (i *Invoker) closeProcesses() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.processes {
		p.close()
	}
	i.processes = nil
}

// pollError returns the error of a failed poll. It says whether the process of the executor that has
// described itself last has ended.
func (i *Invoker) pollError(err error) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := len(i.processes); n > 0 && i.processes[n-1].hasEnded() {
		return guardian.ErrWorkerEnded{Incarnation: i.processes[n-1].incarnation, Cause: err}
	}
	return err
}

// formerProcess returns an error if a poll is meant for an incarnation that replaces one whose process
// lives; otherwise nil.
func (i *Invoker) formerProcess(c guardian.PollCall) *guardian.ErrFormerWorkerLives {
	i.mu.Lock()
	defer i.mu.Unlock()
	former := slices.IndexFunc(i.processes, func(p *process) bool {
		return c.Replaces != "" && p.incarnation == c.Replaces && p.lives()
	})
	if former < 0 {
		return nil
	}
	return &guardian.ErrFormerWorkerLives{Incarnation: c.Replaces, PID: i.processes[former].identity.PID}
}
