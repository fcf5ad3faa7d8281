package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

// linkFault resets and refuses connections of one link while both of its processes live.
type linkFault struct {
	name   string
	shows  string // a message that shows that the fault took effect
	inject func(ctx context.Context, r *jobTestbed)
}

var unreachable = proxy.Faults{Unreachable: true}

// setFor sets the faults of proxies for a while.
func setFor(ctx context.Context, d time.Duration, f proxy.Faults, links ...*proxy.Proxy) {
	for _, l := range links {
		l.Set(f)
	}
	wait(ctx, d)
	for _, l := range links {
		l.Reset()
	}
}

// otherEntry returns an entry that does not own the jobs' cell.
func (r *jobTestbed) otherEntry() *harness.Entry {
	owner := r.jobOwner()
	for _, e := range r.Entries {
		if e != owner {
			return e
		}
	}
	return nil
}

// Durations below and above the silence after which a VM is detached, the store's lease and the leases of
// workers.
const (
	briefly       = 700 * time.Millisecond
	beyondSilence = 3 * time.Second
	beyondLeases  = 8 * time.Second
	betweenResets = 250 * time.Millisecond
)

// linkFaults play refused connections between our own processes, and between them and the store.
var linkFaults = []linkFault{
	{"agents and owner, briefly", "owner lost", func(ctx context.Context, r *jobTestbed) {
		setFor(ctx, briefly, unreachable, r.jobOwner().RPCLink)
	}},
	{"agents and owner, for seconds", "VM detached", func(ctx context.Context, r *jobTestbed) {
		setFor(ctx, beyondSilence, unreachable, r.jobOwner().RPCLink)
	}},
	{"agents and owner, beyond the leases", "VM detached", func(ctx context.Context, r *jobTestbed) {
		setFor(ctx, beyondLeases, unreachable, r.jobOwner().RPCLink)
	}},
	{"agents and owner, again and again", "owner lost", func(ctx context.Context, r *jobTestbed) {
		for range 8 {
			setFor(ctx, betweenResets, unreachable, r.jobOwner().RPCLink)
			wait(ctx, betweenResets)
		}
	}},
	{"agents and owner, agents started again meanwhile", "VM detached", func(ctx context.Context, r *jobTestbed) {
		link := r.jobOwner().RPCLink
		link.Set(unreachable)
		for _, vm := range r.JobVMs {
			vm.Agent.Kill()
			vm.Agent.Restart()
		}
		wait(ctx, beyondSilence)
		link.Reset()
	}},
	{"one agent and all entries", "VM detached", func(ctx context.Context, r *jobTestbed) {
		r.SetJobAgentFaults(r.JobVMs[0], proxy.Faults{Refuse: true})
		wait(ctx, beyondSilence)
		r.SetJobAgentFaults(r.JobVMs[0], proxy.Faults{})
	}},
	{"entry and owner, entry without the store", "owner unreachable", func(ctx context.Context, r *jobTestbed) {
		owner, other := r.jobOwner(), r.otherEntry()
		owner.RPCLink.SetFor(other.Name, proxy.Faults{Refuse: true})
		setFor(ctx, beyondSilence, unreachable, other.StoreLink)
		owner.RPCLink.Reset()
	}},
	{"entry and owner, again and again", "owner unreachable", func(ctx context.Context, r *jobTestbed) {
		owner, other := r.jobOwner(), r.otherEntry()
		other.StoreLink.Set(unreachable)
		for range 8 {
			owner.RPCLink.SetFor(other.Name, proxy.Faults{Refuse: true})
			wait(ctx, betweenResets)
			owner.RPCLink.Reset()
			wait(ctx, betweenResets)
		}
		other.StoreLink.Reset()
	}},
	{"owner and store, shorter than its lease", "fleet store unreachable", func(ctx context.Context, r *jobTestbed) {
		setFor(ctx, briefly, unreachable, r.jobOwner().StoreLink)
	}},
	{"owner and store, longer than its lease", "ownership lost", func(ctx context.Context, r *jobTestbed) {
		setFor(ctx, 2*beyondSilence, unreachable, r.jobOwner().StoreLink)
	}},
	{"owner and store, again and again", "fleet store unreachable", func(ctx context.Context, r *jobTestbed) {
		link := r.jobOwner().StoreLink
		for range 8 {
			setFor(ctx, 2*betweenResets, unreachable, link)
			wait(ctx, betweenResets)
		}
	}},
	{"all entries and store", "ownership lost", func(ctx context.Context, r *jobTestbed) {
		setFor(ctx, 2*beyondSilence, unreachable, r.Entries[0].StoreLink, r.Entries[1].StoreLink)
	}},
	{"owner and everything", "ownership lost", func(ctx context.Context, r *jobTestbed) {
		owner := r.jobOwner()
		setFor(ctx, 2*beyondSilence, unreachable, owner.StoreLink, owner.RPCLink)
	}},
}

// TestRefusedConnectionsBetweenProcesses guards against runs, entries and owners that are given up because
// connections to them are reset and refused, as by a filter or a closed listener: tasks must not run twice
// at once, and what was accepted must end.
func TestRefusedConnectionsBetweenProcesses(t *testing.T) {
	seed := harness.Seed(t)
	for _, f := range linkFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			r := newJobTestbed(t, seed)
			r.submitLongTasks()
			ctx, cancel := context.WithTimeout(t.Context(), jobLoadTime)
			defer cancel()
			submitted := make(chan struct{})
			go func() { defer close(submitted); r.submitUntil(ctx) }()
			wait(ctx, 300*time.Millisecond)
			began := time.Now()
			f.inject(t.Context(), r)
			<-submitted
			r.ClearFaults()
			r.awaitJobs()
			r.checkDuplicateRuns()
			r.checkOrder()
			r.checkCapacity()
			if len(r.accepted) < 5 {
				t.Errorf("only %d jobs were accepted", len(r.accepted))
			}
			shown := false
			for _, l := range r.jobLogLines() {
				if hasMessage(l, "worker crashed") || hasMessage(l, "task suspected") {
					t.Errorf("a worker that lives has crashed: %s", l)
				}
				shown = shown || hasMessage(l, f.shows) && loggedAfter(l, began)
			}
			if !shown {
				t.Errorf("no line %q since the fault began", f.shows)
			}
		})
	}
}

func hasMessage(line, message string) bool {
	return strings.Contains(line, fmt.Sprintf("message=%q", message))
}

// loggedAfter reports whether a line was logged after a time.
func loggedAfter(line string, at time.Time) bool {
	_, rest, _ := strings.Cut(line, "timestamp=")
	stamp, _, _ := strings.Cut(rest, " ")
	logged, err := time.Parse(time.RFC3339Nano, stamp)
	return err == nil && logged.After(at)
}
