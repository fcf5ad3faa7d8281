package scheduler

import (
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

// No owner gets through its takeover on a small link, since it lists the payloads of all
// jobs that have ended. With the final state of a job its record shrinks, in the same
// write; while the job goes on its record is left alone.
func TestRecordShrinksWithTheFinalState(t *testing.T) {
	now := time.Now()
	state := accountant.New(accountant.Config{Policy: &specifier.Policy{}})
	spec := &specifier.Job{ID: "00000000000004d2", Queue: "q", Payload: strings.Repeat("x", specifier.MaxPayloadBytes), Steps: []specifier.Step{{Count: 1}}}
	state.AddJob(spec, time.Time{}, now)
	puts, err := putsOf(state.Jobs[spec.ID])
	if err != nil || len(puts) != 1 || puts[0].Key != ProgressKey(spec.ID) {
		t.Fatalf("%d records of a job that goes on: %v", len(puts), err)
	}
	state.Cancel(spec.ID, now)
	puts, err = putsOf(state.Jobs[spec.ID])
	if err != nil || len(puts) != 2 || puts[1].Key != JobKey(spec.ID) || len(puts[1].Value) > 200 {
		t.Fatalf("%d records of a job that has ended: %v", len(puts), err)
	}
}
