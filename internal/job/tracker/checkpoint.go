package tracker

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

// maxStoredCheckpointBytes is the encoded size of the checkpoints that a record holds at most. A task whose
// checkpoint is not stored starts from the beginning under the next owner.
const maxStoredCheckpointBytes = 256 << 10
