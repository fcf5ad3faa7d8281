package changer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/finder"
	"bamboospread/internal/fleet/recorder"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
)

// fault is what happens to one swap on its way to the store.
type fault string

const (
	fine       fault = "fine"
	refused    fault = "refused"     // the store says no, without effect
	loseCall   fault = "lose call"   // sent, never arrives, no answer
	loseAnswer fault = "lose answer" // takes effect, no answer
	late       fault = "late"        // no answer, takes effect after what comes next
)

// link is the way to a stand-in store, with a script of faults for swaps.
type link struct {
	store  *storer.Store
	base   http.RoundTripper
	mu     sync.Mutex
	script []fault // for the coming swaps; then fine
	held   []*http.Request
}

func newLink(t testing.TB) (*link, *keeper.Keeper) {
	t.Helper()
	store := storer.New(storer.Config{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	l := &link{store: store, base: server.Client().Transport}
	return l, keeper.New(keeper.Config{URL: server.URL, HTTP: &http.Client{Transport: l}, CallTimeout: 100 * time.Millisecond})
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(r.URL.Path, keeper.KindSwap) {
		return l.base.RoundTrip(r)
	}
	l.mu.Lock()
	f := fine
	if len(l.script) > 0 {
		f, l.script = l.script[0], l.script[1:]
	}
	l.mu.Unlock()
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && f != fine && f != refused {
		trace.GotConn(httptrace.GotConnInfo{}) // the call may have left
	}
	switch f {
	case refused:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
	case loseCall:
		return nil, errors.New("reset")
	case loseAnswer:
		if a, err := l.base.RoundTrip(r); err == nil {
			a.Body.Close()
		}
		return nil, errors.New("reset")
	case late:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(strings.NewReader(string(body)))
		l.mu.Lock()
		l.held = append(l.held, again)
		l.mu.Unlock()
		return nil, errors.New("reset")
	}
	return l.base.RoundTrip(r)
}

// deliver lets the late calls arrive.
func (l *link) deliver() {
	for _, r := range l.held {
		if a, err := l.base.RoundTrip(r); err == nil {
			a.Body.Close()
		}
	}
	l.held = nil
}

func (l *link) record(t interface{ Fatal(...any) }) recorder.Record {
	stored := l.store.Record(recorder.Key)
	if stored.Revision == 0 {
		return recorder.Record{}
	}
	r, _, err := recorder.Decode(stored.Value)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func text(burst int) []byte {
	return fmt.Appendf(nil, "fleet: f\navailability-zones: [{name: a}, {name: b, state: out}]\ntenants: [{name: t, burst: %d}]\n", burst)
}

var ctx = context.Background()

func apply(c *Changer, base int64, id string, burst int) (int64, error) {
	return c.Apply(ctx, ApplyOptions{Text: text(burst), Base: base, ChangeID: id})
}

func TestConflictShowsTheDifference(t *testing.T) {
	_, k := newLink(t)
	c := New(Config{Keeper: k, FindText: func(v int64) (string, bool) { return string(text(1)), v == 1 }})
	for i, id := range []string{"one", "two"} {
		if v, err := apply(c, int64(i), id, i+1); err != nil || v != int64(i+1) {
			t.Fatalf("version %d, %v", v, err)
		}
	}
	_, err := apply(c, 1, "three", 3)
	want := ErrConflict{Base: 1, Current: 2, BaseKnown: true, Difference: []string{"changed tenant t: burst 1 -> 2"}}
	if diff := cmp.Diff(error(want), err); diff != "" {
		t.Error(diff)
	}
	_, err = apply(c, 0, "four", 4)
	want = ErrConflict{Base: 0, Current: 2, Difference: []string{"changed tenant t: burst 4 -> 2"}}
	if diff := cmp.Diff(error(want), err); diff != "" {
		t.Error(diff)
	}
}

func TestZones(t *testing.T) {
	l, k := newLink(t)
	c := New(Config{Keeper: k})
	if _, err := c.SetZone(ctx, "a", describer.ZoneOut, "early"); !IsErrZoneNotExist(err) {
		t.Errorf("before the first text: %v", err)
	}
	steps := []struct {
		name string
		do   func() (int64, error)
		is   func(error) bool // nil: accepted
		out  []string         // by command, afterwards
	}{
		{"first text", func() (int64, error) { return apply(c, 0, "1", 1) }, nil, nil},
		{"out", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneOut, "2") }, nil, []string{"a"}},
		{"a later text", func() (int64, error) { return apply(c, 2, "3", 2) }, nil, []string{"a"}},
		{"a text based on before", func() (int64, error) { return apply(c, 1, "4", 3) }, IsErrConflict, []string{"a"}},
		{"in", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneIn, "5") }, nil, []string{}},
		{"out again with the old id", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneOut, "2") }, nil, []string{}},
		{"the old id for another change", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneIn, "2") }, IsErrChangeIDReused, []string{}},
		{"in, but out in the text", func() (int64, error) { return c.SetZone(ctx, "b", describer.ZoneIn, "6") }, IsErrZoneOutInText, []string{}},
		{"unknown zone", func() (int64, error) { return c.SetZone(ctx, "x", describer.ZoneOut, "7") }, IsErrZoneNotExist, []string{}},
		{"bad text", func() (int64, error) { return c.Apply(ctx, ApplyOptions{Text: []byte("x"), Base: 4, ChangeID: "8"}) }, func(err error) bool {
			_, ok := finder.AsFindings(err)
			return ok
		}, []string{}},
	}
	for _, s := range steps {
		_, err := s.do()
		if (s.is == nil && err != nil) || (s.is != nil && !s.is(err)) {
			t.Errorf("%s: got %v", s.name, err)
		}
		if diff := cmp.Diff(s.out, l.record(t).ZonesOut, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: %s", s.name, diff)
		}
	}
}

