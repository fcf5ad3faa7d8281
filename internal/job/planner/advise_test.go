package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Tasks of an advised queue start only with a ticket that is valid for the VM, the current
// incarnation of its worker, and the present time.
func TestAdvisedQueue(t *testing.T) {
	good := tracker.Ticket{Text: "t", Incarnation: "1", Until: begin.Add(time.Second)}
	tests := []struct {
		name      string
		tickets   map[string]tracker.Ticket
		starts    int
		requested int // VMs named in the request
	}{
		{"no request yet", nil, 0, 2},
		{"a ticket for one VM", map[string]tracker.Ticket{"one": good}, 2, 0},
		{"of an earlier incarnation", map[string]tracker.Ticket{"one": {Text: "t", Incarnation: "0", Until: good.Until}}, 0, 2},
		{"expired", map[string]tracker.Ticket{"one": {Text: "t", Incarnation: "1", Until: begin}}, 0, 2},
		{"about to expire", map[string]tracker.Ticket{"one": {Text: "t", Incarnation: "1", Until: begin.Add(ticketMargin / 2)}}, 2, 2},
		{"refused", map[string]tracker.Ticket{"one": {Incarnation: "1"}, "two": {Incarnation: "1"}}, 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(specifier.Queue{Name: "q", Advised: true})
			for _, name := range []string{"one", "two"} {
				b.vm(name, "in", "r1", cores(8)).WorkerID = "i-" + name
			}
			j := b.job("q", specifier.Step{Count: 2, Needs: cores(1)})
			j.Occurrences[0].Steps[0].Advice.Tickets = tt.tickets
			starts := b.plan(begin)
			if len(starts) != tt.starts {
				t.Errorf("%d tasks start", len(starts))
			}
			for _, s := range starts {
				if s.VM.Name != "one" || s.Ticket != "t" {
					t.Errorf("task starts on %s with ticket %q", s.VM.Name, s.Ticket)
				}
			}
			q, ok := NextAdviceRequest(Input{Now: begin, State: b.state})
			if ok != (tt.requested > 0) || len(q.VMs) != tt.requested {
				t.Errorf("request names %d VMs", len(q.VMs))
			}
		})
	}
}

func TestRefusedVMsComeLastInRequest(t *testing.T) {
	b := newFixture(specifier.Queue{Name: "q", Advised: true})
	for _, name := range []string{"one", "two"} {
		b.vm(name, "in", "r1", cores(8)).WorkerID = "i-" + name
	}
	j := b.job("q", specifier.Step{Count: 1, Needs: cores(1)})
	j.Occurrences[0].Steps[0].Advice.Tickets = map[string]tracker.Ticket{"one": {Incarnation: "1"}}
	q, _ := NextAdviceRequest(Input{Now: begin, State: b.state})
	if len(q.VMs) != 2 || q.VMs[0].Name != "two" {
		t.Errorf("request names %v", q.VMs)
	}
}

// advisedFixture has VMs with room for a task of four cores each, of which the first has the most free
// capacity and the last the least.
func advisedFixture(vms int) *fixture {
	b := newFixture(specifier.Queue{Name: "q", Advised: true})
	for i := range vms {
		b.vm(fmt.Sprintf("vm-%03d", i), "in", "r", specifier.Resources{CPUMillis: 7000 - int64(i), MemoryMB: 8000}).WorkerID = fmt.Sprint("i-", i)
	}
	return b
}

// advise answers the next request, if there is one, and returns the VMs that it named.
func (b *fixture) advise(now time.Time, validity time.Duration, allows func(s *tracker.Step, vm string) bool) (named []string) {
	q, ok := NextAdviceRequest(Input{Now: now, State: b.state})
	if !ok {
		return nil
	}
	tickets := make(map[string]tracker.Ticket)
	for _, vm := range q.VMs {
		named = append(named, vm.Name)
		t := tracker.Ticket{Incarnation: vm.Incarnation}
		if allows(q.Step, vm.Name) {
			t.Text, t.Until = "t", now.Add(validity)
		}
		tickets[vm.Name] = t
	}
	q.Step.RecordAdvice(tickets, now)
	return named
}

