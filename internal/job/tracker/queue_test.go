package tracker

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/job/specifier"
)

// stored returns what a later owner reads of an accepted job.
func stored(t interface{ Fatal(...any) }, j *specifier.Job) *specifier.Job {
	raw, err := json.Marshal(j)
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeJob(raw)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func acceptedIn(q specifier.Queue, n int, step specifier.Step) *specifier.Job {
	j := &specifier.Job{ID: fmt.Sprintf("%016x", n), Steps: []specifier.Step{step}}
	q.Accept(j)
	return j
}

// Guards against jobs that are never continued: the operators have removed their queue, and an owner
// that has never seen it takes over.
func TestJobOfRemovedQueueContinues(t *testing.T) {
	queue := specifier.Queue{Name: "q", Host: "h", Prefix: "/p/", Service: "s", Priority: 2, MaxFailures: 4, Slack: 2.5, Target: 1500 * time.Millisecond, Advised: true, AdviceTime: 20 * time.Millisecond, AdvicePerVM: time.Millisecond, AdviceValid: 5 * time.Second}
	want := queue
	want.Host, want.Prefix = "", ""
	changed := queue
	changed.Slack = 4
	tests := []struct {
		name     string
		policies []specifier.Queue // of consecutive policies; the zero queue: it is not defined
		want     specifier.Queue
	}{
		{"never seen", []specifier.Queue{{}}, want},
		{"removed", []specifier.Queue{queue, {}}, want},
		{"changed", []specifier.Queue{queue, changed}, changed},
		{"changed and removed", []specifier.Queue{queue, changed, {}}, want},
		{"removed and defined again", []specifier.Queue{{}, changed}, changed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			policy := func(version int64, q specifier.Queue) *specifier.Policy {
				p := &specifier.Policy{Version: version}
				if q.Name != "" {
					p.Queues = []specifier.Queue{q}
				}
				return p
			}
			tr := New(Config{Policy: policy(1, tt.policies[0])})
			tr.AddJob(stored(t, acceptedIn(queue, 1, oneSecond)), time.Time{}, begin)
			for i, q := range tt.policies[1:] {
				tr.SetPolicy(policy(int64(i+2), q))
			}
			if got := tr.Jobs[fmt.Sprintf("%016x", 1)].Queue; got != tt.want {
				t.Errorf("queue %+v, want %+v", got, tt.want)
			}
			if len(tr.WaitingSteps(begin)) != 1 {
				t.Error("its step does not wait for a VM")
			}
		})
	}
}

// Jobs stored by an earlier build have no settings: they wait as before until their queue is defined.
func TestJobWithoutStoredQueue(t *testing.T) {
	tr := New(Config{Policy: &specifier.Policy{Version: 1}})
	tr.AddJob(&specifier.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", Steps: []specifier.Step{oneSecond}}, time.Time{}, begin)
	if len(tr.WaitingSteps(begin)) != 0 {
		t.Error("a step of an unknown queue waits for a VM")
	}
	tr.SetPolicy(&specifier.Policy{Version: 2, Queues: []specifier.Queue{{Name: "q"}}})
	if len(tr.WaitingSteps(begin)) != 1 {
		t.Error("its step does not wait for a VM")
	}
}

// Whatever the order of configurations, acceptances and changes of owner, each accepted job has a queue
// and runs on the VMs of a service that some configuration sent its queue to.
func TestEveryAcceptedJobHasItsQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := &specifier.Policy{Version: 1}
		tr := New(Config{Policy: policy})
		services := make(map[string]map[string]bool) // by queue
		var accepted []*specifier.Job
		for n := range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"configure", "accept", "change owner"}).Draw(t, "event") {
			case "configure":
				policy = &specifier.Policy{Version: policy.Version + 1}
				for _, name := range []string{"a", "b", "c"} {
					if rapid.Bool().Draw(t, "defined") {
						q := specifier.Queue{Name: name, Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")}
						policy.Queues = append(policy.Queues, q)
						if services[name] == nil {
							services[name] = make(map[string]bool)
						}
						services[name][q.Service] = true
					}
				}
				if rapid.Bool().Draw(t, "applied") { // or it reaches the owner later
					tr.SetPolicy(policy)
				}
			case "accept":
				if len(policy.Queues) == 0 {
					continue
				}
				j := acceptedIn(rapid.SampledFrom(policy.Queues).Draw(t, "queue"), n+1, oneSecond)
				j.Steps[0].LongRunning = rapid.Bool().Draw(t, "long-running")
				accepted = append(accepted, j)
				if rapid.Bool().Draw(t, "config first") {
					tr.SetPolicy(&specifier.Policy{Version: policy.Version + 1})
				}
				tr.AddJob(stored(t, j), time.Time{}, begin)
			case "change owner":
				tr = New(Config{Policy: policy})
				for _, j := range accepted {
					tr.AddJob(stored(t, j), time.Time{}, begin)
				}
			}
			waiting := make(map[string]bool)
			for _, s := range tr.WaitingSteps(begin) {
				j := s.Occurrence.Job
				waiting[j.Spec.ID] = true
				if !services[j.Spec.Queue][j.Queue.Service] {
					t.Fatalf("job %s of queue %s runs on service %q", j.Spec.ID, j.Spec.Queue, j.Queue.Service)
				}
			}
			for _, j := range accepted {
				if !waiting[j.ID] {
					t.Fatalf("job %s of queue %s does not wait for a VM", j.ID, j.Queue)
				}
			}
		}
	})
}
