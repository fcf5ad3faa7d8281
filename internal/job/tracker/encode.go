package tracker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"bamboospread/internal/worker/attributor"
)

// MaxRecordBytes is the size of the largest progress record. Its base64 text is as long as the largest page
// that the store lists.
const MaxRecordBytes = 768 << 10

// Encoded is the progress of a job in its stored form.
type Encoded struct {
	Value   []byte
	Omitted Omitted
}

// Omitted counts the tasks whose notes were left out of a record that was too large otherwise. The next owner
// does not know them: it allows such a task more attempts, suspects it of fewer crashes, takes it for
// unavailable for less time, or repeats its work from the beginning.
type Omitted struct{ Failed, Crashes, Waits, Checkpoints int }

// Any reports whether anything was left out.
func (o Omitted) Any() bool { return o != Omitted{} }

// Encode returns the record of a job, of at most the given size in bytes. What the callers were promised is
// always in it: which occurrences are open and which tasks are done. Notes on tasks that don't fit beside it
// are left out: first checkpoints, then waits, crashes and failed runs, and of each those that matter least.
func (j *Job) Encode(limit int) (Encoded, error) {
	r := Record{State: j.State, Reason: j.Reason, Finished: j.Finished, Next: j.Next}
	if j.State.Final() {
		r.EndedAt = j.EndedAt.UnixMilli()
		return encodeRecord(j, r, Omitted{})
	}
	for _, o := range j.Occurrences {
		r.Open = append(r.Open, o.record())
	}
	var omitted Omitted
	kinds := []noteKind{
		{j.failedNotes(r), limit, &omitted.Failed},
		{j.crashNotes(r), limit, &omitted.Crashes},
		{j.waitNotes(r), limit, &omitted.Waits},
		{j.checkpointNotes(r), maxStoredCheckpointBytes, &omitted.Checkpoints},
	}
	left, err := j.bytesForNotes(r, limit, kinds)
	if err != nil {
		return Encoded{}, err
	}
	for _, k := range kinds {
		left -= k.addWithin(min(left, k.most))
	}
	return encodeRecord(j, r, omitted)
}

// bytesForNotes returns how many bytes the notes of a record may have. The record without them is encoded only
// if they may not all fit beside it.
func (j *Job) bytesForNotes(r Record, limit int, kinds []noteKind) (int, error) {
	size := 0
	for _, k := range kinds {
		size += k.size()
	}
	if left := limit - r.bytesWithoutNotes(); size <= left {
		return left, nil
	}
	base, err := encodeRecord(j, r, Omitted{})
	return limit - len(base.Value), err
}

// bytesWithoutNotes returns the size in bytes that the record has at most, without notes.
func (r Record) bytesWithoutNotes() int {
	const number = len("-9223372036854775808")
	size := len(`{"state":"cancelled","ended-ms":,"finished":,"next":,"open":[],"reason":""}`) + 3*number + textBytes(r.Reason)
	for _, o := range r.Open {
		size += len(`{"number":,"steps":[]},`) + number
		for _, s := range o.Steps {
			size += len(`{"done":"","has-run":""},`) + len(s.Done) + len(s.HasRun)
		}
	}
	return size
}

func encodeRecord(j *Job, r Record, omitted Omitted) (Encoded, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return Encoded{}, fmt.Errorf("encode progress of job %s: %w", j.Spec.ID, err)
	}
	return Encoded{b, omitted}, nil
}

// record returns the progress of an occurrence without notes.
func (o *Occurrence) record() OccurrenceRecord {
	r := OccurrenceRecord{Number: o.Number}
	for _, s := range o.Steps {
		var sr StepRecord
		if s.Done > 0 {
			sr.Done = encodeBitmap(s.Tasks, func(t *Task) bool { return t.Done })
		}
		if s.Spec.LongRunning {
			sr.HasRun = encodeBitmap(s.Tasks, func(t *Task) bool { return t.HasRun })
		}
		r.Steps = append(r.Steps, sr)
	}
	return r
}

// note is something that is stored of a task beside whether it is done.
type note struct {
	size   int  // bytes in the record at most, with its index
	header *int // bytes beside them for the first note of the kind on its step
	weight int  // those with more are kept first
	add    func()
}

// noteHeaderBytes is the size of the name and the brackets of the notes of a kind on a step.
const noteHeaderBytes = len(`"wait-since-ms":{},`)

// noteKind holds the notes of one kind on the tasks of a job.
type noteKind struct {
	notes   []note
	most    int  // bytes
	omitted *int // number of those that are left out
}

