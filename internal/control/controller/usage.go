package controller

import (
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// observeUsage passes on a usage report together with the tasks that were placed on the VM
// in the measured time window, because reports lag behind placements.
func (o *owner) observeUsage(s *session, p messenger.Poll) {
	now := o.config.Now()
	s.prunePlacements(now)
	if p.Usage == nil || o.config.ObserveUsage == nil {
		return
	}
	from, to := time.UnixMilli(p.Usage.FromMillis), time.UnixMilli(p.Usage.ToMillis)
	var placed []Placement
	for _, placement := range s.placements {
		if placement.From.Before(to) && (placement.To.IsZero() || placement.To.After(from)) {
			placed = append(placed, placement)
		}
	}
	o.config.ObserveUsage(p.Capacity.VM, *p.Usage, placed)
}

func (s *session) addPlacement(t *bookkeeper.Task, now time.Time) {
	s.placements = append(s.placements, Placement{TaskID: t.Spec.ID, Class: t.Spec.Class, Service: t.Spec.Service, Percent: t.Percent, From: now.Round(0)})
}

func (s *session) endPlacement(id string, now time.Time) {
	for i := range s.placements {
		if s.placements[i].TaskID == id && s.placements[i].To.IsZero() {
			s.placements[i].To = now.Round(0)
		}
	}
}

func (s *session) prunePlacements(now time.Time) {
	kept := s.placements[:0]
	for _, placement := range s.placements {
		if placement.To.IsZero() || now.Sub(placement.To) < placementRetention {
			kept = append(kept, placement)
		}
	}
	s.placements = kept
}
