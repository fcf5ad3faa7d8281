package registrar

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/kernel/reporter"
)

// TestServicesDrainInReverseOrder starts three services that depend on one another and
// stops them: the one started last must drain first, since callers reach the system
// through it, and all must drain before the first one is stopped.
func TestServicesDrainInReverseOrder(t *testing.T) {
	var log []string
	r := New(Config{Reporter: reporter.Discard(), StopTimeout: time.Second})
	add := func(name string, needs ...string) {
		r.Add(Service{
			Name: name, Needs: needs,
			Start: func(context.Context, *Registrar) (any, error) { log = append(log, "start "+name); return name, nil },
			Drain: func(context.Context) error { log = append(log, "drain "+name); return nil },
		})
	}
	add("front", "middle")
	add("middle", "back")
	add("back")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := r.Run(ctx); err != nil {
		t.Fatal(err)
	}
	want := []string{"start back", "start middle", "start front", "drain front", "drain middle", "drain back"}
	if diff := cmp.Diff(want, log); diff != "" {
		t.Error(diff)
	}
}

func TestSortByNeedsErrors(t *testing.T) {
	cases := []struct {
		name     string
		services []Service
		want     string
	}{
		{"missing service", []Service{{Name: "a", Needs: []string{"b"}}}, `service "a" needs "b", which is not registered`},
		{"cycle", []Service{{Name: "a", Needs: []string{"b"}}, {Name: "b", Needs: []string{"a"}}}, `services need each other: "a" -> "b" -> "a"`},
		{"cycle of three behind another service", []Service{{Name: "a", Needs: []string{"b"}}, {Name: "b", Needs: []string{"c"}}, {Name: "c", Needs: []string{"d"}}, {Name: "d", Needs: []string{"b"}}}, `services need each other: "b" -> "c" -> "d" -> "b"`},
		{"service that needs itself", []Service{{Name: "a", Needs: []string{"a"}}}, `services need each other: "a" -> "a"`},
		{"duplicate name", []Service{{Name: "a"}, {Name: "a"}}, `service "a" is registered twice`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := sortByNeeds(c.services)
			if err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// Guards against failures that nobody sees: of the errors of a stop only the first was
// returned, and a service that ended without an error was reported as "%!w(<nil>)".
func TestAllErrorsOfAStopAreReturned(t *testing.T) {
	endsWith := func(err error) func(context.Context) error {
		return func(ctx context.Context) error { <-ctx.Done(); return err }
	}
	start := func(context.Context, *Registrar) (any, error) { return nil, nil }
	failing := func(name string) Service {
		return Service{
			Name: name, Start: start, Run: endsWith(errors.New(name + " run")),
			Drain: func(context.Context) error { return errors.New(name + " drain") },
		}
	}
	tests := []struct {
		name     string
		services []Service
		stopped  bool // the process is asked to stop
		want     []string
	}{
		{"none", []Service{{Name: "a", Start: start, Run: func(ctx context.Context) error { <-ctx.Done(); return fmt.Errorf("run: %w", ctx.Err()) }}}, true, nil},
		{"each drain and each stop", []Service{failing("a"), failing("b")}, true, []string{
			"drain service b: b drain", "drain service a: a drain", "stop service b: b run", "stop service a: a run",
		}},
		{"a failure beside a cancellation", []Service{{Name: "a", Start: start, Run: endsWith(errors.Join(context.Canceled, errors.New("a run")))}}, true, []string{
			"stop service a: context canceled", "a run",
		}},
		{"a service fails and another does in its stop", []Service{
			{Name: "a", Start: start, Run: func(context.Context) error { return errors.New("a run") }}, failing("b"),
		}, false, []string{"service a ended: a run", "drain service b: b drain", "stop service b: b run"}},
		{"a service fails while others drain", []Service{
			{Name: "a", Start: start, Run: func(context.Context) error { return errors.New("a run") }},
			{Name: "b", Start: start, Drain: func(context.Context) error { time.Sleep(50 * time.Millisecond); return nil }},
		}, true, []string{"service a ended: a run"}},
		{"a service ends without an error", []Service{{Name: "a", Start: start, Run: func(context.Context) error { return nil }}}, false, []string{
			"service a ended without an error before it was stopped",
		}},
		{"a service does not start", []Service{failing("a"), {Name: "b", Start: func(context.Context, *Registrar) (any, error) { return nil, errors.New("b start") }}}, false, []string{
			"start service b: b start", "drain service a: a drain", "stop service a: a run",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(Config{Reporter: reporter.Discard(), StopTimeout: 5 * time.Second})
			for _, s := range tt.services {
				r.Add(s)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.stopped {
				cancel()
			}
			var got []string
			if err := r.Run(ctx); err != nil {
				got = strings.Split(err.Error(), "\n")
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
