package specifier

import (
	"strings"
	"time"
)

// Queue is where jobs of one kind wait.
type Queue struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	Prefix      string        `json:"prefix"`       // of the paths that belong to the queue
	Service     string        `json:"service"`      // whose VMs run its tasks; empty: any
	Priority    int           `json:"priority"`     // 0 comes first
	MaxFailures int           `json:"max-failures"` // runs of a task that may fail
	Slack       float64       `json:"slack"`        // factor on a job's longest chain of work, of its objective
	Target      time.Duration `json:"target"`       // added to that
	Timeout     time.Duration `json:"timeout"`      // of a caller's request
	// Advised queues run tasks only on VMs for which an advising service gave a
	// ticket; an advice takes AdviceTime and AdvicePerVM for each VM asked about.
	Advised     bool          `json:"advised"`
	AdviceTime  time.Duration `json:"advice-time"`
	AdvicePerVM time.Duration `json:"advice-per-vm"`
	AdviceValid time.Duration `json:"advice-valid"`
}

// RunsOn tells whether tasks of the queue may run on the VMs of a service.
func (q Queue) RunsOn(service string) bool { return q.Service == "" || q.Service == service }

// Policy is what the operators want at one version. It is not changed after it
// was published.
type Policy struct {
	Version  int64
	Queues   []Queue
	ZonesOut map[string]bool // availability zones in which nothing may start
	ReadAt   time.Time       // when the read that gave it was sent
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

// Match returns the queue of a request: the longest prefix of its path among the
// queues of its host. Rest is what follows the prefix.
func (p *Policy) Match(host, path string) (q Queue, rest string, ok bool) {
	for _, c := range p.Queues {
		if c.Host == host && strings.HasPrefix(path, c.Prefix) && (!ok || len(c.Prefix) > len(q.Prefix)) {
			q, ok = c, true
		}
	}
	return q, strings.TrimPrefix(path, q.Prefix), ok
}
