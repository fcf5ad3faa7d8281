package worker

import (
	"slices"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventStart        EventKind = "start"
	EventCompleted    EventKind = EventKind(messenger.ReportCompleted)
	EventFailed       EventKind = EventKind(messenger.ReportFailed)
	EventStopped      EventKind = EventKind(messenger.ReportStopped)
	EventCheckpointed EventKind = "checkpointed"
	EventLost         EventKind = EventKind(messenger.ReportLost)
)

// Event is a start or an end of an attempt.
type Event struct {
	Time           time.Time           `json:"time"`
	VM             string              `json:"vm"`
	Zone           string              `json:"zone"`
	Task           string              `json:"task"`
	Attempt        int64               `json:"attempt"`
	Event          EventKind           `json:"event"`
	ProgressMillis int64               `json:"progress-ms"` // at the event; at a start: resumed from
	Service        string              `json:"service,omitempty"`
	Committed      describer.Resources `json:"committed"` // of the VM after the event
	OverCommitted  bool                `json:"over-committed,omitempty"`
}

func (w *Worker) recordLocked(t *task, kind EventKind, progress time.Duration) {
	e := Event{
		Time: w.config.Now(), VM: w.config.Capacity.VM, Zone: w.config.Capacity.Zone,
		Task: t.info.TaskID, Attempt: t.info.Attempt, Service: t.info.Service,
		Event: kind, ProgressMillis: progress.Milliseconds(), Committed: w.committedLocked(),
	}
	e.OverCommitted = !e.Committed.Fits(w.config.Capacity.Total)
	w.events = append(w.events, e)
	w.config.Recorder.Append(e)
	if w.config.OnEvent != nil {
		w.config.OnEvent(e)
	}
}

// Events returns the events so far, oldest first.
func (w *Worker) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}
