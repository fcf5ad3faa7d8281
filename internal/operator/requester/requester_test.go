package requester

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/fleet/changer"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/follower"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// callCell replaces the owner of a cell.
type callCell func(method string, params, result any) error

// entry serves the operator API of an entry over a stand-in store.
type entry struct {
	*httptest.Server
	follower *follower.Follower
}

func newEntry(t *testing.T, storeURL string, call callCell) entry {
	t.Helper()
	k := keeper.New(keeper.Config{URL: storeURL, CallTimeout: 100 * time.Millisecond})
	f := follower.New(follower.Config{Keeper: k})
	c := changer.New(changer.Config{Keeper: k, Timeout: 400 * time.Millisecond, FindText: f.FindText, LastKnown: f.CurrentRecord})
	h := handler.New(handler.Config{Cell: "main", Changer: c, Follower: f, CallCell: func(_ context.Context, _, method string, params, result any) error {
		return call(method, params, result)
	}})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return entry{server, f}
}

func newStore(t *testing.T) (*storer.Store, string) {
	t.Helper()
	store := storer.New(storer.Config{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, server.URL
}

func text(burst int) []byte {
	return fmt.Appendf(nil, "fleet: f\navailability-zones: [{name: a}]\ntenants: [{name: t, burst: %d}]\n", burst)
}

var ctx = context.Background()

func noCell(string, any, any) error {
	return connector.Errorf(messenger.CodeNotOwner, "no owner")
}

func TestFleetChanges(t *testing.T) {
	store, url := newStore(t)
	e := newEntry(t, url, noCell)
	// Nothing listens at the first address: the request is sent to the next one.
	q := New(Config{Entries: []string{"127.0.0.1:1", e.URL}, Timeout: 2 * time.Second})
	if a, err := q.GetFleet(ctx); err != nil || a.Version != 0 || a.Stale {
		t.Errorf("empty: %+v, %v", a, err)
	}
	a, err := q.Apply(ctx, ApplyOptions{Text: text(1), Base: 0, ChangeID: "one"})
	if diff := cmp.Diff(handler.ChangeAnswer{Outcome: handler.OutcomeDone, Version: 1, ChangeID: "one"}, a); diff != "" || err != nil {
		t.Errorf("%v %s", err, diff)
	}
	if a, err := q.SetZone(ctx, "a", describer.ZoneOut, "two"); err != nil || a.Version != 2 {
		t.Errorf("%+v, %v", a, err)
	}
	got, err := q.GetFleet(ctx)
	if err != nil || got.Version != 2 || got.Text != string(text(1)) || len(got.ZonesOut) != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	tests := []struct {
		name   string
		do     func() error
		status int
		want   handler.Outcome
	}{
		{"conflict", func() error { _, err := q.Apply(ctx, ApplyOptions{Text: text(2), Base: 1, ChangeID: "3"}); return err }, 409, handler.OutcomeConflict},
		{"findings", func() error {
			_, err := q.Apply(ctx, ApplyOptions{Text: []byte("a: b"), Base: 2, ChangeID: "4"})
			return err
		}, 400, handler.OutcomeRefused},
		{"no base", func() error { _, err := q.Apply(ctx, ApplyOptions{Text: text(2), Base: -1, ChangeID: "5"}); return err }, 400, handler.OutcomeRefused},
		{"no change id", func() error { _, err := q.Apply(ctx, ApplyOptions{Text: text(2), Base: 2}); return err }, 400, handler.OutcomeRefused},
		{"unknown zone", func() error { _, err := q.SetZone(ctx, "x/y", describer.ZoneOut, "6"); return err }, 404, handler.OutcomeRefused},
		{"invalid state", func() error { _, err := q.SetZone(ctx, "a", "away", "7"); return err }, 400, handler.OutcomeRefused},
		{"reused id", func() error { _, err := q.SetZone(ctx, "a", describer.ZoneIn, "two"); return err }, 422, handler.OutcomeRefused},
		{"too large", func() error {
			_, err := q.Apply(ctx, ApplyOptions{Text: make([]byte, 2<<20), Base: 2, ChangeID: "8"})
			return err
		}, 413, handler.OutcomeRefused},
	}
	for _, tt := range tests {
		err := tt.do()
		var refused ErrRefused
		if !errors.As(err, &refused) || refused.Status != tt.status || refused.Answer.Outcome != tt.want {
			t.Errorf("%s: got %+v, want status %d and outcome %s", tt.name, err, tt.status, tt.want)
		}
		if (tt.name == "findings") != (len(refused.Answer.Findings) > 0) || (tt.name == "conflict") != (len(refused.Answer.Difference) > 0) {
			t.Errorf("%s: %+v", tt.name, refused.Answer)
		}
	}
	store.SetFaults(storer.Faults{Down: true})
	if _, err := q.Apply(ctx, ApplyOptions{Text: text(2), Base: 2, ChangeID: "9"}); !IsErrUnavailable(err) {
		t.Errorf("store down: %v", err)
	}
	if a, err := q.GetFleet(ctx); err != nil || !a.Stale || a.Version != 2 {
		t.Errorf("store down: %+v, %v", a, err)
	}
}

// TestLostAnswerIsResolvedByNextEntry applies a change through an entry whose answer is
// lost. The operator must get the version of the change, not a conflict with their own
// change.
func TestLostAnswerIsResolvedByNextEntry(t *testing.T) {
	_, url := newStore(t)
	e := newEntry(t, url, noCell)
	var loseOnce sync.Once
	losingAnswer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lost := false
		loseOnce.Do(func() { lost = true })
		if lost {
			e.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "gateway", http.StatusBadGateway)
	}))
	t.Cleanup(losingAnswer.Close)
	a, err := New(Config{Entries: []string{losingAnswer.URL, e.URL}}).Apply(ctx, ApplyOptions{Text: text(1), ChangeID: "one"})
	if err != nil || a.Version != 1 {
		t.Errorf("%+v, %v", a, err)
	}
	// If no entry can resolve the outcome, it must be reported as unknown, although the
	// last answer alone would mean that nothing was done.
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":"store away","outcome":"unavailable"}`)
	}))
	t.Cleanup(unavailable.Close)
	_, err = New(Config{Entries: []string{losingAnswer.URL, unavailable.URL}, Timeout: 300 * time.Millisecond}).Apply(ctx, ApplyOptions{Text: text(1), Base: 1, ChangeID: "two"})
	if !IsErrOutcomeUnknown(err) {
		t.Errorf("got %v, want an unknown outcome", err)
	}
}

