package hoster

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/platform"
)

// malformedLogInterval limits how often announcements that are malformed in the same field are logged. A worker
// sends one about every second.
const malformedLogInterval = time.Minute

// malformedLog counts the announcements that don't come from a worker, and logs one a minute for each field.
type malformedLog struct {
	reporter *reporter.Reporter
	metrics  *metrics.Set
	now      func() time.Time

	mu       sync.Mutex
	loggedAt map[string]time.Time // by field
}

func newMalformedLog(r *reporter.Reporter, m *metrics.Set, now func() time.Time) *malformedLog {
	return &malformedLog{reporter: r, metrics: m, now: now, loggedAt: make(map[string]time.Time)}
}

func (l *malformedLog) record(err error) {
	field := ""
	if e, ok := errors.AsType[platform.ErrMalformedAnnouncement](err); ok {
		field = e.Field
	}
	l.metrics.GetOrCreateCounter(fmt.Sprintf("bamboospread_agent_announcements_malformed_total{field=%q}", field)).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if at, logged := l.loggedAt[field]; logged && now.Sub(at) < malformedLogInterval {
		return
	}
	l.loggedAt[field] = now
	l.reporter.Report(reporter.AnnouncementMalformed, reporter.Fields{"field": field, "error": err.Error()})
}
