package tracker

import (
	"context"
	"sync/atomic"
	"time"

	"bamboospread/internal/request/balancer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// began is the zero of stamps. Differences to it are monotonic, so that a step of
// the wall clock makes no upstream look silent or fresh.
var began = time.Now()

func stamp(t time.Time) int64 { return int64(t.Sub(began)) }

// Snapshot is what an entry knows of upstreams at one moment.
type Snapshot struct {
	services map[string][]*Upstream
	agents   map[string]*atomic.Int64 // attempts awaited, by agent
}

// Upstreams returns the upstreams of a service in the order of their ids, also
// those that take nothing new.
func (s *Snapshot) Upstreams(service string) []*Upstream { return s.services[service] }

// CountAgents returns the number of agents with a session.
func (s *Snapshot) CountAgents() int { return len(s.agents) }

func (s *Snapshot) outstanding(agent string) int {
	if n := s.agents[agent]; n != nil {
		return int(n.Load())
	}
	return 0
}

// load counts the requests of one upstream. It outlives snapshots.
type load struct {
	own    atomic.Int64 // sent by this entry and not answered
	others atomic.Int64 // of other entries, by the last report
}

// report takes the number of requests that the agent counts. What is beyond this
// entry's own is the others'.
func (l *load) report(inFlight int) {
	l.others.Store(max(0, int64(inFlight)-l.own.Load()))
}

// Upstream is one upstream of a snapshot.
type Upstream struct {
	described messenger.Upstream
	agentID   string
	vm        string
	zone      string
	conn      *connector.Conn
	beat      *atomic.Int64
	awaited   *atomic.Int64
	confirmed *atomic.Bool
	expiry    time.Duration
	load      *load
	health    *balancer.Health
	since     time.Time
}

// ID returns the id of the upstream.
func (u *Upstream) ID() string { return u.described.ID }

// AgentID returns the id of the agent beside the upstream.
func (u *Upstream) AgentID() string { return u.agentID }

// VM returns the VM of the upstream.
func (u *Upstream) VM() string { return u.vm }

// Zone returns the availability zone of the upstream.
func (u *Upstream) Zone() string { return u.zone }

// Slots returns how many requests the upstream runs at once.
func (u *Upstream) Slots() int { return u.described.Slots }

// Health returns the record of its results.
func (u *Upstream) Health() *balancer.Health { return u.health }

// Ready tells whether the upstream may be sent new work now. The age of the last
// heartbeat is judged here, with the time read at the moment of choosing, and
// not by a timer: an entry that was paused (SIGSTOP) chooses with its old
// snapshot before any timer of it has fired, and would send work to an upstream
// that left meanwhile. Heartbeats that wait in its socket may refresh the age for
// some milliseconds; then the agent itself refuses.
func (u *Upstream) Ready(now time.Time) bool {
	return u.described.State == messenger.UpstreamReady && u.confirmed.Load() &&
		time.Duration(stamp(now)-u.beat.Load()) <= u.expiry
}

// InFlight returns the requests of this entry and, as far as known, of others.
func (u *Upstream) InFlight() int { return int(u.load.own.Load() + u.load.others.Load()) }

// OthersInFlight returns the requests of other entries, as far as known.
func (u *Upstream) OthersInFlight() int { return int(u.load.others.Load()) }

// Candidate returns what the balancer needs to know.
func (u *Upstream) Candidate(now time.Time) balancer.Candidate {
	return balancer.Candidate{
		Zone: u.zone, Slots: u.described.Slots, InFlight: u.InFlight(),
		Latency: u.health.Latency(now), Age: now.Sub(u.since), Health: u.health.Status(now),
	}
}

// Run sends one attempt to the agent of the upstream. Without an error the reply
// is the agent's; with one it is not known whether the request ran, unless the
// agent said that it did nothing.
func (u *Upstream) Run(ctx context.Context, r messenger.RunRequest) (messenger.RunReply, error) {
	u.load.own.Add(1)
	u.awaited.Add(1)
	var reply messenger.RunReply
	err := u.conn.Call(ctx, messenger.MethodRun, r, &reply)
	u.awaited.Add(-1)
	u.load.own.Add(-1)
	if err == nil {
		u.load.report(reply.InFlight)
	}
	return reply, err
}
