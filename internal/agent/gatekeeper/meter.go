package gatekeeper

import (
	"slices"
	"time"

	"bamboospread/internal/wire/messenger"
)

const maxSamples = 4096

// loadMeter collects the request times of one service in a window.
type loadMeter struct {
	requests int64
	sum      time.Duration
	samples  []time.Duration
}

func (m *loadMeter) observe(elapsed time.Duration) {
	m.requests++
	m.sum += elapsed
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, elapsed)
		return
	}
	m.samples[m.requests%maxSamples] = elapsed
}

// CollectServiceLoad returns the load measured since the previous call and starts a
// new window.
func (g *Gatekeeper) CollectServiceLoad() []messenger.ServiceLoad {
	g.mu.Lock()
	meters := g.meters
	g.meters = make(map[string]*loadMeter)
	g.mu.Unlock()
	list := make([]messenger.ServiceLoad, 0, len(meters))
	for service, m := range meters {
		slices.Sort(m.samples)
		list = append(list, messenger.ServiceLoad{
			Service: service, Requests: m.requests,
			MeanMicros: (m.sum / time.Duration(m.requests)).Microseconds(),
			P99Micros:  m.samples[(len(m.samples)-1)*99/100].Microseconds(),
		})
	}
	return list
}
