package specifier

import (
	"strings"
	"time"
)

// Queue holds the settings of a queue of jobs.
type Queue struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	Prefix      string        `json:"prefix"`       // of the paths that belong to the queue
	Service     string        `json:"service"`      // service whose VMs run its tasks; empty: any
	Priority    int           `json:"priority"`     // 0 is the highest
	MaxFailures int           `json:"max-failures"` // failed runs of a task after which its job fails; 0: no limit
	Slack       float64       `json:"slack"`        // the objective of a job is its critical path times Slack, plus Target
	Target      time.Duration `json:"target"`
	Timeout     time.Duration `json:"timeout"` // of a caller's request
	// Advised queues run tasks only on VMs for which an advising service issued a
	// ticket. A request for advice takes AdviceTime, plus AdvicePerVM for each VM in it.
	Advised     bool          `json:"advised"`
	AdviceTime  time.Duration `json:"advice-time"`
	AdvicePerVM time.Duration `json:"advice-per-vm"`
	AdviceValid time.Duration `json:"advice-valid"`
}

// RunsOn reports whether tasks of the queue may run on the VMs of a service.
func (q Queue) RunsOn(service string) bool { return q.Service == "" || q.Service == service }

// QueueSettings are the settings of a queue that its accepted jobs need, in their stored form. An owner
// decides by them once the operators have removed the queue.
type QueueSettings struct {
	Service           string  `json:"service,omitempty"`
	Priority          int     `json:"priority,omitempty"`
	MaxFailures       int     `json:"max-failures,omitempty"`
	Slack             float64 `json:"slack,omitempty"`
	TargetMillis      int64   `json:"target-ms,omitempty"`
	Advised           bool    `json:"advised,omitempty"`
	AdviceMillis      int64   `json:"advice-ms,omitempty"`
	AdviceVMMillis    int64   `json:"advice-vm-ms,omitempty"`
	AdviceValidMillis int64   `json:"advice-valid-ms,omitempty"`
}

// Accept makes j a job of the queue and records the queue's settings with it.
func (q Queue) Accept(j *Job) {
	j.Queue = q.Name
	j.QueueSettings = &QueueSettings{
		Service: q.Service, Priority: q.Priority, MaxFailures: q.MaxFailures, Slack: q.Slack, TargetMillis: q.Target.Milliseconds(),
		Advised: q.Advised, AdviceMillis: q.AdviceTime.Milliseconds(), AdviceVMMillis: q.AdvicePerVM.Milliseconds(), AdviceValidMillis: q.AdviceValid.Milliseconds(),
	}
}

// AcceptedIn returns the queue as it was when the job was accepted, without what only requests of
// callers need. ok is false if an earlier build stored the job.
func (j *Job) AcceptedIn() (q Queue, ok bool) {
	s := j.QueueSettings
	if s == nil {
		return Queue{}, false
	}
	return Queue{
		Name: j.Queue, Service: s.Service, Priority: s.Priority, MaxFailures: s.MaxFailures, Slack: max(s.Slack, 0), Target: Millis(s.TargetMillis),
		Advised: s.Advised, AdviceTime: Millis(s.AdviceMillis), AdvicePerVM: Millis(s.AdviceVMMillis), AdviceValid: Millis(s.AdviceValidMillis),
	}, true
}

// QueueOf returns the queue of a job: its present settings or, if it was removed, those with which the
// job was accepted. ok is false if neither is known.
func (p *Policy) QueueOf(j *Job) (q Queue, ok bool) {
	if q, ok = p.QueueByName(j.Queue); ok {
		return q, true
	}
	return j.AcceptedIn()
}

// Policy is one version of the operators' settings. It is immutable once published.
type Policy struct {
	Version  int64
	Queues   []Queue
	Accounts []Account       // client accounts with settings of their own; others have the defaults
	Load     LoadControl     // decisions under load that the operators ask for
	ZonesOut map[string]bool // availability zones in which nothing may start
	ReadAt   time.Time       // when the read that returned it was sent
}

// QueueByName returns the queue with the given name.
func (p *Policy) QueueByName(name string) (Queue, bool) {
	for _, q := range p.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Match returns the queue of a request: among the queues of the host, the one with the
// longest prefix of the path. Rest is the path after the prefix.
func (p *Policy) Match(host, path string) (q Queue, rest string, ok bool) {
	for _, c := range p.Queues {
		if c.Host == host && strings.HasPrefix(path, c.Prefix) && (!ok || len(c.Prefix) > len(q.Prefix)) {
			q, ok = c, true
		}
	}
	return q, strings.TrimPrefix(path, q.Prefix), ok
}
