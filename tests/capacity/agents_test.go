package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// fakeAgent polls an owner as an agent does, but runs nothing: it reports each
// ordered task as running until its run time has passed.
type fakeAgent struct {
	address  string
	capacity messenger.Capacity
	mu       sync.Mutex
	tasks    map[messenger.TaskAttempt]*fakeTask
	ended    chan struct{}
}

type fakeTask struct {
	report messenger.TaskReport
	ends   time.Time
}

// startAgents connects the agents of n VMs with 64 processors each until the test ends.
func startAgents(b *testing.B, address string, n int) []*fakeAgent {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	b.Cleanup(func() { cancel(); wg.Wait() })
	var agents []*fakeAgent
	for i := range n {
		a := &fakeAgent{
			address: address, tasks: make(map[messenger.TaskAttempt]*fakeTask), ended: make(chan struct{}, 1),
			capacity: messenger.Capacity{
				VM: fmt.Sprintf("vm-%04d", i), Zone: "zone-" + string(rune('a'+i%3)), Rack: fmt.Sprintf("rack-%d", i/3),
				Total: describer.Resources{Millicores: 64000, MemoryBytes: 250 << 30},
			},
		}
		agents = append(agents, a)
		wg.Go(func() { a.run(ctx) })
	}
	return agents
}

// dial connects, retrying until ctx ends.
func dial(ctx context.Context, address string) *connector.Conn {
	for ctx.Err() == nil {
		conn, err := connector.Dial(ctx, address, func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
			return messenger.Empty{}, nil
		})
		if err == nil {
			return conn
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (a *fakeAgent) run(ctx context.Context) {
	conn := dial(ctx, a.address)
	if conn == nil {
		return
	}
	defer conn.Close()
	p := messenger.Poll{Cell: "main", AgentID: "agent-" + a.capacity.VM, Incarnation: 1, Capacity: a.capacity, WaitMillis: 1000}
	lastUsage := time.Now()
	for ctx.Err() == nil {
		p.Sequence++
		p.Tasks, p.Usage = a.reports(), nil
		if time.Since(lastUsage) >= time.Second {
			p.Usage, lastUsage = a.usage(lastUsage), time.Now()
		}
		var reply messenger.PollReply
		if err := conn.Call(ctx, messenger.MethodPoll, p, &reply); err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		p.Epoch = reply.Epoch
		a.applyReply(reply)
	}
}

func (a *fakeAgent) reports() []messenger.TaskReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []messenger.TaskReport
	now := time.Now()
	for _, t := range a.tasks {
		if t.report.State == messenger.ReportRunning && now.After(t.ends) {
			t.report.State = messenger.ReportCompleted
		}
		list = append(list, t.report)
	}
	return list
}

func (a *fakeAgent) usage(from time.Time) *messenger.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := &messenger.Usage{FromMillis: from.UnixMilli(), ToMillis: time.Now().UnixMilli(), MillicoresAll: 30000}
	for at := range a.tasks {
		u.Tasks = append(u.Tasks, messenger.TaskUsage{TaskID: at.TaskID, Millicores: 1900, MemoryBytes: 3 << 30, ProgressPermille: 950})
	}
	u.Services = []messenger.ServiceLoad{{Service: "labelling", Requests: 300, MeanMicros: 12000, P99Micros: 60000}}
	return u
}

func (a *fakeAgent) applyReply(r messenger.PollReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range r.Acked {
		delete(a.tasks, at)
	}
	for _, o := range r.Orders {
		at := messenger.TaskAttempt{TaskID: o.TaskID, Attempt: o.Attempt}
		t := a.tasks[at]
		switch {
		case o.Kind == messenger.OrderStart && t == nil:
			a.tasks[at] = &fakeTask{ends: time.Now().Add(messenger.FromMillis(o.RunTime)), report: messenger.TaskReport{
				TaskID: o.TaskID, Attempt: o.Attempt, State: messenger.ReportRunning,
				Needs: o.Needs, Class: o.Class, Tenant: o.Tenant, Service: o.Service,
			}}
		case (o.Kind == messenger.OrderStop || o.Kind == messenger.OrderCheckpoint) && t != nil:
			t.report.State = messenger.ReportStopped
		}
	}
}

// countTasks counts the tasks of all agents.
func countTasks(agents []*fakeAgent) int {
	n := 0
	for _, a := range agents {
		a.mu.Lock()
		n += len(a.tasks)
		a.mu.Unlock()
	}
	return n
}

// startHeartbeats opens sessions of n agents with an entry, as announcers do.
func startHeartbeats(b *testing.B, address string, n int) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	b.Cleanup(func() { cancel(); wg.Wait() })
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond) // spread over time
			conn := dial(ctx, address)
			if conn == nil {
				return
			}
			defer conn.Close()
			id := fmt.Sprintf("agent-%04d", i)
			upstreams := []messenger.Upstream{{ID: "up-" + id, Service: "labelling", Slots: 8, Connections: 64, State: messenger.UpstreamReady}}
			var reply messenger.AnnounceReply
			_ = conn.Call(ctx, messenger.MethodAnnounce, messenger.Announce{
				AgentID: id, Incarnation: 1, VM: id, Zone: "zone-a", Rack: "rack-1", Upstreams: upstreams,
			}, &reply)
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for seq := int64(1); ctx.Err() == nil; seq++ {
				_ = conn.Call(ctx, messenger.MethodHeartbeat, messenger.Heartbeat{AgentID: id, Incarnation: 1, Sequence: seq, Upstreams: upstreams}, &reply)
				select {
				case <-tick.C:
				case <-ctx.Done():
				}
			}
		})
	}
}
