package tracker

import "time"

// Pauses between requests for advice on one step.
const (
	adviceRetryDelay = 300 * time.Millisecond // after a request that failed, or the first that allowed nothing
	adviceRetryMax   = 10 * time.Second       // doubled up to this with each further one that allowed nothing
)

// Advice is what the advising service has answered on the VMs that may run a step.
type Advice struct {
	Tickets map[string]Ticket // by VM
	// NotBefore is the earliest time of the next request after one that failed.
	NotBefore time.Time
	// AskAgainAt is the earliest time of the next request that names only VMs that were refused.
	AskAgainAt time.Time
	refusals   int // requests in a row that allowed nothing
}

// Ticket permits tasks of a step to start on a VM.
type Ticket struct {
	Text        string    // empty: the service refused the VM
	Incarnation string    // the only incarnation of the worker for which it is valid
	Until       time.Time // end of its validity
	AskedAt     time.Time
}

// TicketFor returns the ticket that is valid for a VM now.
func (s *Step) TicketFor(vm *VM, now time.Time) (string, bool) {
	t, ok := s.Advice.Tickets[vm.Name]
	return t.Text, ok && t.Incarnation == vm.Incarnation && now.Before(t.Until)
}

// LastTicket returns the last answer on the present incarnation of a VM's worker, valid or not.
func (s *Step) LastTicket(vm *VM) (t Ticket, ok bool) {
	t, ok = s.Advice.Tickets[vm.Name]
	return t, ok && t.Incarnation == vm.Incarnation
}

// RecordAdvice records an answer: the tickets of the VMs that were asked about, by VM.
func (s *Step) RecordAdvice(tickets map[string]Ticket, now time.Time) {
	a := &s.Advice
	if a.Tickets == nil {
		a.Tickets = make(map[string]Ticket)
	}
	allowed := false
	for vm, t := range tickets {
		t.AskedAt = now
		a.Tickets[vm] = t
		allowed = allowed || t.Text != ""
	}
	if allowed {
		a.refusals = 0
		return
	}
	pause := adviceRetryDelay
	for n := 0; n < a.refusals && pause < adviceRetryMax; n++ {
		pause = min(2*pause, adviceRetryMax)
	}
	a.refusals++
	a.AskAgainAt = now.Add(pause)
}

// RecordAdviceFailure records that a request was not answered.
func (s *Step) RecordAdviceFailure(now time.Time) {
	s.Advice.NotBefore = now.Add(adviceRetryDelay)
}
