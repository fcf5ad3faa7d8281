package tracker

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/store/decoder"
)

// Ends are acknowledged to a VM in the order of their numbers, so one that can't be stored holds back those of
// all other jobs. While the store refuses the record of a job, its ends are kept in another record.

// unstoredEnd is an end that changed the progress of its job.
type unstoredEnd struct {
	heldEnd
	version int64 // of the progress that includes it
}

// heldEnd is an end in its stored form.
type heldEnd struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Outcome    End    `json:"outcome"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// addUnstoredEnd keeps an applied end until the progress of its job is stored.
func (tr *Tracker) addUnstoredEnd(vm *VM, e ReportedEnd) {
	j := tr.Jobs[e.Key.Task.Job]
	if j == nil || j.storedVersion >= j.version {
		return
	}
	vm.unstoredEnds = append(vm.unstoredEnds, unstoredChange{e.Seq, j, j.version})
	j.unstoredEnds = append(j.unstoredEnds, unstoredEnd{heldEnd{e.Key.Task.String(), e.Key.Number, e.Outcome, e.Checkpoint}, j.version})
}

// HeldEnds are the ends of jobs whose records the store refuses.
type HeldEnds struct {
	Value []byte // record
	jobs  map[*Job]int64
}

// Empty reports whether there are none.
func (h HeldEnds) Empty() bool { return len(h.Value) <= len(`[]`) }

// HoldEnds returns the ends of the refused jobs of a flush, in a record of at most the given size in bytes. Those
// that are held already stay in it, since they may be acknowledged; of the others those of a job are added
// together or not at all.
func (f *Flush) HoldEnds(limit int) (HeldEnds, error) {
	held, all, size := HeldEnds{jobs: make(map[*Job]int64)}, []json.RawMessage{}, len(`[]`)
	add := func(j *Job, matches func(e unstoredEnd) bool) error {
		var ends []json.RawMessage
		bytes := 0
		for _, e := range j.unstoredEnds {
			if !matches(e) {
				continue
			}
			b, err := json.Marshal(e.heldEnd)
			if err != nil {
				return fmt.Errorf("encode held ends of job %s: %w", j.Spec.ID, err)
			}
			ends, bytes = append(ends, b), bytes+len(b)+len(`,`)
		}
		if size+bytes <= limit {
			all, size = append(all, ends...), size+bytes
			held.jobs[j] = f.versionOf(j)
		}
		return nil
	}
	for _, isHeld := range []bool{true, false} {
		for _, j := range f.Jobs {
			if !j.Refused {
				continue
			}
			if err := add(j, func(e unstoredEnd) bool { return (e.version <= j.heldVersion) == isHeld }); err != nil {
				return HeldEnds{}, err
			}
		}
		if isHeld {
			clear(held.jobs)
		}
	}
	value, err := json.Marshal(all)
	if err != nil {
		return HeldEnds{}, fmt.Errorf("encode held ends: %w", err)
	}
	held.Value = value
	return held, nil
}

// EndsHeld records that the record of held ends is stored: they may be acknowledged with the next EndFlush.
func (tr *Tracker) EndsHeld(h HeldEnds) {
	for j, version := range h.jobs {
		j.heldVersion = max(j.heldVersion, version)
	}
}

// RestoreHeldEnds applies the ends that an earlier owner has acknowledged and could not store with the progress
// of their jobs. Those that were stored since change nothing. The jobs count as refused until they are stored,
// so that their ends stay held. An end that can't be read is left out, as the others were acknowledged; the error is
// that of the first one.
func (tr *Tracker) RestoreHeldEnds(value []byte, now time.Time) error {
	all, err := decoder.Decode[[]json.RawMessage](value)
	if err != nil {
		return fmt.Errorf("decode held ends: %w", err)
	}
	var first error
	for i, raw := range all {
		e, id, err := decodeHeldEnd(raw)
		if err == nil {
			tr.restoreHeldEnd(e, id, now)
			continue
		}
		if f, ok := errors.AsType[decoder.ErrField](err); ok && first == nil {
			f.Field = strings.TrimSuffix(fmt.Sprintf("[%d].%s", i, f.Field), ".")
			first = fmt.Errorf("decode held ends: %w", f)
		}
	}
	return first
}

// maxHeldRun is above the number of each run that an owner can have started.
const maxHeldRun = 1 << 51

// decodeHeldEnd decodes an end whole or not at all. The error is a decoder.ErrField.
func decodeHeldEnd(raw []byte) (heldEnd, specifier.TaskID, error) {
	e, err := decoder.Decode[heldEnd](raw)
	if err != nil {
		return heldEnd{}, specifier.TaskID{}, err
	}
	id, err := specifier.ParseTaskID(e.Task)
	if err != nil {
		return heldEnd{}, specifier.TaskID{}, decoder.ErrField{Field: "task", Problem: err.Error()}
	}
	if e.Run < 1 || e.Run > maxHeldRun {
		return heldEnd{}, specifier.TaskID{}, decoder.ErrField{Field: "run", Problem: fmt.Sprintf("%d is out of range", e.Run)}
	}
	switch e.Outcome {
	case EndDone, EndFailed, EndStopped, EndLapsed, EndGangBroken, EndGangIncomplete, EndLost:
		return e, id, nil
	}
	return heldEnd{}, specifier.TaskID{}, decoder.ErrField{Field: "outcome", Problem: fmt.Sprintf("%.100q is unknown", e.Outcome)}
}

func (tr *Tracker) restoreHeldEnd(e heldEnd, id specifier.TaskID, now time.Time) {
	tr.openThrough(id, now)
	t := tr.Find(id)
	if t == nil {
		return
	}
	j := t.Step.Occurrence.Job
	j.markStarted()
	t.markRun()
	t.LastNumber = max(t.LastNumber, e.Run)
	t.recordCheckpoint(e.Checkpoint)
	switch {
	case e.Outcome == EndDone && !t.Step.Spec.LongRunning:
		tr.taskDone(t, now)
	case e.Outcome == EndFailed:
		tr.taskFailed(t, e.Run, 0, now)
	}
	j.markDirty()
	j.Refused, j.heldVersion = true, j.version
	j.unstoredEnds = append(j.unstoredEnds, unstoredEnd{e, j.version})
}
