package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/store/decoder"
	"bamboospread/internal/store/keeper"
)

// Silence of members. A new owner does not know when an earlier one last granted leases to a member that
// does not report: without a record it waits until a grant of the last moment has certainly ended, and owners
// that follow one another would each begin that wait anew. So the owner stores for how long the silent
// members have certainly been granted nothing, and the next owner counts on from there.
//
// The record holds durations, since processes have no common clock. It is certain for the next owner because
//   - only the owner before it can have written it, or granted anything since: it names that owner's epoch, and
//     the fence rejects writes after the ownership has ended;
//   - an owner grants nothing to a member that its record may name. A member that reports again gets its next
//     grant once a record without it is stored.
const (
	// minSilence is the shortest silence for which a member is named in the record. Agents report more often,
	// unless they are asked for a longer interval.
	minSilence = maxReportInterval
	// reportsMissed is how many reports such a member has not sent at least.
	reportsMissed = 3
	// silenceInterval is the time between writes while members are silent.
	silenceInterval = 500 * time.Millisecond
	// closeTimeout bounds the last write of a planned stop; the handover waits for it.
	closeTimeout = releaseTimeout / 2
)

// silenceRecord is what an owner stores of silent members.
type silenceRecord struct {
	Epoch int64 `json:"epoch"`
	// SilentMillis is for how long the members had certainly been granted nothing when the record was written.
	// It is negative where leases that no grant allowed last longer than one granted then.
	SilentMillis map[string]int64 `json:"silent-ms"`
}

// silences is what an owner knows of the silence of members.
type silences struct {
	earlier    map[string]time.Time // when earlier owners can last have granted something to members, by the former owner's record
	named      map[string]bool      // members that the stored record of this owner may name
	returned   bool                 // one of them has reported, or the stored record is of an earlier owner and must not stay
	countedAt  time.Time            // when this owner began to count
	storing    bool                 // a write is in flight
	storeAfter time.Time            // no write before this, unless a member has returned
	retryAfter time.Time            // no write before this
}

func newSilences() silences {
	return silences{earlier: make(map[string]time.Time), named: make(map[string]bool)}
}

// silenceKey returns the key of the record of silent members.
func (s *Scheduler) silenceKey() string { return fmt.Sprintf("cells/%s/silent", s.config.Cell) }

// loadSilences reads the former owner's record. Of another owner's, only leases count that outlast all that one in
// between may have granted since.
func (o *owner) loadSilences(ctx context.Context) error {
	var record keeper.Record
	err := o.s.retryRead(ctx, func() (err error) {
		record, err = o.s.config.Store.GetRecord(ctx, o.s.silenceKey())
		return err
	})
	if keeper.IsErrKeyNotExist(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read silent members: %w", err)
	}
	o.writer.setRevision(record.Key, record.Revision)
	r, err := decoder.Decode[silenceRecord](record.Value)
	if err != nil {
		o.s.reportUnreadable(record.Key, err, nil)
		return nil
	}
	former := r.Epoch == o.epoch-1
	for vm, ms := range r.SilentMillis {
		limit := 2 * o.leaseExpiry().Milliseconds()
		if ms < -limit {
			continue // no owner has written it
		}
		ms = min(ms, limit) // beyond it makes no difference
		at := o.started.Add(-time.Duration(ms) * time.Millisecond)
		outlasts := at.After(o.formerLeaseEnd())
		if former || outlasts {
			o.silences.earlier[vm] = at
		}
		o.silences.returned = o.silences.returned || outlasts // later owners must not count from this record
	}
	return nil
}

// lastGrant returns when a member can last have been granted leases, at the latest. An earlier owner may
// have granted some until its own lease expired, which may be after this ownership began if the store
// dropped that lease early.
func (o *owner) lastGrant(member string) time.Time {
	if vm := o.state.VMs[member]; vm != nil {
		// Leases that no grant allowed may outlast those that were granted.
		if at := vm.UnrequestedLeaseEnd.Add(-timekeeper.Longest(o.s.config.Grant)); at.After(vm.GrantedAt) {
			return at
		}
		return vm.GrantedAt
	}
	if at, ok := o.silences.earlier[member]; ok {
		return at
	}
	return o.formerLeaseEnd()
}