// size returns the size in bytes that all notes have at most.
func (k noteKind) size() (size int) {
	for _, n := range k.notes {
		size += n.size + noteHeaderBytes
	}
	return size
}

// addWithin adds the notes that fit into the budget of bytes, and returns their size.
func (k noteKind) addWithin(budget int) (added int) {
	if k.size() > budget {
		slices.SortStableFunc(k.notes, func(a, b note) int { return cmp.Compare(b.weight, a.weight) })
	}
	for _, n := range k.notes {
		size := n.size + *n.header
		if added+size > budget {
			*k.omitted++
			continue
		}
		added += size
		*n.header = 0
		n.add()
	}
	return added
}

// notesOf returns the notes of a kind on the tasks of a job. noteOf returns the note on a task, which add
// stores in the record of its step, or false if there is none.
func (j *Job) notesOf(r Record, noteOf func(t *Task, sr *StepRecord) (note, bool)) (notes []note) {
	for i, o := range j.Occurrences {
		for k, s := range o.Steps {
			header := noteHeaderBytes
			for _, t := range s.Tasks {
				n, ok := noteOf(t, &r.Open[i].Steps[k])
				if !ok {
					continue
				}
				n.size += len(strconv.Itoa(t.Index)) + len(`"":,`)
				n.header = &header
				notes = append(notes, n)
			}
		}
	}
	return notes
}

// failedNotes returns the failed runs of tasks. The tasks that are closest to the limit of failures come first.
func (j *Job) failedNotes(r Record) []note {
	return j.notesOf(r, func(t *Task, sr *StepRecord) (note, bool) {
		if len(t.Failed()) == 0 || t.Done {
			return note{}, false
		}
		size := len(`[]`)
		for _, n := range t.Failed() {
			size += len(strconv.FormatInt(n, 10)) + len(`,`)
		}
		return note{size: size, weight: len(t.Failed()), add: func() { setNote(&sr.Failed, t, t.Failed()) }}, true
	})
}

// crashNotes returns the crashes that tasks are suspected of. The tasks with most come first: a task that
// crashes its workers is there again at the next crash, unlike most of the thousands that were beside it.
func (j *Job) crashNotes(r Record) []note {
	return j.notesOf(r, func(t *Task, sr *StepRecord) (note, bool) {
		if len(t.Crashes()) == 0 || t.Done {
			return note{}, false
		}
		size, likely := len(`[]`), 0
		for _, c := range t.Crashes() {
			size += len(`{"run":,"vm":"","age-ms":,"at-ms":,"spread-ms":,"likely":true,"sole":true},`) + textBytes(c.VM)
			for _, n := range []int64{c.Run, c.AgeMillis, c.AtMillis, c.SpreadMillis} {
				size += len(strconv.FormatInt(n, 10))
			}
			if c.Likely {
				likely++
			}
		}
		weight := 2*attributor.CrashesToGiveUp*likely + len(t.Crashes())
		return note{size: size, weight: weight, add: func() { setNote(&sr.Crashes, t, t.Crashes()) }}, true
	})
}

// waitNotes returns since when long-running tasks that have run are without a confirmed run. The longest
// waits come first.
func (j *Job) waitNotes(r Record) []note {
	return j.notesOf(r, func(t *Task, sr *StepRecord) (note, bool) {
		if !t.Step.Spec.LongRunning || !t.HasRun || t.hasConfirmedRun() {
			return note{}, false
		}
		since := t.UnavailableSince().UnixMilli()
		return note{size: len(strconv.FormatInt(since, 10)), weight: -int(since), add: func() { setNote(&sr.WaitSince, t, since) }}, true
	})
}

// checkpointNotes returns the checkpoints to resume from.
func (j *Job) checkpointNotes(r Record) []note {
	return j.notesOf(r, func(t *Task, sr *StepRecord) (note, bool) {
		if t.Done || t.Checkpoint == "" {
			return note{}, false
		}
		return note{size: len(`""`) + textBytes(t.Checkpoint), add: func() { setNote(&sr.Checkpoints, t, t.Checkpoint) }}, true
	})
}

func setNote[V any](notes *map[int]V, t *Task, v V) {
	if *notes == nil {
		*notes = make(map[int]V)
	}
	(*notes)[t.Index] = v
}

// textBytes returns the size in bytes that a text takes in a record at most, without its quotes.
func textBytes(text string) (size int) {
	const escaped = len(`\u0000`)
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ', c > '~', strings.IndexByte(`"\<>&`, c) >= 0:
			size += escaped
		default:
			size++
		}
	}
	return size
}
