package scheduler

import (
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/decoder"
)

// Records of the store that can't be read are logged once in unreadableLogInterval for each key, and
// maxUnreadableLines of them at most; all are counted.
const (
	unreadableLogInterval = time.Minute
	maxUnreadableLines    = 100
)

// unreadableRecords is what was logged lately of records that can't be read.
type unreadableRecords struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time // by key
}

// mayLog reports whether a record may be logged now, and records that it is.
func (u *unreadableRecords) mayLog(key string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.loggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= unreadableLogInterval })
	if _, logged := u.loggedAt[key]; logged || len(u.loggedAt) >= maxUnreadableLines {
		return false
	}
	if u.loggedAt == nil {
		u.loggedAt = make(map[string]time.Time)
	}
	u.loggedAt[key] = now
	return true
}

// reportUnreadable counts and logs a record that can't be read, with the field that is wrong if that is known.
func (s *Scheduler) reportUnreadable(key string, err error, more reporter.Fields) {
	kind, _, _ := strings.Cut(key, "/")
	if kind == "cells" {
		kind = key[strings.LastIndex(key, "/")+1:]
	}
	s.config.Metrics.recordUnreadable(kind)
	if !s.unreadable.mayLog(key, s.config.Now()) {
		return
	}
	fields := reporter.Fields{"key": key, "error": err.Error()}
	if e, ok := errors.AsType[decoder.ErrField](err); ok && e.Field != "" {
		fields["field"] = e.Field
	}
	maps.Copy(fields, more)
	s.config.Reporter.Report(reporter.JobRecordsUnreadable, fields)
}
