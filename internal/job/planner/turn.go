package planner

import (
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of turns. They answer a fleet that is too small for its lasting and its urgent tasks
// together: lasting tasks that are overdue would come back in the place of urgent ones, which
// end soon and gain more. They come back in the place of other lasting ones.
const (
	// turnsAtOnce bounds a round, and turnVMs is for how many VMs there may be one more on a
	// large fleet: many tasks are lost together, and become overdue together.
	turnsAtOnce = 4
	turnVMs     = 10
	// turnHold is how long the room of a turn is held once it was decided: a stop takes a
	// second at most.
	turnHold = 2500 * time.Millisecond
	// turnWait is how long after it has become overdue a task may wait for a turn before it
	// claims the room of urgent tasks.
	turnWait = 1500 * time.Millisecond
)

// Turn is a lasting run that should stop for a lasting task that has been away for long.
type Turn struct {
	Run  *accountant.Run
	Task *accountant.Task
}

// Moving returns what is noted of the task that comes back.
func (t Turn) Moving(now time.Time) accountant.Moving {
	return accountant.Moving{To: t.Run.VM.Name, Until: now.Add(turnHold)}
}

// Turns returns the lasting runs whose turn it is to be away while urgent tasks wait for
// room.
func Turns(in Input) (turns []Turn) {
	r := newRound(in)
	if !r.pressed() {
		return nil
	}
	overdue := r.overdueTasks(r.state.WaitingSteps(r.now))
	if len(overdue) == 0 {
		return nil
	}
	r.openRooms()
	candidates := r.yieldable()
	stops := make(map[*accountant.Step]bool) // one of a step in a round
	for _, t := range overdue {
		if len(turns) == max(turnsAtOnce, len(r.rooms)/turnVMs) {
			break
		}
		if t.Moving(r.now) {
			continue
		}
		for _, run := range candidates {
			if !stops[run.Step()] && r.takesTurn(run, t) {
				turns = append(turns, Turn{run, t})
				stops[run.Step()] = true
				break
			}
		}
	}
	return turns
}

// takesTurn tells whether a task fits in the place of a lasting run of another step.
func (r *round) takesTurn(run *accountant.Run, t *accountant.Task) bool {
	s := t.Step
	m := r.roomOf(run.VM.Name)
	if run.Step() == s || m == nil || m.vm.Slow() || t.Shunned[m.vm.Name] {
		return false
	}
	free := m.free.Add(run.Step().Spec.Committed())
	if !free.Fits(s.Spec.Committed()) || !m.mayAdmit(s, r.countOf(s)[m.vm]) {
		return false
	}
	m.free = free.Sub(s.Spec.Committed())
	r.countOf(s)[m.vm]++
	return true
}
