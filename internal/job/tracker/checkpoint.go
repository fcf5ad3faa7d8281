package tracker

import (
	"strconv"
	"strings"
)

// recordCheckpoint records the checkpoint that a run has left, for the next run to resume from. The
// worker forgets it once the end of the run is acknowledged. The checkpoint of any member of a gang is
// valid for the gang, and all members must start from the same one.
func (t *Task) recordCheckpoint(checkpoint string) {
	if checkpoint == "" || checkpoint == t.Checkpoint || !t.Step.Spec.Checkpoints {
		return
	}
	for _, member := range t.Unit() {
		member.Checkpoint = checkpoint
	}
	t.Step.Occurrence.Job.markDirty()
}

// shareCheckpoint gives all members of a gang one checkpoint after they were read from a record, which
// may lack some and, if an earlier build wrote it, may have different ones.
func (s *Step) shareCheckpoint() {
	if !s.Spec.Gang {
		return
	}
	for _, t := range s.Tasks {
		if t.Checkpoint != "" {
			for _, member := range s.Tasks {
				member.Checkpoint = t.Checkpoint
			}
			return
		}
	}
}

// maxStoredCheckpointBytes is the encoded size of the checkpoints that a record holds at most; the store
// takes keeper.MaxValueBytes for all of it. A task whose checkpoint is not stored starts from the beginning
// under the next owner.
const maxStoredCheckpointBytes = 256 << 10

// checkpointsOf returns the checkpoints to resume from by the index of the task, as far as
// they fit in the budget of bytes, which they reduce.
func checkpointsOf(s *Step, budget *int) (stored map[int]string) {
	for i, t := range s.Tasks {
		if t.Done || t.Checkpoint == "" {
			continue
		}
		size := encodedSize(i, t.Checkpoint)
		if size > *budget {
			continue
		}
		if stored == nil {
			stored = make(map[int]string)
		}
		*budget -= size
		stored[i] = t.Checkpoint
	}
	return stored
}

// encodedSize returns the size in bytes that a checkpoint takes in a record at most, with its index.
func encodedSize(index int, checkpoint string) int {
	const escaped, quoting = 6, 6 // bytes of \u0000, and of "":"",
	size := len(strconv.Itoa(index)) + quoting
	for i := range len(checkpoint) {
		switch c := checkpoint[i]; {
		case c < ' ', c > '~', strings.IndexByte(`"\<>&`, c) >= 0:
			size += escaped
		default:
			size++
		}
	}
	return size
}
