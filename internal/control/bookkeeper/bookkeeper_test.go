package bookkeeper

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// drawRecord returns a random record, valid or not, for a few tasks and VMs.
func drawRecord(t *rapid.T, n int) Record {
	pick := func(prefix string, many int) string {
		return fmt.Sprintf("%s%d", prefix, rapid.IntRange(1, many).Draw(t, prefix))
	}
	task, vm := pick("t", 6), pick("v", 3)
	attempt := int64(rapid.IntRange(1, 4).Draw(t, "attempt"))
	r := Record{At: start.Add(time.Duration(n) * time.Second)}
	if rapid.Bool().Draw(t, "decision") {
		r.Decision = &messenger.Decision{Task: task, VM: vm, Reason: "drawn", Inputs: map[string]string{"n": fmt.Sprint(n)}}
	}
	needs := describer.Resources{Millicores: int64(rapid.IntRange(0, 900).Draw(t, "needs")), MemoryBytes: int64(rapid.IntRange(0, 90).Draw(t, "memory"))}
	switch rapid.IntRange(0, 16).Draw(t, "kind") {
	case 16:
		r.CompletedEarlier = &CompletedEarlier{Task: task, Attempt: attempt}
	case 0:
		r.Takeover = &Takeover{Epoch: int64(n), EntryID: "e", VMLease: 6 * time.Second, OutageLease: time.Duration(n) * time.Second}
	case 1:
		r.EarlierLeasesExpired = &EarlierLeasesExpired{}
	case 2, 3:
		r.VMSeen = &VMSeen{Capacity: messenger.Capacity{VM: vm, Zone: "z", Total: describer.Resources{Millicores: 1000, MemoryBytes: 100}}, AgentID: "a", Incarnation: int64(n)}
	case 4:
		r.Quarantine = &Quarantine{VM: vm, Reason: rapid.SampledFrom([]string{"", "fails"}).Draw(t, "reason"), Until: r.At}
	case 5, 6, 7:
		r.Submitted = &Submitted{Spec: messenger.TaskSpec{ID: task, Tenant: "x", Needs: needs, Payload: "p"}, Digest: "d"}
	case 8, 9, 10:
		r.Started = &Started{Task: task, VM: vm, Attempt: attempt}
	case 11:
		r.Confirmed = &Confirmed{Task: task, Attempt: attempt}
	case 12:
		r.Stopping = &Stopping{Task: task, Attempt: attempt, Kind: rapid.SampledFrom([]StopKind{StopMove, StopCancel, StopAbort}).Draw(t, "stop")}
	case 13:
		next := rapid.SampledFrom([]messenger.TaskState{messenger.TaskQueued, messenger.TaskCompleted, messenger.TaskCancelled, messenger.TaskHeld}).Draw(t, "next")
		r.Ended = &Ended{Task: task, Attempt: attempt, Next: next, Failed: rapid.Bool().Draw(t, "failed"), Checkpoint: rapid.SampledFrom([]string{"", "c"}).Draw(t, "checkpoint")}
	case 14:
		r.Cancelled = &Cancelled{Task: task}
	case 15:
		if rapid.Bool().Draw(t, "close") {
			r.ClaimClosed = &ClaimClosed{Tenant: "x", Key: task, RequestID: vm, Outcome: rapid.SampledFrom([]messenger.Outcome{messenger.OutcomeRun, messenger.OutcomeNotRun, messenger.OutcomeUnknown}).Draw(t, "outcome")}
		} else {
			r.Claimed = &Claimed{Tenant: "x", Key: task, RequestID: vm}
		}
	}
	return r
}

func encode(t *rapid.T, s *CellState) string {
	raw, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestReplayFromSnapshot takes a snapshot after a random record and replays the
// records journalled after it on the decoded snapshot. The state must be the
// same, and each journalled record must apply again.
func TestReplayFromSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		var journal [][]byte
		count := rapid.IntRange(1, 80).Draw(t, "records")
		snapshotAfter := rapid.IntRange(0, count).Draw(t, "cut")
		snapshot, from := encode(t, s), 0
		for n := range count {
			r := drawRecord(t, n+1)
			raw, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			before := encode(t, s)
			if s.Apply(r) == nil {
				journal = append(journal, raw)
			} else if after := encode(t, s); after != before {
				t.Fatalf("a rejected record changed the state: %s", cmp.Diff(before, after))
			}
			if n+1 == snapshotAfter {
				snapshot, from = encode(t, s), len(journal)
			}
		}
		replayed, err := Decode([]byte(snapshot))
		if err != nil {
			t.Fatal(err)
		}
		for _, raw := range journal[from:] {
			var r Record
			if err := json.Unmarshal(raw, &r); err != nil {
				t.Fatal(err)
			}
			if err := replayed.Apply(r); err != nil {
				t.Fatalf("journalled record is rejected on replay: %v", err)
			}
		}
		if diff := cmp.Diff(encode(t, s), encode(t, replayed)); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(s.Counts(), replayed.Counts()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestNeverOvercommits applies random records. The resources that tasks hold on
// a VM must never exceed its capacity, and a task must never hold resources of
// two VMs.
func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		for n := range rapid.IntRange(1, 120).Draw(t, "records") {
			_ = s.Apply(drawRecord(t, n+1))
			held := make(map[string]string)
			for _, vm := range s.VMs() {
				if c := s.Committed(vm); !c.Fits(s.VM(vm).Seen.Capacity.Total) {
					t.Fatalf("VM %s is overcommitted: %+v", vm, c)
				}
				for _, task := range s.On(vm) {
					if other, twice := held[task.Spec.ID]; twice {
						t.Fatalf("task %s holds resources of VMs %s and %s", task.Spec.ID, other, vm)
					}
					held[task.Spec.ID] = vm
				}
			}
		}
	})
}

