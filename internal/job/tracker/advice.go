package tracker

import "time"

// adviceRetryDelay is how long a step waits after a request that returned no ticket.
const adviceRetryDelay = 300 * time.Millisecond

// Advice is what the advising service has answered on the VMs that may run a step.
type Advice struct {
	Tickets map[string]Ticket // by VM
	// NotBefore is the earliest time of the next request.
	NotBefore time.Time
}

// Ticket permits tasks of a step to start on a VM.
type Ticket struct {
	Text        string    // empty: the service refused the VM
	Incarnation string    // the only incarnation of the worker for which it is valid
	Until       time.Time // end of its validity
}

// TicketFor returns the ticket that is valid for a VM now.
func (s *Step) TicketFor(vm *VM, now time.Time) (string, bool) {
	t, ok := s.Advice.Tickets[vm.Name]
	return t.Text, ok && t.Incarnation == vm.Incarnation && now.Before(t.Until)
}

// RecordAdvice records an answer: the tickets of the VMs that were asked about, by VM.
func (s *Step) RecordAdvice(tickets map[string]Ticket, now time.Time) {
	a := &s.Advice
	if a.Tickets == nil {
		a.Tickets = make(map[string]Ticket)
	}
	allowed := false
	for vm, t := range tickets {
		a.Tickets[vm] = t
		allowed = allowed || t.Text != ""
	}
	if !allowed {
		a.NotBefore = now.Add(adviceRetryDelay)
	}
}

// RecordAdviceFailure records that a request was not answered.
func (s *Step) RecordAdviceFailure(now time.Time) {
	s.Advice.NotBefore = now.Add(adviceRetryDelay)
}
