package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of room for gangs. They cover a gang whose label or limit per VM leaves it only VMs on which
// long-running tasks hold what its members need together: these tasks do not end by themselves, so it
// would never start.
const (
	// gangPatience is how long a gang waits before long-running tasks make room for it, as long as one of
	// them may be unavailable before it takes precedence over others.
	gangPatience = returnAfter
	// gangSearchInterval is the time between searches for the same gang.
	gangSearchInterval = time.Second
	// maxGangSearches bounds a round. Gangs that no arrangement can hold are searched for again and again.
	maxGangSearches = 2
	// gangRoomHold is how long the room is held after the decision: a stop takes a second at most.
	gangRoomHold = rotationHold
)

// GangRoom is the result of a search for room for a gang.
type GangRoom struct {
	Gang  *tracker.Step
	VMs   []*tracker.VM // that get the members, by index; nil: there is no room yet
	Stops []GangStop    // none, and no VMs: none are needed, or no arrangement was found
}

// GangStop is a long-running run to stop for a gang.
type GangStop struct {
	Run *tracker.Run
	To  *tracker.VM // with free capacity for it; nil: it waits until there is some
}

// Record returns the record of the search to store in the gang's step.
func (g GangRoom) Record(now time.Time) tracker.GangRoom {
	record := tracker.GangRoom{SearchedAt: now}
	for _, vm := range g.VMs {
		record.VMs, record.Until = append(record.VMs, vm.Name), now.Add(gangRoomHold)
	}
	return record
}

// Relocation returns the record of the move to store in the task of a stop, if it moves.
func (s GangStop) Relocation(now time.Time) tracker.Relocation {
	return tracker.Relocation{From: s.Run.VM.Name, To: s.To.Name, Hold: moveHold, Until: now.Add(moveHold)}
}

// GangRooms searches for room for the gangs that have waited too long, those first whose last search is
// longest ago, and returns the results. Room is made for one gang at a time.
func GangRooms(in Input) (rooms []GangRoom) {
	if len(in.State.GangsWithRoom(in.Now)) > 0 {
		return nil
	}
	in.Cache = nil // searches are rare and must be based on the present state
	r := newRound(in)
	gangs := r.blockedGangs()
	if len(gangs) == 0 {
		return nil
	}
	r.loadVMs()
	r.placeOverdue(r.waitingSteps()) // capacity that these get or wait for is not available to gangs
	for _, s := range gangs[:min(len(gangs), maxGangSearches)] {
		if len(newLoadedRound(in).placeGang(s)) > 0 {
			rooms = append(rooms, GangRoom{Gang: s}) // it starts in its turn, after tasks that take precedence
			continue
		}
		room, _ := r.searchGangRoom(s)
		rooms = append(rooms, room)
		if len(room.Stops) > 0 {
			break
		}
	}
	return rooms
}

// blockedGangs returns the gangs that have waited so long that long-running tasks make room for them.
func (r *round) blockedGangs() []*tracker.Step {
	gangs := slices.DeleteFunc(r.waitingSteps(), func(s *tracker.Step) bool {
		return !mayGetRoom(s) || !s.AllWait(r.now) || r.waitedTogether(s) < gangPatience || r.now.Sub(s.Room.SearchedAt) < gangSearchInterval ||
			s.Occurrence.Job.Queue.Priority > 0 && r.underPressure() || !r.holdings.allows(s, len(s.Tasks))
	})
	slices.SortStableFunc(gangs, func(a, b *tracker.Step) int { return a.Room.SearchedAt.Compare(b.Room.SearchedAt) })
	return gangs
}

// mayGetRoom reports whether long-running tasks make room for a step at all. Best-effort tasks use only
// what others leave idle.
func mayGetRoom(s *tracker.Step) bool { return s.Spec.Gang && !s.Spec.BestEffort }

// waitedTogether is how long all tasks of a step have been waiting.
func (r *round) waitedTogether(s *tracker.Step) time.Duration {
	since := s.ReadyAt
	for _, t := range s.Tasks {
		if t.WaitSince.After(since) {
			since = t.WaitSince
		}
	}
	return r.now.Sub(since)
}