// TestUpstreamsAreCommitted checks that upstreams count in addition to tasks,
// and that the upstream of a replica task counts once.
func TestUpstreamsAreCommitted(t *testing.T) {
	needs := describer.Resources{Millicores: 300}
	cases := []struct {
		name      string
		replicas  int
		upstreams int64
		want      int64
	}{
		{"upstreams without replica tasks", 0, 2, 600},
		{"a replica and its upstream", 1, 1, 300},
		{"second replica without an upstream yet", 2, 1, 600},
		{"more upstreams than replicas", 1, 3, 900},
	}
	for _, c := range cases {
		s := New()
		seen := &VMSeen{Capacity: messenger.Capacity{VM: "v", Total: describer.Resources{Millicores: 1000}}}
		records := []Record{{VMSeen: seen}}
		for i := range c.replicas {
			id := fmt.Sprint("r", i)
			records = append(records, Record{Submitted: &Submitted{Spec: messenger.TaskSpec{ID: id, Service: "s", Needs: needs}}},
				Record{Started: &Started{Task: id, VM: "v", Attempt: 1}})
		}
		announced := *seen
		announced.Services = []ServiceUsage{{Service: "s", Count: c.upstreams, Needs: needs}}
		for _, r := range append(records, Record{VMSeen: &announced}) {
			if err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if got := s.Committed("v").Millicores; got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	state := New()
	for n := range 10000 {
		spec := messenger.TaskSpec{ID: fmt.Sprint("task-", n), Tenant: "caroni", Class: "labels"}
		if err := state.Apply(Record{At: start, Submitted: &Submitted{Spec: spec}}); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		if _, err := state.Encode(); err != nil {
			b.Fatal(err)
		}
	}
}

// TestAnswersAreBounded closes claims with large answers. The state must keep
// the latest answers and still record for each claim that its request ran.
func TestAnswersAreBounded(t *testing.T) {
	s := New()
	body := make([]byte, 1<<20)
	const requests = 20
	for n := range requests {
		key := fmt.Sprint("k", n)
		for _, r := range []Record{
			{At: start, Claimed: &Claimed{Tenant: "x", Key: key, RequestID: "r"}},
			{At: start, ClaimClosed: &ClaimClosed{Tenant: "x", Key: key, RequestID: "r", Outcome: messenger.OutcomeRun, Answer: &messenger.StoredAnswer{Status: 200, Body: body, Complete: true}}},
		} {
			if err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
	}
	complete := 0
	for n := range requests {
		c := s.Claim("x", fmt.Sprint("k", n))
		if c.State != messenger.ClaimResolved || c.Answer.Status != 200 {
			t.Errorf("claim %d: %+v", n, c)
		}
		if c.Answer.Complete {
			complete++
		}
	}
	if want := maxAnswerBytes / len(body); complete != want {
		t.Errorf("%d answers stored, want %d", complete, want)
	}
	if err := s.Apply(Record{At: start, OldClaimsRemoved: &OldClaimsRemoved{Before: start.Add(time.Hour)}}); err != nil || s.data.AnswerBytes != 0 || s.CountClaims() != 0 {
		t.Errorf("after removing old claims: %d bytes, %d claims, error %v", s.data.AnswerBytes, s.CountClaims(), err)
	}
}

// Guards against a VM that never accepts a task again after its quarantine: replicas, and tasks of
// before the quarantine, counted as the one task that shows whether its worker is sound.
func TestOnlyTasksSinceQuarantineAreProbes(t *testing.T) {
	tests := []struct {
		name             string
		service          string
		before, confirms bool // started before the quarantine; reported as running
		want             int
	}{
		{"a task of before", "", true, true, 0},
		{"a task", "", false, false, 1},
		{"a task that runs", "", false, true, 1},
		{"a replica of before", "s", true, true, 0},
		{"a replica that is starting", "s", false, false, 1},
		{"a replica that runs", "s", false, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			apply := func(r Record) {
				t.Helper()
				r.At = start
				if err := s.Apply(r); err != nil {
					t.Fatal(err)
				}
			}
			apply(Record{VMSeen: &VMSeen{Capacity: messenger.Capacity{VM: "v", Total: describer.Resources{Millicores: 1000}}}})
			apply(Record{Submitted: &Submitted{Spec: messenger.TaskSpec{ID: "t", Service: tt.service}}})
			quarantine := func() {
				apply(Record{Quarantine: &Quarantine{VM: "v", Reason: "fails", Until: start}})
				apply(Record{Quarantine: &Quarantine{VM: "v"}})
			}
			if !tt.before {
				quarantine()
			}
			apply(Record{Started: &Started{Task: "t", VM: "v", Attempt: 1}})
			if tt.confirms {
				apply(Record{Confirmed: &Confirmed{Task: "t", Attempt: 1}})
			}
			if tt.before {
				quarantine()
			}
			if got := s.CountProbes("v"); got != tt.want {
				t.Errorf("%d probes, want %d", got, tt.want)
			}
		})
	}
}