func TestTaskRequestsReachOwner(t *testing.T) {
	_, url := newStore(t)
	var mu sync.Mutex // a handler may go on after its caller has given up
	var got []string
	failure := error(nil)
	e := newEntry(t, url, func(method string, params, result any) error {
		data, err := json.Marshal(params)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		got = append(got, method+" "+string(data))
		if failure != nil {
			return failure
		}
		if r, ok := result.(*messenger.FindTasksReply); ok {
			r.Tasks = []messenger.Task{{Spec: messenger.TaskSpec{ID: "x"}}}
		}
		return nil
	})
	q := New(Config{Entries: []string{e.URL}, Timeout: 200 * time.Millisecond})
	calls := []struct {
		do   func() error
		want string
	}{
		{func() error { _, err := q.Submit(ctx, []messenger.TaskSpec{{ID: "x"}}); return err }, `cell/submit {"cell":"main","tasks":[{"id":"x","tenant":"","class":"","needs":{"millicores":0,"memory-bytes":0,"accelerators":0}}]}`},
		{func() error { _, err := q.Cancel(ctx, messenger.CancelRequest{Tenant: "t"}); return err }, `cell/cancel {"cell":"main","tenant":"t"}`},
		{func() error { _, err := q.GetTask(ctx, "a/b c"); return err }, `cell/find-tasks {"cell":"main","ids":["a/b c"]}`},
		{func() error {
			_, err := q.FindTasks(ctx, messenger.FindTasksOptions{IDs: []string{"x", "y"}, State: "held", Limit: 3})
			return err
		}, `cell/find-tasks {"cell":"main","ids":["x","y"],"state":"held","limit":3}`},
		{func() error { _, err := q.GetStatus(ctx); return err }, `cell/status {"cell":"main"}`},
		{func() error { _, err := q.Explain(ctx, "vm", "vm-1"); return err }, `cell/explain {"cell":"main","kind":"vm","name":"vm-1"}`},
		{func() error { _, err := q.FindEvents(ctx, 7, 2); return err }, `cell/events {"cell":"main","above":7,"limit":2}`},
	}
	var want []string
	for _, c := range calls {
		if err := c.do(); err != nil {
			t.Errorf("%s: %v", c.want, err)
		}
		want = append(want, c.want)
	}
	mu.Lock()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	mu.Unlock()
	failures := []struct {
		err   error
		write func(error) bool
		read  func(error) bool
	}{
		{connector.Errorf(messenger.CodeNotOwner, "x"), IsErrUnavailable, IsErrUnavailable},
		{connector.Errorf(messenger.CodeUnavailable, "x"), IsErrUnavailable, IsErrUnavailable},
		{connector.Errorf(messenger.CodeUnknown, "x"), IsErrOutcomeUnknown, IsErrUnavailable},
		{errors.New("connection lost"), IsErrOutcomeUnknown, IsErrUnavailable},
		{connector.Errorf(messenger.CodeBadRequest, "x"), IsErrRefused, IsErrRefused},
		{connector.Errorf(messenger.CodeNotExist, "x"), IsErrRefused, IsErrRefused},
	}
	for _, f := range failures {
		mu.Lock()
		failure = f.err
		mu.Unlock()
		if err := calls[0].do(); !f.write(err) {
			t.Errorf("submit, %v: %v", f.err, err)
		}
		if err := calls[4].do(); !f.read(err) {
			t.Errorf("status, %v: %v", f.err, err)
		}
	}
}

