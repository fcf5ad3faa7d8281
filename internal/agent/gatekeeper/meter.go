package gatekeeper

import (
	"slices"
	"time"

	"bamboospread/internal/wire/messenger"
)

const maxSamples = 4096

// loadMeter gathers the times of the requests of one service in a window.
type loadMeter struct {
	requests int64
	sum      time.Duration
	samples  []time.Duration
}

func (m *loadMeter) observe(took time.Duration) {
	m.requests++
	m.sum += took
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, took)
		return
	}
	m.samples[m.requests%maxSamples] = took
}

// TakeServiceLoad returns what was measured since it was last called.
func (g *Gatekeeper) TakeServiceLoad() []messenger.ServiceLoad {
	g.mu.Lock()
	loads := g.loads
	g.loads = make(map[string]*loadMeter)
	g.mu.Unlock()
	list := make([]messenger.ServiceLoad, 0, len(loads))
	for service, m := range loads {
		slices.Sort(m.samples)
		list = append(list, messenger.ServiceLoad{
			Service: service, Requests: m.requests,
			MeanMicros: (m.sum / time.Duration(m.requests)).Microseconds(),
			P99Micros:  m.samples[(len(m.samples)-1)*99/100].Microseconds(),
		})
	}
	return list
}
