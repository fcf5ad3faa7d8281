package controller

import (
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// observe matches a usage report, which lags, to what was on the VM in the
// window that it measured.
func (o *owner) observe(s *session, p messenger.Poll) {
	now := o.config.Now()
	s.pruneHistory(now)
	if p.Usage == nil || o.config.Observe == nil {
		return
	}
	from, to := time.UnixMilli(p.Usage.FromMillis), time.UnixMilli(p.Usage.ToMillis)
	var placed []Placement
	for _, h := range s.history {
		if h.From.Before(to) && (h.To.IsZero() || h.To.After(from)) {
			placed = append(placed, h)
		}
	}
	o.config.Observe(p.Capacity.VM, *p.Usage, placed)
}

func (s *session) openHistory(t *bookkeeper.Task, now time.Time) {
	s.history = append(s.history, Placement{TaskID: t.Spec.ID, Class: t.Spec.Class, Service: t.Spec.Service, Percent: t.Percent, From: now.Round(0)})
}

func (s *session) closeHistory(id string, now time.Time) {
	for i := range s.history {
		if s.history[i].TaskID == id && s.history[i].To.IsZero() {
			s.history[i].To = now.Round(0)
		}
	}
}

func (s *session) pruneHistory(now time.Time) {
	kept := s.history[:0]
	for _, h := range s.history {
		if h.To.IsZero() || now.Sub(h.To) < historyFor {
			kept = append(kept, h)
		}
	}
	s.history = kept
}