// hasLapsed reports whether all runs of a member have certainly ended, if it does not report.
func (o *owner) hasLapsed(member string, now time.Time) bool {
	return now.Sub(o.lastGrant(member)) > o.leaseExpiry()
}

// silentAfter returns the silence from which a member is named in the record.
func (o *owner) silentAfter() time.Duration {
	return max(minSilence, reportsMissed*o.reportInterval())
}

// silentMembers returns for how long the members have been granted nothing that are worth a record: those
// that were silent when this owner began, or whose leases outlast a grant by the former owner's record, and those
// that it has not heard from for long. While it is late
// with the reports of others, that is as long as until a member is detached: a member that is named for the
// owner's delay would wait for a write before its next start.
func (o *owner) silentMembers(now time.Time) map[string]int64 {
	silent, silentAfter := make(map[string]int64), o.silentAfter()
	counted, late := now.Sub(o.silences.countedAt), len(o.events) > 0
	var doubtful []string // silent, or only heard of late
	for n := range o.listed {
		last := o.lastGrant(n)
		silence := now.Sub(last)
		switch {
		case o.state.VMs[n] == nil && last.After(o.formerLeaseEnd()): // the next owner must know of these leases
			silent[n] = silence.Milliseconds()
		case silence < silentAfter:
			late = late || silence > silentAfter/2
		case o.started.Sub(last) >= silentAfter, silence >= reportTimeout && counted >= silentAfter:
			silent[n] = silence.Milliseconds()
		case counted >= silentAfter:
			doubtful = append(doubtful, n)
		}
	}
	for _, n := range doubtful {
		if !late {
			silent[n] = now.Sub(o.lastGrant(n)).Milliseconds()
		}
	}
	return silent
}

// storeSilences writes the record of silent members at intervals while there are any, and at once if one of
// them has returned.
func (o *owner) storeSilences(ctx context.Context) {
	now := o.s.config.Now()
	if o.silences.countedAt.IsZero() {
		o.silences.countedAt = now
	}
	if o.silences.storing || now.Before(o.silences.retryAfter) || now.Before(o.silences.storeAfter) && !o.silences.returned {
		return
	}
	silent := o.silentMembers(now)
	if len(silent) == 0 && !o.silences.returned {
		return
	}
	o.silences.storing, o.silences.returned, o.silences.storeAfter = true, false, now.Add(silenceInterval)
	for n := range silent {
		o.silences.named[n] = true
	}
	e := &silencesResult{named: slices.Collect(maps.Keys(silent))}
	go func() {
		e.err = o.writeSilences(ctx, silent)
		_ = o.send(context.WithoutCancel(ctx), e) // fails only if the loop has ended
	}()
}

func (o *owner) writeSilences(ctx context.Context, silent map[string]int64) error {
	value, err := json.Marshal(silenceRecord{o.numbers.taken.Load(), silent})
	if err != nil {
		return fmt.Errorf("encode silent members: %w", err)
	}
	return o.writer.put(ctx, []keeper.Put{{Key: o.s.silenceKey(), Value: value}})
}

type silencesResult struct {
	named []string
	err   error
}

func (e *silencesResult) apply(o *owner, now time.Time) {
	o.silences.storing = false
	if e.err != nil {
		// The write may have taken effect: what it names stays named.
		o.silences.retryAfter = now.Add(flushRetryDelay)
		o.silences.returned = o.silences.returned || len(e.named) == 0
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"silent-members": len(e.named), "error": e.err.Error()})
		return
	}
	o.silences.named = make(map[string]bool, len(e.named))
	for _, n := range e.named {
		o.silences.named[n] = true
	}
	o.dirty = true
}

// closeSilences stores for how long each member has been granted nothing, once the loop has ended: after
// a planned stop the next owner need not allow for grants of the last moment.
func (o *owner) closeSilences(ctx context.Context) {
	if len(o.listed) == 0 || !o.holdsCell() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := o.writeSilences(ctx, o.allSilences()); err != nil {
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"silent-members": len(o.listed), "error": err.Error()})
	}
}

// allSilences returns for how long each member has been granted nothing.
func (o *owner) allSilences() map[string]int64 {
	silent, now := make(map[string]int64, len(o.listed)), o.s.config.Now()
	for n := range o.listed {
		silent[n] = now.Sub(o.lastGrant(n)).Milliseconds()
	}
	return silent
}