// TestLostAnswersAreSettled loses the call or the answer of a change in several
// ways. The operator must see the outcome that the store has; without reading
// back, an effective change would be told as a conflict with itself.
func TestLostAnswersAreSettled(t *testing.T) {
	tests := []struct {
		name   string
		script []fault
		is     func(error) bool
	}{
		{"answer lost", []fault{loseAnswer}, nil},
		{"call lost", []fault{loseCall}, nil},
		{"call late", []fault{late}, nil},
		{"answer lost, then refused", []fault{loseAnswer, refused, refused}, nil},
		{"refused", []fault{refused}, IsErrUnavailable},
		{"never an answer", slicesRepeat(loseCall, 50), IsErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, k := newLink(t)
			l.script = tt.script
			c := New(Config{Keeper: k, Timeout: 500 * time.Millisecond})
			version, err := apply(c, 0, "one", 1)
			l.deliver()
			if (tt.is == nil && err != nil) || (tt.is != nil && !tt.is(err)) {
				t.Errorf("got %v", err)
			}
			if got := l.record(t).Version; got != version {
				t.Errorf("told version %d, stored is %d", version, got)
			}
			l.script = nil
			// A repeat with the same id gives the first version, or now does it.
			if v, err := apply(c, 0, "one", 1); err != nil || v != 1 || l.record(t).Version != 1 {
				t.Errorf("repeat: version %d, %v, stored %d", v, err, l.record(t).Version)
			}
		})
	}
}

func slicesRepeat(f fault, n int) []fault {
	all := make([]fault, n)
	for i := range all {
		all[i] = f
	}
	return all
}

// TestLostRecordGoesOnAboveTheHeldVersion deletes the record. Followers take
// only higher versions, so a count that began again at 1 would be accepted and
// yet be in force nowhere.
func TestLostRecordGoesOnAboveTheHeldVersion(t *testing.T) {
	l, k := newLink(t)
	c := New(Config{Keeper: k, Held: func() recorder.Record {
		return recorder.Record{Version: 7, Text: string(text(1)), ZonesOut: []string{"a"}}
	}})
	if v, err := apply(c, 7, "one", 2); err != nil || v != 8 {
		t.Errorf("version %d, %v", v, err)
	}
	if diff := cmp.Diff([]string{"a"}, l.record(t).ZonesOut); diff != "" {
		t.Error(diff)
	}
}

func TestRecordOfANewerProgramIsNotWrittenOver(t *testing.T) {
	l, k := newLink(t)
	value := []byte(`{"version":3,"text":"fleet: f\nnew: 1"}`)
	if _, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: recorder.Key, Value: value}); err != nil {
		t.Fatal(err)
	}
	_, err := New(Config{Keeper: k}).Apply(ctx, ApplyOptions{Text: text(1), Base: 3, ChangeID: "one"})
	if !errors.As(err, &recorder.ErrUnreadable{}) || string(l.store.Record(recorder.Key).Value) != string(value) {
		t.Errorf("got %v", err)
	}
}

// TestOutcomesAreTrueUnderFaults draws changes of two operators with faults on
// every swap, and compares each answer with the store: done means stored at the
// told version, conflict and unavailable mean never stored, also not by a call
// that arrives late.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, k := newLink(t)
		c := New(Config{Keeper: k, Timeout: 150 * time.Millisecond})
		type answer struct {
			version int64
			err     error
		}
		answers := make(map[string]answer)
		for i := range rapid.IntRange(1, 6).Draw(rt, "changes") {
			id := fmt.Sprintf("change-%d", i)
			l.script = rapid.SliceOfN(rapid.SampledFrom([]fault{fine, refused, loseCall, loseAnswer, late}), 0, 4).Draw(rt, "faults")
			base := max(0, l.record(rt).Version-int64(rapid.IntRange(0, 1).Draw(rt, "behind")))
			version, err := apply(c, base, id, i)
			answers[id] = answer{version, err}
			if rapid.Bool().Draw(rt, "deliver") {
				l.deliver()
			}
		}
		l.deliver()
		final := l.record(rt)
		for id, a := range answers {
			stored, ok := final.FindChange(id)
			switch {
			case a.err == nil && (!ok || stored.Version != a.version):
				rt.Errorf("%s was told as version %d, stored: %v %v", id, a.version, ok, stored)
			case (IsErrConflict(a.err) || IsErrUnavailable(a.err)) && ok:
				rt.Errorf("%s was told as not done (%v), but is stored as %v", id, a.err, stored)
			}
		}
		for i, change := range final.RecentChanges {
			if change.Version != int64(i+1) {
				rt.Errorf("versions do not rise by one: %v", final.RecentChanges)
			}
		}
	})
}
