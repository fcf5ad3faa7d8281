package tracker

import (
	"slices"
	"time"
)

// GangRoom is the room that long-running tasks make for a gang.
type GangRoom struct {
	SearchedAt time.Time // when it was last searched for
	VMs        []string  // that hold room for the members, by index; nil: none is held
	Until      time.Time // until then it is held
}

// SetGangRoom records the room for a gang.
func (tr *Tracker) SetGangRoom(s *Step, g GangRoom, now time.Time) {
	s.Room = g
	tr.withRoom = slices.DeleteFunc(tr.withRoom, func(other *Step) bool { return other == s || !other.holdsRoom(now) })
	if s.holdsRoom(now) {
		tr.withRoom = append(tr.withRoom, s)
	}
}

// GangsWithRoom returns the waiting gangs for which room is held.
func (tr *Tracker) GangsWithRoom(now time.Time) []*Step {
	var found []*Step
	for _, s := range tr.withRoom {
		if s.holdsRoom(now) && s.Occurrence.Job.Startable() && s.AllWait(now) {
			found = append(found, s)
		}
	}
	return found
}

func (s *Step) holdsRoom(now time.Time) bool { return s.Room.VMs != nil && now.Before(s.Room.Until) }

// AllWait reports whether all tasks of the step could start now.
func (s *Step) AllWait(now time.Time) bool {
	return !slices.ContainsFunc(s.Tasks, func(t *Task) bool { return !t.Waits(now) })
}
