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

// fault is a failure of one swap call to the store.
type fault string

const (
	noFault    fault = "none"
	refused    fault = "refused"     // the store rejects the call, without effect
	loseCall   fault = "lose call"   // sent, but never arrives; no answer
	loseAnswer fault = "lose answer" // takes effect; no answer
	delayed    fault = "delayed"     // no answer; takes effect after later calls
)

// faultyTransport connects to a stand-in store and injects faults into swap calls.
type faultyTransport struct {
	store        *storer.Store
	base         http.RoundTripper
	mu           sync.Mutex
	script       []fault // of the next swaps; then no faults
	delayedCalls []*http.Request
}

func newTransport(t testing.TB) (*faultyTransport, *keeper.Keeper) {
	t.Helper()
	store := storer.New(storer.Config{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	tr := &faultyTransport{store: store, base: server.Client().Transport}
	return tr, keeper.New(keeper.Config{URL: server.URL, HTTP: &http.Client{Transport: tr}, CallTimeout: 100 * time.Millisecond})
}

// RoundTrip implements http.RoundTripper.
func (tr *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(r.URL.Path, keeper.KindSwap) {
		return tr.base.RoundTrip(r)
	}
	tr.mu.Lock()
	f := noFault
	if len(tr.script) > 0 {
		f, tr.script = tr.script[0], tr.script[1:]
	}
	tr.mu.Unlock()
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && f != noFault && f != refused {
		trace.GotConn(httptrace.GotConnInfo{}) // the call may have been sent
	}
	switch f {
	case refused:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
	case loseCall:
		return nil, errors.New("reset")
	case loseAnswer:
		if a, err := tr.base.RoundTrip(r); err == nil {
			a.Body.Close()
		}
		return nil, errors.New("reset")
	case delayed:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(strings.NewReader(string(body)))
		tr.mu.Lock()
		tr.delayedCalls = append(tr.delayedCalls, again)
		tr.mu.Unlock()
		return nil, errors.New("reset")
	}
	return tr.base.RoundTrip(r)
}

// deliverDelayed sends the delayed calls to the store.
func (tr *faultyTransport) deliverDelayed() {
	for _, r := range tr.delayedCalls {
		if a, err := tr.base.RoundTrip(r); err == nil {
			a.Body.Close()
		}
	}
	tr.delayedCalls = nil
}

func (tr *faultyTransport) record(t interface{ Fatal(...any) }) recorder.Record {
	stored := tr.store.Record(recorder.Key)
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

func TestConflictListsDifferences(t *testing.T) {
	_, k := newTransport(t)
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

func TestSetZone(t *testing.T) {
	tr, k := newTransport(t)
	c := New(Config{Keeper: k})
	if _, err := c.SetZone(ctx, "a", describer.ZoneOut, "early"); !IsErrZoneNotExist(err) {
		t.Errorf("before the first text: %v", err)
	}
	steps := []struct {
		name     string
		do       func() (int64, error)
		wantErr  func(error) bool // nil: the change is accepted
		zonesOut []string         // by command, after the step
	}{
		{"first text", func() (int64, error) { return apply(c, 0, "1", 1) }, nil, nil},
		{"out", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneOut, "2") }, nil, []string{"a"}},
		{"a later text", func() (int64, error) { return apply(c, 2, "3", 2) }, nil, []string{"a"}},
		{"a text based on an older version", func() (int64, error) { return apply(c, 1, "4", 3) }, IsErrConflict, []string{"a"}},
		{"in", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneIn, "5") }, nil, []string{}},
		{"repeat of an earlier change id", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneOut, "2") }, nil, []string{}},
		{"earlier change id for another change", func() (int64, error) { return c.SetZone(ctx, "a", describer.ZoneIn, "2") }, IsErrChangeIDReused, []string{}},
		{"in, while the text sets it to out", func() (int64, error) { return c.SetZone(ctx, "b", describer.ZoneIn, "6") }, IsErrZoneOutInText, []string{}},
		{"unknown zone", func() (int64, error) { return c.SetZone(ctx, "x", describer.ZoneOut, "7") }, IsErrZoneNotExist, []string{}},
		{"invalid text", func() (int64, error) { return c.Apply(ctx, ApplyOptions{Text: []byte("x"), Base: 4, ChangeID: "8"}) }, func(err error) bool {
			_, ok := finder.AsFindings(err)
			return ok
		}, []string{}},
	}
	for _, s := range steps {
		_, err := s.do()
		if (s.wantErr == nil && err != nil) || (s.wantErr != nil && !s.wantErr(err)) {
			t.Errorf("%s: got %v", s.name, err)
		}
		if diff := cmp.Diff(s.zonesOut, tr.record(t).ZonesOut, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: %s", s.name, diff)
		}
	}
}

