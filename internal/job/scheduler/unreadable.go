package scheduler

import (
	"errors"
	"maps"
	"strings"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/decoder"
)

// reportUnreadable counts and logs a record that can't be read, with the field that is wrong if that is known.
func (s *Scheduler) reportUnreadable(key string, err error, more reporter.Fields) {
	kind, _, _ := strings.Cut(key, "/")
	if kind == "cells" {
		kind = key[strings.LastIndex(key, "/")+1:]
	}
	s.config.Metrics.recordUnreadable(kind)
	if !s.unreadable.Allows(key, s.config.Now()) {
		return
	}
	fields := reporter.Fields{"key": key, "error": err.Error()}
	if e, ok := errors.AsType[decoder.ErrField](err); ok && e.Field != "" {
		fields["field"] = e.Field
	}
	maps.Copy(fields, more)
	s.config.Reporter.Report(reporter.JobRecordsUnreadable, fields)
}
