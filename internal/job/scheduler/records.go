package scheduler

import (
	"bytes"
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

const (
	// refusedRetryDelay follows the refusal of a record. It would be refused alike if nothing changed.
	refusedRetryDelay = time.Second
	// unansweredWrites is how many writes of a record may fail one after the other, while others beside it are
	// stored, before it counts as refused.
	unansweredWrites = 3
	// largeRecordInterval is the time between log lines on the size of a job's record.
	largeRecordInterval = time.Minute
)

// progressRecords is what the owner knows of the records of the progress of open jobs.
type progressRecords struct {
	byJob map[*tracker.Job]*progressRecord
	held  []byte // record of held ends as stored
}

type progressRecord struct {
	bytes      int  // of the latest record
	limit      int  // after refusals; 0: tracker.MaxRecordBytes
	failed     bool // the latest write of it alone
	unanswered int  // writes of it alone in a row that had no answer, while others were stored
	retryAt    time.Time
	reportedAt time.Time // when its size was last logged
}

func newProgressRecords() progressRecords {
	return progressRecords{byJob: make(map[*tracker.Job]*progressRecord)}
}

func (p progressRecords) of(j *tracker.Job) *progressRecord {
	r := p.byJob[j]
	if r == nil {
		r = &progressRecord{}
		p.byJob[j] = r
	}
	return r
}

// mayWrite reports whether the record of a job may be written now.
func (p progressRecords) mayWrite(j *tracker.Job, now time.Time) bool {
	r := p.byJob[j]
	return r == nil || !now.Before(r.retryAt)
}

// limit is the size in bytes that the record of a job may have.
func (p progressRecords) limit(j *tracker.Job) int {
	if r := p.byJob[j]; r != nil && r.limit > 0 {
		return r.limit
	}
	return tracker.MaxRecordBytes
}

// largest returns the size of the largest record of an open job.
func (p progressRecords) largest() (bytes int) {
	for _, r := range p.byJob {
		bytes = max(bytes, r.bytes)
	}
	return bytes
}

// failedAlone returns the keys of the records that could not be written in a transaction of their own.
func (p progressRecords) failedAlone() map[string]bool {
	keys := make(map[string]bool)
	for j, r := range p.byJob {
		if r.failed {
			keys[ProgressKey(j.Spec.ID)], keys[JobKey(j.Spec.ID)] = true, true
		}
	}
	return keys
}

// stored records that the record of a job was written.
func (p progressRecords) stored(j *tracker.Job) {
	if j.State.Final() {
		delete(p.byJob, j)
		return
	}
	r := p.of(j)
	r.failed, r.unanswered, r.retryAt = false, 0, time.Time{}
}

// recordNotStored records that the record of a job could not be written. One that the store refuses for what it
// is gets smaller, and nothing of the job starts until it is stored: no end of it can be.
func (o *owner) recordNotStored(j *tracker.Job, key string, e writeErrors, now time.Time) {
	r, err := o.records.of(j), e.all[key]
	r.failed = e.own[key]
	if isTransient(err) {
		if !e.own[key] || !e.others {
			return
		}
		if r.unanswered++; r.unanswered < unansweredWrites {
			return
		}
	}
	r.retryAt, j.Refused = now.Add(refusedRetryDelay), true
	if !keeper.IsErrConflict(err) {
		r.limit = max(min(r.bytes, o.records.limit(j))/2, 1)
	}
	o.s.config.Reporter.Report(reporter.JobRecordRefused, reporter.Fields{"job": j.Spec.ID, "bytes": r.bytes, "next-limit": o.records.limit(j), "error": err.Error()})
}

// recordSize logs a record that has more than half of the size that it may have, or lacks notes.
func (o *owner) recordSize(j *tracker.Job, e tracker.Encoded, now time.Time) {
	r := o.records.of(j)
	r.bytes = len(e.Value)
	limit := o.records.limit(j)
	if !e.Omitted.Any() && 2*r.bytes <= limit || now.Sub(r.reportedAt) < largeRecordInterval {
		return
	}
	r.reportedAt = now
	o.s.config.Reporter.Report(reporter.JobRecordLarge, reporter.Fields{
		"job": j.Spec.ID, "bytes": r.bytes, "limit": limit, "omitted-failed": e.Omitted.Failed, "omitted-crashes": e.Omitted.Crashes,
		"omitted-waits": e.Omitted.Waits, "omitted-checkpoints": e.Omitted.Checkpoints,
	})
}

// heldEndsKey is the key of the record of held ends. It is listed with the progress of jobs.
const heldEndsKey = progressPrefix + "held-ends"

// heldEndsRecord returns the record of the ends of refused jobs if it is to be written, and removes it once
// there are none.
func (o *owner) heldEndsRecord(e *flushResult) []keeper.Put {
	held, err := e.flush.HoldEnds(tracker.MaxRecordBytes)
	if err != nil {
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"key": heldEndsKey, "error": err.Error()})
		return nil
	}
	if held.Empty() {
		if o.records.held != nil {
			o.records.held = nil
			o.removals = append(o.removals, heldEndsKey)
		}
		return nil
	}
	e.held, e.holds = held, true
	// A removal that failed must not take effect on the ends that are held now.
	o.removals = slices.DeleteFunc(o.removals, func(key string) bool { return key == heldEndsKey })
	if bytes.Equal(held.Value, o.records.held) {
		return nil
	}
	return []keeper.Put{{Key: heldEndsKey, Value: held.Value}}
}

// restoreHeldEnds applies the ends that earlier owners have stored apart from the progress of their jobs.
func (o *owner) restoreHeldEnds(r keeper.Record, now time.Time) {
	o.records.held = r.Value
	if err := o.state.RestoreHeldEnds(r.Value, now); err != nil {
		o.s.reportUnreadable(r.Key, err, nil)
	}
}
