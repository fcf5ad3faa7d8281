package worker_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// heldCalls keeps calls of one path instead of sending them.
type heldCalls struct {
	path   string
	bodies [][]byte
}

func (h *heldCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != h.path {
		return http.DefaultTransport.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	h.bodies = append(h.bodies, body)
	return nil, errors.New("held up")
}

// send sends a call as an agent of another build might: only with the listed fields, if any are listed.
func (f *fixture) send(t *testing.T, path string, body []byte, fields ...string) (int, driver.LeaseAnswer) {
	t.Helper()
	if len(fields) > 0 {
		var all map[string]json.RawMessage
		if err := json.Unmarshal(body, &all); err != nil {
			t.Fatal(err)
		}
		some := make(map[string]json.RawMessage)
		for _, name := range fields {
			if value, ok := all[name]; ok {
				some[name] = value
			}
		}
		body, _ = json.Marshal(some)
	}
	r, err := http.Post(f.url+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var a driver.LeaseAnswer
	if r.StatusCode == http.StatusOK {
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
	}
	return r.StatusCode, a
}

// stepFixture is a fixture whose time of day steps, while its clock does not.
type stepFixture struct {
	*fixture
	steps time.Duration // sum
}

func newStepFixture(t *testing.T, transport http.RoundTripper) *stepFixture {
	t.Helper()
	f := &stepFixture{fixture: &fixture{at: time.Unix(1000, 0)}}
	now, clock := func() time.Time { return f.at }, func() time.Duration { return f.at.Sub(time.Unix(0, 0)) - f.steps }
	rec, err := recorder.Open(filepath.Join(t.TempDir(), "witness"))
	if err != nil {
		t.Fatal(err)
	}
	f.w = worker.New(worker.Config{Capacity: messenger.Capacity{VM: "vm-1"}, Now: now, Clock: clock, Recorder: rec})
	server := httptest.NewServer(f.w.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	f.Driver = driver.New(driver.Config{URL: f.url, Now: now, Clock: clock, HTTP: &http.Client{Transport: transport}})
	f.advance(t, 100*time.Millisecond)
	return f
}

func (f *stepFixture) step(d time.Duration) {
	f.at, f.steps = f.at.Add(d), f.steps+d
}

// Fields of calls, as agents of earlier builds know them.
var (
	startFields          = []string{"task-id", "attempt", "needs", "run-time-ms", "lease-until-ns", "start-by-ns", "life"}
	startFieldsNoLife    = startFields[:len(startFields)-1]
	renewalFieldsEarlier = []string{"issued-ns", "until-ns"}
)

// Guards against tasks that run twice: a start that is held up while the clock steps must be carried out only
// before its time, and its lease must not be longer than what its caller counts. Agents of earlier builds go by
// the time of day, and must be able to start tasks after a step.
func TestStartAroundStepOfClock(t *testing.T) {
	tests := []struct {
		name       string
		fields     []string // nil: all
		sentAfter  bool     // the step
		step, late time.Duration
		status     int
		shorter    bool // the lease
	}{
		{"in time", nil, false, 0, time.Second, http.StatusOK, false},
		{"late", nil, false, 0, 3 * time.Second, http.StatusPreconditionFailed, false},
		{"in time, step back", nil, false, -time.Minute, time.Second, http.StatusOK, false},
		{"late, step back", nil, false, -time.Minute, 3 * time.Second, http.StatusPreconditionFailed, false},
		{"in time, step forward", nil, false, time.Minute, time.Second, http.StatusOK, false},
		{"after a step back", nil, true, -time.Minute, time.Second, http.StatusOK, false},
		{"late, after a step back", nil, true, -time.Minute, 3 * time.Second, http.StatusPreconditionFailed, false},
		{"earlier agent, in time", startFields, false, 0, time.Second, http.StatusOK, false},
		{"earlier agent, late", startFields, false, 0, 3 * time.Second, http.StatusPreconditionFailed, false},
		{"earlier agent, step back", startFields, false, -time.Minute, time.Second, http.StatusPreconditionFailed, false},
		{"earlier agent, after a step back", startFields, true, -time.Minute, time.Second, http.StatusOK, false},
		{"earlier agent, late, after a step back", startFields, true, -time.Minute, 3 * time.Second, http.StatusPreconditionFailed, false},
		{"earlier agent, step forward", startFields, false, time.Minute, time.Second, http.StatusPreconditionFailed, false},
		{"earlier agent, after a step forward", startFields, true, time.Minute, time.Second, http.StatusOK, false},
		{"names no life, in time", startFieldsNoLife, false, 0, time.Second, http.StatusOK, false},
		{"names no life, small step back", startFieldsNoLife, false, -time.Second, 1500 * time.Millisecond, http.StatusOK, false},
		{"names no life, after a small step back", startFieldsNoLife, true, -time.Second, 500 * time.Millisecond, http.StatusOK, true},
		{"names no life, late, after a small step back", startFieldsNoLife, true, -time.Second, 1500 * time.Millisecond, http.StatusPreconditionFailed, false},
		{"names no life, late, small step back", startFieldsNoLife, false, -time.Second, 2500 * time.Millisecond, http.StatusPreconditionFailed, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			held := &heldCalls{path: driver.PathStart}
			f := newStepFixture(t, held)
			if tt.sentAfter {
				f.step(tt.step)
				f.advance(t, 100*time.Millisecond)
			}
			o := startOptions(1)
			o.RunTime = time.Minute
			o.StartBy, o.StartByClock = f.at.Add(2*time.Second), f.Clock()+2*time.Second
			if err := f.StartTask(t.Context(), o); err == nil || len(held.bodies) != 1 {
				t.Fatal(err, len(held.bodies))
			}
			if !tt.sentAfter {
				f.step(tt.step)
			}
			f.advance(t, tt.late)
			status, _ := f.send(t, driver.PathStart, held.bodies[0], tt.fields...)
			if status != tt.status {
				t.Fatalf("status %d, want %d", status, tt.status)
			}
			if status != http.StatusOK {
				return
			}
			f.advance(t, 9800*time.Millisecond-tt.late)
			want := "start"
			if tt.shorter {
				want = "start lost"
			}
			if f.eventKinds() != want {
				t.Errorf("%q just before the end of its lease, want %q", f.eventKinds(), want)
			}
			f.advance(t, 400*time.Millisecond)
			if f.eventKinds() != "start lost" {
				t.Errorf("%q after the end of its lease", f.eventKinds())
			}
		})
	}
}

// Guards against tasks that run twice: a renewal that is held up while the clock steps back must not give a
// lease that is longer than what its caller counts; later renewals must apply.
func TestRenewalAroundStepOfClock(t *testing.T) {
	tests := []struct {
		fields []string // nil: all
		again  bool
	}{{nil, false}, {nil, true}, {renewalFieldsEarlier, false}, {renewalFieldsEarlier, true}}
	for _, tt := range tests {
		fields := tt.fields
		held := &heldCalls{path: driver.PathLeases}
		f := newStepFixture(t, held)
		o := startOptions(1)
		o.RunTime = time.Hour
		if err := f.StartTask(t.Context(), o); err != nil {
			t.Fatal(err)
		}
		if err := f.RenewLeases(t.Context(), 8*time.Second); err == nil {
			t.Fatal("the renewal was sent")
		}
		f.step(-time.Minute)
		f.advance(t, time.Second)
		if status, a := f.send(t, driver.PathLeases, held.bodies[0], fields...); status != http.StatusOK || fields != nil && a.Number == 0 {
			t.Fatal(status, a)
		}
		if !tt.again {
			f.advance(t, 9200*time.Millisecond)
			if f.eventKinds() != "start lost" {
				t.Errorf("fields %v: %q after the end of each lease", fields, f.eventKinds())
			}
			continue
		}
		f.advance(t, 6*time.Second)
		next := driver.New(driver.Config{URL: f.url, Now: func() time.Time { return f.at }})
		if fields == nil {
			next = f.Driver
			held.path = ""
			if err := next.RenewLeases(t.Context(), 5*time.Second); err != nil {
				t.Fatal(err)
			}
		} else if err := next.RenewLeases(t.Context(), 5*time.Second); !driver.IsErrRenewalIgnored(err) {
			t.Fatal(err)
		} else if err := next.RenewLeases(t.Context(), 5*time.Second); err != nil {
			t.Fatal(err)
		}
		f.advance(t, 4800*time.Millisecond)
		if f.eventKinds() != "start" {
			t.Errorf("fields %v: %q just before the end of the lease", fields, f.eventKinds())
		}
		f.advance(t, 400*time.Millisecond)
		if f.eventKinds() != "start lost" {
			t.Errorf("fields %v: %q after the end of the lease", fields, f.eventKinds())
		}
	}
}

// Guards against leases without end: a renewal counts on the clock of the life that it was meant for, and the
// next one's may read less.
func TestRenewalOfFormerLifeIsRefused(t *testing.T) {
	held := &heldCalls{path: driver.PathLeases}
	f, next := newStepFixture(t, held), newStepFixture(t, nil)
	f.at = f.at.Add(time.Hour)
	if err := f.RenewLeases(t.Context(), time.Minute); err == nil {
		t.Fatal("the renewal was sent")
	}
	if err := next.StartTask(t.Context(), startOptions(1)); err != nil {
		t.Fatal(err)
	}
	if status, _ := next.send(t, driver.PathLeases, held.bodies[0]); status != http.StatusPreconditionFailed {
		t.Errorf("status %d", status)
	}
}
