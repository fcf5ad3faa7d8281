package scheduler

import (
	"context"
	"fmt"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// snapshotInterval is how often what the owner has learned is stored. Snapshots are part of a write
// of progress and need no call of their own.
const snapshotInterval = 5 * time.Second

// snapshot is a part of what the owner has learned that is stored for the next owner. Without it
// decisions are only worse until the next owner has learned as much, so an error does not fail the
// takeover.
type snapshot struct {
	name   string // of its record
	encode func(now time.Time) ([]byte, error)
	decode func(value []byte, now time.Time) error
}

// snapshots returns the snapshots in the order in which they are read.
func (o *owner) snapshots() []snapshot {
	timeless := func(encode func() ([]byte, error)) func(time.Time) ([]byte, error) {
		return func(time.Time) ([]byte, error) { return encode() }
	}
	always := func(decode func([]byte) error) func([]byte, time.Time) error {
		return func(value []byte, _ time.Time) error { return decode(value) }
	}
	all := []snapshot{{"learned", timeless(o.learner.Encode), always(o.learner.Decode)}}
	asked := o.asked()
	if asked.Estimates {
		all = append(all,
			snapshot{"run-times", timeless(o.load.estimator.Encode), always(o.load.estimator.Decode)},
			snapshot{"speeds", o.load.calibrator.Encode, o.load.calibrator.Decode})
	}
	if asked.Shares {
		all = append(all, snapshot{"shares", timeless(o.load.sharer.Encode), always(o.load.sharer.Decode)})
	}
	return all
}

// snapshotKey returns the key of a snapshot.
func (s *Scheduler) snapshotKey(name string) string {
	return fmt.Sprintf("cells/%s/%s", s.config.Cell, name)
}

// snapshotRecords returns the records of the snapshots if they are due.
func (o *owner) snapshotRecords(now time.Time) (puts []keeper.Put) {
	if now.Sub(o.snapshotAt) < snapshotInterval {
		return nil
	}
	o.snapshotAt = now
	for _, s := range o.snapshots() {
		value, err := s.encode(now)
		if err != nil {
			o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"record": s.name, "error": err.Error()})
			continue
		}
		o.s.config.Metrics.largestRecord(s.name, len(value))
		puts = append(puts, keeper.Put{Key: o.s.snapshotKey(s.name), Value: value})
	}
	return puts
}

// loadSnapshots restores what earlier owners have learned.
func (o *owner) loadSnapshots(ctx context.Context, now time.Time) {
	for _, s := range o.snapshots() {
		key := o.s.snapshotKey(s.name)
		record, err := o.s.config.Store.GetRecord(ctx, key)
		if keeper.IsErrKeyNotExist(err) {
			continue
		}
		if err == nil {
			o.writer.setRevision(record.Key, record.Revision)
			err = s.decode(record.Value, now)
		}
		if err != nil {
			o.s.reportUnreadable(key, err, nil)
		}
	}
}
