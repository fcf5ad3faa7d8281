package registrar

import (
	"context"
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
