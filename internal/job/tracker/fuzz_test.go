package tracker

import (
	"testing"

	"bamboospread/internal/job/specifier"
)

// Guards against an owner, and each one after it, that crashes at a record of a job or of its
// progress that is damaged or comes from another writer.
func FuzzJobRecords(f *testing.F) {
	id := jobID(1)
	f.Add(`{"id":"`+id+`","queue":"q","steps":[{"count":2,"needs":{"cpu-millis":1000}},{"count":1,"after":[0]}]}`, `{"state":"running","next":1,"open":[{"number":0,"steps":[{"done":"01","failed":{"1":[3]}},{}]}]}`)
	f.Add(`{"id":"`+id+`","steps":[{"count":1,"after":[7]}]}`, `{"state":"running","finished":-3,"next":-1,"open":[{"number":0,"steps":[]}]}`)
	f.Add(`{"id":"`+id+`","steps":[{"count":1}],"occurrences":1000000}`, `{"open":[{"number":0,"steps":[{"failed":{"-9":[1]}}]}]}`)
	f.Add(`{"id":"`+id+`","steps":[{"count":1}]}`, `{"state":"running"}`)
	f.Add(`null`, `null`)
	f.Fuzz(func(t *testing.T, job, progress string) {
		spec, err := DecodeJob([]byte(job))
		if err != nil {
			return
		}
		tr := newState(t, 3)
		tr.AddJob(spec, at(0), at(0))
		if tr.Jobs[spec.ID] == nil {
			t.Fatal("the decoded job is missing")
		}
		if err := tr.Restore(spec.ID, []byte(progress), at(10)); err != nil {
			if j := tr.Jobs[spec.ID]; j.Startable() || len(j.Occurrences) > 0 || j.Finished > 0 || j.State.Final() && spec.Ended == "" {
				t.Errorf("parts of a refused record are believed: %+v", j)
			}
		}
		tr.Reconcile(true, at(20))
		tr.OpenDue(at(20))
		for _, s := range tr.OpenSteps() {
			_ = s.Name()
		}
		Unwanted(tr.SortedVMs())
		tr.Pending("q")
		tr.Find(specifier.TaskID{Job: spec.ID, Index: 1})
		if e, err := tr.Jobs[spec.ID].Encode(MaxRecordBytes); err != nil || len(e.Value) > MaxRecordBytes {
			t.Errorf("%d bytes, %v", len(e.Value), err)
		}
	})
}