// TestCancelByClassIsNotRepeated guards against a repeat after a lost answer, which would
// also cancel the tasks that were submitted since.
func TestCancelByClassIsNotRepeated(t *testing.T) {
	_, url := newStore(t)
	calls := 0
	e := newEntry(t, url, func(string, any, any) error { calls++; return errors.New("lost") })
	q := New(Config{Entries: []string{e.URL}, Timeout: 300 * time.Millisecond})
	if _, err := q.Cancel(ctx, messenger.CancelRequest{Tenant: "t", Class: "c"}); !IsErrOutcomeUnknown(err) || calls != 1 {
		t.Errorf("%v after %d calls", err, calls)
	}
	calls = 0
	if _, err := q.Cancel(ctx, messenger.CancelRequest{IDs: []string{"x"}}); !IsErrOutcomeUnknown(err) || calls < 2 {
		t.Errorf("%v after %d calls", err, calls)
	}
}

// Guards against an unknown outcome of a change that was never sent: its time ended before a
// connection was open, at a busy client or a silent entry. Once the request is on a connection, the
// outcome is unknown.
func TestOutcomeOfRequestWithoutConnection(t *testing.T) {
	end := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-end }))
	t.Cleanup(func() { close(end); silent.Close() })
	blocked := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	tests := []struct {
		name    string
		timeout time.Duration
		client  *http.Client
		unknown bool
	}{
		{"the time ends before the dial", time.Nanosecond, nil, false},
		{"the time ends during the dial", 50 * time.Millisecond, blocked, false},
		{"no answer", 50 * time.Millisecond, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Config{Entries: []string{silent.URL}, Timeout: tt.timeout, HTTP: tt.client})
			_, err := q.Apply(t.Context(), ApplyOptions{Text: text(1), ChangeID: "one"})
			if IsErrOutcomeUnknown(err) != tt.unknown || IsErrUnavailable(err) == tt.unknown {
				t.Errorf("%v, unknown: %t", err, IsErrOutcomeUnknown(err))
			}
		})
	}
}
