package tallier

import (
	"time"

	"bamboospread/internal/kernel/reporter"
)

// Delay is how long something took from the process that knew it first to the one that acts on it.
// It needs the logs of both, with clocks that agree.
type Delay struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
	Distribution
}

// Names of delays.
const (
	acceptedToOwner = "accepted job to owner"
	startToWorker   = "start decided to run started"
	endToOwner      = "run ended to owner"
)

// delayEvents are the events at which a delay begins and ends, with the fields that identify what is
// delayed.
var delayEvents = []struct {
	name     string
	from, to reporter.Code
	key      func(f fields) string
}{
	{acceptedToOwner, reporter.JobAccepted, reporter.JobLoaded, func(f fields) string { return f["job"] }},
	{startToWorker, reporter.JobStartDecided, reporter.RunStarted, runKey},
	{endToOwner, reporter.RunEnded, reporter.JobRunEnded, runKey},
}

func runKey(f fields) string { return f["task"] + " " + f["run"] }

// delays pairs the events of each delay, in whichever order their logs are read.
type delays struct {
	begun, ended map[string]time.Time // by name and key; only those without the other event
	took         map[string][]time.Duration
}

func newDelays() delays {
	return delays{begun: make(map[string]time.Time), ended: make(map[string]time.Time), took: make(map[string][]time.Duration)}
}

func (d delays) add(code reporter.Code, at time.Time, f fields) {
	for _, e := range delayEvents {
		key := e.name + " " + e.key(f)
		switch code {
		case e.from:
			if end, ok := d.ended[key]; ok {
				delete(d.ended, key)
				d.took[e.name] = append(d.took[e.name], end.Sub(at))
			} else {
				d.begun[key] = at
			}
		case e.to:
			if begin, ok := d.begun[key]; ok {
				delete(d.begun, key)
				d.took[e.name] = append(d.took[e.name], at.Sub(begin))
			} else {
				d.ended[key] = at
			}
		}
	}
}

// all returns the delays of which both events were read.
func (d delays) all() (all []Delay) {
	for _, e := range delayEvents {
		if took := d.took[e.name]; len(took) > 0 {
			all = append(all, Delay{Name: e.name, Count: len(took), Distribution: distributionOf(took)})
		}
	}
	return all
}
