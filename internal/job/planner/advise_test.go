package planner

import (
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
			j.Occurrences[0].Steps[0].Tickets = tt.tickets
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
	j.Occurrences[0].Steps[0].Tickets = map[string]tracker.Ticket{"one": {Incarnation: "1"}}
	q, _ := NextAdviceRequest(Input{Now: begin, State: b.state})
	if len(q.VMs) != 2 || q.VMs[0].Name != "two" {
		t.Errorf("request names %v", q.VMs)
	}
}