// Guards against tasks that wait although the advising service would allow VMs on which they fit: no
// request names these VMs while another VM has a ticket.
func TestAdviceReachesEveryVM(t *testing.T) {
	const vms = 110
	task := specifier.Step{Count: 1, Needs: cores(4), EstimateMillis: 1000}
	change := func(f func(*specifier.Step)) specifier.Step { s := task; f(&s); return s }
	last, first := fmt.Sprintf("vm-%03d", vms-1), "vm-000"
	tests := []struct {
		name    string
		step    specifier.Step
		allowed []string
		prepare func(b *fixture)
		want    int // tasks that start
	}{
		{"the last of many VMs", task, []string{last}, nil, 1},
		{"a gang on VMs of different requests", change(func(s *specifier.Step) { s.Count, s.Gang = 3, true }), []string{first, "vm-050", last}, nil, 3},
		{"a VM with the label after one without", change(func(s *specifier.Step) { s.Label = "b" }), []string{first, last}, func(b *fixture) {
			b.state.VMs[last].Labels["b"] = true
		}, 1},
		{"another VM than one on probation", task, []string{first, last}, func(b *fixture) {
			vm := b.state.VMs[first]
			vm.Health.ConsecutiveQuarantines = 1
			b.state.Place(b.job("q", specifier.Step{Count: 1}).Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		}, 1},
		{"more VMs than the limit per VM leaves", change(func(s *specifier.Step) { s.Count, s.MaxPerVM, s.Needs = 2, 1, cores(1) }), []string{first, last}, nil, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := advisedFixture(vms)
			if tt.prepare != nil {
				tt.prepare(b)
			}
			s := b.job("q", tt.step).Occurrences[0].Steps[0]
			// A ticket is valid for longer than the requests for all VMs take, and users count a job as
			// lost after 3 s.
			for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
				b.advise(begin.Add(at), 10*time.Second, func(_ *tracker.Step, vm string) bool { return slices.Contains(tt.allowed, vm) })
				b.apply(b.plan(begin.Add(at)), begin.Add(at))
			}
			started := 0
			for _, task := range s.Tasks {
				started += len(task.Runs)
			}
			if started != tt.want {
				t.Errorf("%d tasks start, want %d", started, tt.want)
			}
		})
	}
}

// Guards against a VM that is never asked about again once its ticket has expired or it was refused,
// since others have more free capacity.
func TestAdviceIsRepeatedForEveryVM(t *testing.T) {
	b := advisedFixture(50)
	b.job("q", specifier.Step{Count: 1, Needs: cores(4)})
	named := make(map[string]int)
	for at := time.Duration(0); at < 2*time.Minute; at += 100 * time.Millisecond {
		for _, vm := range b.advise(begin.Add(at), 0, func(*tracker.Step, string) bool { return false }) {
			named[vm]++
		}
	}
	for vm := range b.state.VMs {
		if named[vm] < 2 {
			t.Errorf("%s was named in %d requests", vm, named[vm])
		}
	}
}

// Guards against steps that nothing allows and that keep a later one from being asked about. It waits
// for the answer in progress and its own.
func TestHopelessStepsDontDelayAdvice(t *testing.T) {
	for _, answer := range []time.Duration{10 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(answer.String(), func(t *testing.T) {
			b := advisedFixture(11)
			for range 100 {
				b.job("q", specifier.Step{Count: 1, Needs: cores(4), LongRunning: true})
			}
			var job *tracker.Job
			allows := func(s *tracker.Step, _ string) bool { return s.Occurrence.Job == job }
			now, arrived := begin, begin.Add(101*answer+30*time.Second)
			for ; now.Before(arrived); now = now.Add(answer) {
				b.advise(now, time.Second, allows)
			}
			job = b.job("q", specifier.Step{Count: 1, Needs: cores(4)})
			for ; now.Sub(arrived) <= time.Minute; now = now.Add(answer) {
				if b.advise(now, time.Second, allows); len(b.plan(now)) > 0 {
					break
				}
			}
			if waited := now.Sub(arrived); waited > 2*answer {
				t.Errorf("it starts %s after it came, want at most %s", waited, 2*answer)
			}
		})
	}
}