// TestLostAnswersAreResolved loses the call or the answer of a change in several
// ways. The operator must get the outcome that the store has; without reading the
// record again, an effective change would be reported as a conflict with itself.
func TestLostAnswersAreResolved(t *testing.T) {
	tests := []struct {
		name    string
		script  []fault
		wantErr func(error) bool
	}{
		{"answer lost", []fault{loseAnswer}, nil},
		{"call lost", []fault{loseCall}, nil},
		{"call delayed", []fault{delayed}, nil},
		{"answer lost, then refused", []fault{loseAnswer, refused, refused}, nil},
		{"refused", []fault{refused}, IsErrUnavailable},
		{"all calls lost", repeatFault(loseCall, 50), IsErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, k := newTransport(t)
			tr.script = tt.script
			c := New(Config{Keeper: k, Timeout: 500 * time.Millisecond})
			version, err := apply(c, 0, "one", 1)
			tr.deliverDelayed()
			if (tt.wantErr == nil && err != nil) || (tt.wantErr != nil && !tt.wantErr(err)) {
				t.Errorf("got %v", err)
			}
			if got := tr.record(t).Version; got != version {
				t.Errorf("reported version %d, stored version %d", version, got)
			}
			tr.script = nil
			// A repeat with the same id returns the first version, or applies the change now.
			if v, err := apply(c, 0, "one", 1); err != nil || v != 1 || tr.record(t).Version != 1 {
				t.Errorf("repeat: version %d, %v, stored %d", v, err, tr.record(t).Version)
			}
		})
	}
}

func repeatFault(f fault, n int) []fault {
	all := make([]fault, n)
	for i := range all {
		all[i] = f
	}
	return all
}

// TestVersionContinuesAfterLostRecord starts with a store that has lost the record.
// Followers apply only higher versions, so a change with version 1 would be accepted
// but take effect nowhere.
func TestVersionContinuesAfterLostRecord(t *testing.T) {
	tr, k := newTransport(t)
	c := New(Config{Keeper: k, LastKnown: func() recorder.Record {
		return recorder.Record{Version: 7, Text: string(text(1)), ZonesOut: []string{"a"}}
	}})
	if v, err := apply(c, 7, "one", 2); err != nil || v != 8 {
		t.Errorf("version %d, %v", v, err)
	}
	if diff := cmp.Diff([]string{"a"}, tr.record(t).ZonesOut); diff != "" {
		t.Error(diff)
	}
}

func TestRecordOfNewerProgramIsNotOverwritten(t *testing.T) {
	tr, k := newTransport(t)
	value := []byte(`{"version":3,"text":"fleet: f\nnew: 1"}`)
	if _, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: recorder.Key, Value: value}); err != nil {
		t.Fatal(err)
	}
	_, err := New(Config{Keeper: k}).Apply(ctx, ApplyOptions{Text: text(1), Base: 3, ChangeID: "one"})
	if !errors.As(err, &recorder.ErrUnreadable{}) || string(tr.store.Record(recorder.Key).Value) != string(value) {
		t.Errorf("got %v", err)
	}
}

// TestOutcomesMatchStoreUnderFaults generates changes, some based on an outdated
// version, with faults on every swap, and compares each answer with the store: done
// means stored with the reported version; conflict and unavailable mean never
// stored, not even by a call that arrives late.
func TestOutcomesMatchStoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr, k := newTransport(t)
		c := New(Config{Keeper: k, Timeout: 150 * time.Millisecond})
		type answer struct {
			version int64
			err     error
		}
		answers := make(map[string]answer)
		for i := range rapid.IntRange(1, 6).Draw(rt, "changes") {
			id := fmt.Sprintf("change-%d", i)
			tr.script = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, refused, loseCall, loseAnswer, delayed}), 0, 4).Draw(rt, "faults")
			base := max(0, tr.record(rt).Version-int64(rapid.IntRange(0, 1).Draw(rt, "behind")))
			version, err := apply(c, base, id, i)
			answers[id] = answer{version, err}
			if rapid.Bool().Draw(rt, "deliver") {
				tr.deliverDelayed()
			}
		}
		tr.deliverDelayed()
		final := tr.record(rt)
		for id, a := range answers {
			stored, ok := final.FindChange(id)
			switch {
			case a.err == nil && (!ok || stored.Version != a.version):
				rt.Errorf("%s was reported as version %d, stored: %v %v", id, a.version, ok, stored)
			case (IsErrConflict(a.err) || IsErrUnavailable(a.err)) && ok:
				rt.Errorf("%s was reported as not done (%v), but is stored as %v", id, a.err, stored)
			}
		}
		for i, change := range final.RecentChanges {
			if change.Version != int64(i+1) {
				rt.Errorf("versions do not increase by one: %v", final.RecentChanges)
			}
		}
	})
}
