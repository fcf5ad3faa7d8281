package gatekeeper

import (
	"time"

	"bamboospread/internal/wire/messenger"
)

// meanTimeWeight is the inverse weight of one request in the mean time.
const meanTimeWeight = 16

// gate is one local upstream. The Gatekeeper's lock guards its counts; the pool
// has a lock of its own.
type gate struct {
	id          string
	service     string
	address     string
	slots       int
	connections int
	leaving     bool
	renewed     time.Time
	sentMillis  int64 // send time of the last renewal, if the upstream gives it
	inFlight    int
	meanTime    time.Duration
	pool        *pool
}

func (t *gate) describe(state messenger.UpstreamState) messenger.Upstream {
	return messenger.Upstream{
		ID: t.id, Service: t.service, Slots: t.slots, Connections: t.connections,
		State: state, InFlight: t.inFlight,
	}
}
