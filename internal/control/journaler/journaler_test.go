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

// TestPausedOwnerStaysFenced pauses an owner while its successor takes later snapshots and
// deletes the journal. When the owner resumes, its append must fail. If the successor's
// opening entry were deleted, the sequence number would be free, the append would succeed
// and the owner would treat its decision as journalled.
func TestPausedOwnerStaysFenced(t *testing.T) {
	ctx := context.Background()
	m := newMemory()
	old, next := m.journaler("old"), m.journaler("next")
	mustOpen(t, old)
	if err := old.Append(ctx, textRecords("before")); err != nil {
		t.Fatal(err)
	}
	state := mustOpen(t, next)
	for i := range 10 {
		s := fmt.Sprintf("later %d", i)
		if err := next.Append(ctx, textRecords(s)); err != nil {
			t.Fatal(err)
		}
		state = append(state, s)
		raw, _ := json.Marshal(state)
		if err := next.Snapshot(ctx, next.NextSeq()-1, raw); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(m.records); n != 4 {
		t.Errorf("%d records left in the store, want two opening entries, the head and its chunk", n)
	}
	if err := old.Append(ctx, textRecords("after resuming")); !IsErrFenced(err) {
		t.Errorf("append of the resumed owner: %v, want ErrFenced", err)
	}
	if diff := cmp.Diff(append(state, "epoch 3"), mustOpen(t, m.journaler("third"))); diff != "" {
		t.Error(diff)
	}
}

// TestLostReplyIsResolved loses the reply to an append that took effect: the retry
// conflicts with the entry of the first try and must recognize it, so that the entry is
// journalled once.
func TestLostReplyIsResolved(t *testing.T) {
	m := newMemory()
	j := m.journaler("one")
	mustOpen(t, j)
	faults := []fault{replyLost, refused, noFault}
	m.injectFault = func(kind string) fault {
		if kind != "swap" || len(faults) == 0 {
			return noFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
	for _, s := range []string{"a", "b"} {
		if err := j.Append(context.Background(), textRecords(s)); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"epoch 1", "a", "b", "epoch 2"}
	if diff := cmp.Diff(want, mustOpen(t, m.journaler("two"))); diff != "" {
		t.Error(diff)
	}
}

// TestTwoOwnersNeverBothCommit interleaves three owners at every store call, with refused
// calls and lost replies: an owner that has not detected the loss of the cell continues while
// another one takes the cell over, appends, takes snapshots and deletes entries. Each record
// whose append succeeded must be in the history exactly once, and an epoch must contain
// entries of its own owner only.
func TestTwoOwnersNeverBothCommit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMemory()
		acknowledged := interleave(rt, m)
		m.injectFault = func(string) fault { return noFault }
		r, err := m.journaler("last").Open(context.Background(), openingRecords)
		if err != nil {
			rt.Fatalf("recover: %v", err)
		}
		checkHistory(rt, replayed(r), acknowledged)
	})
}

// actor is an owner that stops before each store call until it is resumed.
type actor struct {
	name      string
	started   bool
	resume    chan fault
	stopped   chan bool // true: before a call, false: ended
	committed []string
}

func interleave(rt *rapid.T, m *memory) (acknowledged []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var current *actor
	m.injectFault = func(string) fault {
		a := current
		a.stopped <- true
		return <-a.resume
	}
	var active, all []*actor
	for i := range 3 {
		a := &actor{name: fmt.Sprintf("owner-%d", i), resume: make(chan fault), stopped: make(chan bool)}
		active = append(active, a)
	}
	all = slices.Clone(active)
	step := func(a *actor, f fault) {
		current = a
		if !a.started {
			a.started = true
			go a.run(ctx, m)
		} else {
			a.resume <- f
		}
		if !<-a.stopped {
			active = slices.DeleteFunc(active, func(o *actor) bool { return o == a })
		}
	}
	for n := 0; n < 300 && len(active) > 0; n++ {
		a := active[rapid.IntRange(0, len(active)-1).Draw(rt, "actor")]
		f := noFault
		if rapid.IntRange(0, 5).Draw(rt, "faulty") == 0 {
			f = fault(rapid.IntRange(1, 2).Draw(rt, "fault"))
		}
		step(a, f)
	}
	cancel()
	for len(active) > 0 {
		step(active[0], refused)
	}
	for _, a := range all {
		acknowledged = append(acknowledged, a.committed...)
	}
	return acknowledged
}

func (a *actor) run(ctx context.Context, m *memory) {
	defer func() { a.stopped <- false }()
	j := m.journaler(a.name)
	r, err := j.Open(ctx, openingRecords)
	if err != nil {
		return
	}
	state := replayed(r)
	for i := range 6 {
		s := fmt.Sprintf("%s/%d", a.name, i)
		if j.Append(ctx, textRecords(s)) != nil {
			return
		}
		a.committed = append(a.committed, s)
		state = append(state, s)
		if i%2 == 1 {
			raw, _ := json.Marshal(state)
			_ = j.Snapshot(ctx, j.NextSeq()-1, raw)
		}
	}
}

func checkHistory(rt *rapid.T, history, acknowledged []string) {
	seen := make(map[string]bool)
	epoch, owner := 0, ""
	for _, s := range history {
		if seen[s] {
			rt.Errorf("%q is journalled twice in %v", s, history)
		}
		seen[s] = true
		var e int
		if n, _ := fmt.Sscanf(s, "epoch %d", &e); n == 1 {
			if e <= epoch { // an epoch may be missing, if its owner started over
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
	for _, s := range acknowledged {
		if !seen[s] {
			rt.Errorf("append of %q succeeded but it is not in %v", s, history)
		}
	}
}

// TestFailedSnapshotsLeaveNoRecords refuses each store call of a snapshot in turn. What the
// failed snapshot had written or not yet deleted must be deleted by a later snapshot of
// this owner or of the next one, otherwise complete states accumulate in the store.
func TestFailedSnapshotsLeaveNoRecords(t *testing.T) {
	ctx := context.Background()
	for _, by := range []string{"this owner", "the next"} {
		for call := 0; ; call++ {
			m := newMemory()
			j := m.journaler("one")
			mustOpen(t, j)
			snapshot := func(s string) error {
				if err := j.Append(ctx, textRecords(s)); err != nil {
					t.Fatal(err)
				}
				return j.Snapshot(ctx, j.NextSeq()-1, []byte(`["`+s+`"]`))
			}
			if err := snapshot("first"); err != nil {
				t.Fatal(err)
			}
			if err := j.Append(ctx, textRecords("second")); err != nil {
				t.Fatal(err)
			}
			calls := -1
			m.injectFault = func(string) fault {
				if calls++; calls == call {
					return refused
				}
				return noFault
			}
			_ = j.Snapshot(ctx, j.NextSeq()-1, []byte(`["second"]`))
			if calls < call {
				break
			}
			m.injectFault = func(string) fault { return noFault }
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
