package acceptor

import (
	"fmt"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
)

// reason is why a client was refused or its connection closed. It is logged and a label of the metric.
type reason string

const (
	reasonHead            reason = "head"             // longer than the limit
	reasonConnections     reason = "connections"      // closed for a newer one
	reasonConnectionsBusy reason = "connections-busy" // refused, since all others serve requests
	reasonBodyMemory      reason = "body-memory"      // of all bodies
	reasonBodyTime        reason = "body-time"        // not sent in time
	reasonAnswerMemory    reason = "answer-memory"    // of all answers that are being sent
	reasonAnswerTime      reason = "answer-time"      // not read in time
)

const (
	reportInterval = 10 * time.Second // between two lines with the same reason
	limitedCounter = "bamboospread_http_limited_total{reason=%q}"
)

type closeCount struct {
	reported time.Time
	since    int // the last report
}

// closeRecorder counts and logs refused and closed clients. An attack must not fill the log.
type closeRecorder struct {
	config Config
	mu     sync.Mutex
	counts map[reason]*closeCount
}

func (r *closeRecorder) record(why reason, client string) {
	if r.config.Metrics != nil {
		r.config.Metrics.GetOrCreateCounter(fmt.Sprintf(limitedCounter, why)).Inc()
	}
	now := r.config.Now()
	r.mu.Lock()
	c := r.counts[why]
	if c == nil {
		c = &closeCount{}
		r.counts[why] = c
	}
	c.since++
	count := c.since
	due := c.reported.IsZero() || now.Sub(c.reported) >= reportInterval
	if due {
		c.reported, c.since = now, 0
	}
	r.mu.Unlock()
	if due {
		r.config.Reporter.Report(reporter.ClientLimited, reporter.Fields{"reason": string(why), "count": count, "client": client})
	}
}
