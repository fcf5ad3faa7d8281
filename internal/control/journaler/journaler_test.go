package journaler

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestPausedOwnerStaysFenced pauses an owner, lets a successor snapshot far
// past it and delete the journal, and wakes it: its append must fail. With the
// successor's opening entry deleted, the append would find its sequence number
// free, succeed, and the woken owner would take its decision as journalled.
func TestPausedOwnerStaysFenced(t *testing.T) {
	ctx := context.Background()
	m := newMemory()
	old, next := m.journaler("old"), m.journaler("next")
	mustOpen(t, old)
	if err := old.Append(ctx, text("before")); err != nil {
		t.Fatal(err)
	}
	state := mustOpen(t, next)
	for i := range 10 {
		s := fmt.Sprintf("later %d", i)
		if err := next.Append(ctx, text(s)); err != nil {
			t.Fatal(err)
		}
		state = append(state, s)
		raw, _ := json.Marshal(state)
		if err := next.Snapshot(ctx, next.Next()-1, raw); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(m.records); n != 4 {
		t.Errorf("%d records left in the store, want two opening entries, the head and its chunk", n)
	}
	if err := old.Append(ctx, text("after waking")); !IsErrFenced(err) {
		t.Errorf("append of the woken owner: %v, want it fenced", err)
	}
	if diff := cmp.Diff(append(state, "epoch 3"), mustOpen(t, m.journaler("third"))); diff != "" {
		t.Error(diff)
	}
}

// TestLostAnswerIsSettled loses the answer of an append after its effect: the
// repeat meets its own entry and must take it as its own, once.
func TestLostAnswerIsSettled(t *testing.T) {
	m := newMemory()
	j := m.journaler("one")
	mustOpen(t, j)
	faults := []fault{answerLost, refused, none}
	m.seam = func(kind string) fault {
		if kind != "swap" || len(faults) == 0 {
			return none
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
	for _, s := range []string{"a", "b"} {
		if err := j.Append(context.Background(), text(s)); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"epoch 1", "a", "b", "epoch 2"}
	if diff := cmp.Diff(want, mustOpen(t, m.journaler("two"))); diff != "" {
		t.Error(diff)
	}
}

// TestTwoOwnersNeverBothCommit interleaves three owners at every store call,
// with calls refused and answers lost: one that believes to own the cell runs
// on while another takes it over, appends, snapshots and deletes. What an owner
// was told is journalled must be in the history once, and an epoch must hold
// the entries of its own owner only.
func TestTwoOwnersNeverBothCommit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMemory()
		told := interleave(rt, m)
		m.seam = func(string) fault { return none }
		r, err := m.journaler("last").Open(context.Background(), opening)
		if err != nil {
			rt.Fatalf("recover: %v", err)
		}
		checkHistory(rt, replayed(r), told)
	})
}

// actor is an owner that waits before each store call until it is resumed.
type actor struct {
	name      string
	started   bool
	resume    chan fault
	waits     chan bool // true: before a call, false: ended
	committed []string
}

func interleave(rt *rapid.T, m *memory) (told []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var current *actor
	m.seam = func(string) fault {
		a := current
		a.waits <- true
		return <-a.resume
	}
	var live, all []*actor
	for i := range 3 {
		a := &actor{name: fmt.Sprintf("owner-%d", i), resume: make(chan fault), waits: make(chan bool)}
		live = append(live, a)
	}
	all = slices.Clone(live)
	step := func(a *actor, f fault) {
		current = a
		if !a.started {
			a.started = true
			go a.run(ctx, m)
		} else {
			a.resume <- f
		}
		if !<-a.waits {
			live = slices.DeleteFunc(live, func(o *actor) bool { return o == a })
		}
	}
	for n := 0; n < 300 && len(live) > 0; n++ {
		a := live[rapid.IntRange(0, len(live)-1).Draw(rt, "who")]
		f := none
		if rapid.IntRange(0, 5).Draw(rt, "faulty") == 0 {
			f = fault(rapid.IntRange(1, 2).Draw(rt, "fault"))
		}
		step(a, f)
	}
	cancel()
	for len(live) > 0 {
		step(live[0], refused)
	}
	for _, a := range all {
		told = append(told, a.committed...)
	}
	return told
}

func (a *actor) run(ctx context.Context, m *memory) {
	defer func() { a.waits <- false }()
	j := m.journaler(a.name)
	r, err := j.Open(ctx, opening)
	if err != nil {
		return
	}
	state := replayed(r)
	for i := range 6 {
		s := fmt.Sprintf("%s/%d", a.name, i)
		if j.Append(ctx, text(s)) != nil {
			return
		}
		a.committed = append(a.committed, s)
		state = append(state, s)
		if i%2 == 1 {
			raw, _ := json.Marshal(state)
			_ = j.Snapshot(ctx, j.Next()-1, raw)
		}
	}
}

func checkHistory(rt *rapid.T, history, told []string) {
	seen := make(map[string]bool)
	epoch, owner := 0, ""
	for _, s := range history {
		if seen[s] {
			rt.Errorf("%q stands twice in %v", s, history)
		}
		seen[s] = true
		var e int
		if n, _ := fmt.Sscanf(s, "epoch %d", &e); n == 1 {
			if e <= epoch { // one may be missing: of an opening that its owner gave up
				rt.Errorf("epoch %d after %d in %v", e, epoch, history)
			}
			epoch, owner = e, ""
			continue
		}
		name, _, _ := strings.Cut(s, "/")
		if owner != "" && name != owner {
			rt.Errorf("two owners in one epoch: %v", history)
		}
		owner = name
	}
	for _, s := range told {
		if !seen[s] {
			rt.Errorf("%q was told to be journalled and is not in %v", s, history)
		}
	}
}

// TestSnapshotsThatFailLeaveNothing refuses one call of a snapshot after the other: what
// it had written or not yet deleted must go with a later snapshot of this owner, or of
// the next, else whole states pile up in the store.
func TestSnapshotsThatFailLeaveNothing(t *testing.T) {
	ctx := context.Background()
	for _, by := range []string{"this owner", "the next"} {
		for call := 0; ; call++ {
			m := newMemory()
			j := m.journaler("one")
			mustOpen(t, j)
			snapshot := func(s string) error {
				if err := j.Append(ctx, text(s)); err != nil {
					t.Fatal(err)
				}
				return j.Snapshot(ctx, j.Next()-1, []byte(`["`+s+`"]`))
			}
			if err := snapshot("first"); err != nil {
				t.Fatal(err)
			}
			if err := j.Append(ctx, text("second")); err != nil {
				t.Fatal(err)
			}
			calls := -1
			m.seam = func(string) fault {
				if calls++; calls == call {
					return refused
				}
				return none
			}
			_ = j.Snapshot(ctx, j.Next()-1, []byte(`["second"]`))
			if calls < call {
				break
			}
			m.seam = func(string) fault { return none }
			want := 3 // opening entry, head and chunk
			if by == "the next" {
				j, want = m.journaler("two"), 4
				mustOpen(t, j)
			}
			if err := snapshot("third"); err != nil {
				t.Fatal(err)
			}
			if n := len(m.records); n != want {
				t.Errorf("call %d refused, cleaned up by %s: %d records left, want %d", call, by, n, want)
			}
		}
	}
}
