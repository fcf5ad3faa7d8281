package tracker

import (
	"context"
	"sync/atomic"
	"time"

	"bamboospread/internal/request/balancer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// processStart is the reference of stored times. Differences to it use the monotonic
// clock, so that a step of the wall clock does not change the age of a heartbeat.
var processStart = time.Now()

// sinceStart returns the nanoseconds from processStart to t.
func sinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) }

// Snapshot is an immutable view of the agents and upstreams that an entry knows.
type Snapshot struct {
	services map[string][]*Upstream
	agents   map[string]*atomic.Int64 // attempts without an answer, by agent
}

// Upstreams returns the upstreams of a service in the order of their ids, including
// those that accept no new requests.
func (s *Snapshot) Upstreams(service string) []*Upstream { return s.services[service] }

// CountAgents returns the number of agents with a session.
func (s *Snapshot) CountAgents() int { return len(s.agents) }

func (s *Snapshot) outstanding(agent string) int {
	if n := s.agents[agent]; n != nil {
		return int(n.Load())
	}
	return 0
}

// load counts the requests of one upstream. It is shared by successive snapshots.
type load struct {
	own    atomic.Int64 // sent by this entry and not yet answered
	others atomic.Int64 // of other entries, as of the agent's last report
}

// update sets the requests of other entries: the number that the agent reported minus
// this entry's own.
func (l *load) update(inFlight int) {
	l.others.Store(max(0, int64(inFlight)-l.own.Load()))
}

// Upstream is one upstream of a snapshot.
type Upstream struct {
	announced     messenger.Upstream
	agentID       string
	vm            string
	zone          string
	conn          *connector.Conn
	lastHeartbeat *atomic.Int64
	outstanding   *atomic.Int64
	confirmed     *atomic.Bool
	expiry        time.Duration
	load          *load
	health        *balancer.Health
	firstSeen     time.Time
}

// ID returns the id of the upstream.
func (u *Upstream) ID() string { return u.announced.ID }

// AgentID returns the id of the agent that announced the upstream.
func (u *Upstream) AgentID() string { return u.agentID }

// VM returns the VM of the upstream.
func (u *Upstream) VM() string { return u.vm }

// Zone returns the availability zone of the upstream.
func (u *Upstream) Zone() string { return u.zone }

// Slots returns how many requests the upstream runs concurrently.
func (u *Upstream) Slots() int { return u.announced.Slots }

// Health returns the health record of the upstream.
func (u *Upstream) Health() *balancer.Health { return u.health }

// Ready reports whether the upstream may be sent new requests now. The age of the last
// heartbeat is checked here, with the time read for this choice, and not by a timer: an
// entry that was paused (SIGSTOP) chooses with its old snapshot before any of its
// timers has fired, and would send requests to an upstream that left in the meantime.
// Heartbeats buffered in its socket may still make the upstream look ready for some
// milliseconds; in that case the agent refuses the request.
func (u *Upstream) Ready(now time.Time) bool {
	return u.announced.State == messenger.UpstreamReady && u.confirmed.Load() &&
		time.Duration(sinceStart(now)-u.lastHeartbeat.Load()) <= u.expiry
}

// InFlight returns the number of running requests of this entry and, as far as known,
// of other entries.
func (u *Upstream) InFlight() int { return int(u.load.own.Load() + u.load.others.Load()) }

// OtherEntriesInFlight returns the number of running requests of other entries, as far
// as known.
func (u *Upstream) OtherEntriesInFlight() int { return int(u.load.others.Load()) }

// Candidate returns the upstream's state for the balancer.
func (u *Upstream) Candidate(now time.Time) balancer.Candidate {
	return balancer.Candidate{
		Zone: u.zone, Slots: u.announced.Slots, InFlight: u.InFlight(),
		Latency: u.health.Latency(now), Age: now.Sub(u.firstSeen), Health: u.health.Status(now),
	}
}

// Run sends one attempt to the agent of the upstream and returns the agent's reply.
// After an error it is unknown whether the request ran, unless the error has the code
// with which the agent reports that it did nothing.
func (u *Upstream) Run(ctx context.Context, r messenger.RunRequest) (messenger.RunReply, error) {
	u.load.own.Add(1)
	u.outstanding.Add(1)
	var reply messenger.RunReply
	err := u.conn.Call(ctx, messenger.MethodRun, r, &reply)
	u.outstanding.Add(-1)
	u.load.own.Add(-1)
	if err == nil {
		u.load.update(reply.InFlight)
	}
	return reply, err
}
