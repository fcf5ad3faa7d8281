package invoker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os/exec"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/inspector"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/guardian"
)

const testLimit = 5 * time.Second

var testTask = specifier.TaskID{Job: "00000000000004d2"}

// startProcess starts a process that runs until end is called or the test ends.
func startProcess(t *testing.T) (stated *inspector.Identity, end func()) {
	t.Helper()
	c := exec.Command("sleep", "60")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	end = sync.OnceFunc(func() { _ = c.Process.Kill(); _ = c.Wait() })
	t.Cleanup(end)
	identity, err := inspector.Identify(c.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	return &identity, end
}

// address is an address at which executors answer, one at a time. Each has one run.
type address struct {
	mu     sync.Mutex
	vm     VM
	broken bool // connections of polls are closed without an answer
}

func (a *address) set(vm VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.vm = vm
}

func (a *address) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	vm, broken := a.vm, a.broken
	a.mu.Unlock()
	want := r.Header.Get(HeaderIncarnation)
	switch {
	case r.URL.Path == PathVM:
		_ = json.NewEncoder(rw).Encode(vm)
	case want != "" && want != vm.Incarnation:
		rw.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(rw).Encode(Refusal{Reason: string(guardian.RefusedIncarnation)})
	case broken:
		panic(http.ErrAbortHandler)
	default:
		time.Sleep(10 * time.Millisecond) // a poll waits
		_ = json.NewEncoder(rw).Encode(PollResponse{Incarnation: vm.Incarnation, ClockMillis: 1000, Runs: []Run{{Task: testTask.String(), Run: int64(vm.Incarnation[0])}}})
	}
}

// Guards against runs that are given up, or kept, wrongly: a call without an answer says nothing about the
// executor's process, and the end of another process than the one that it has stated neither.
func TestFailedPollSaysWhetherTheProcessHasEnded(t *testing.T) {
	for _, tt := range []struct {
		name              string
		states, ends      bool
		leaves, wantEnded bool // leaves: another process, which the executor stated before, ends
	}{
		{name: "the process lives", states: true},
		{name: "the process has ended", states: true, ends: true, wantEnded: true},
		{name: "no process is stated", ends: true},
		{name: "a former process has ended", states: true, leaves: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a := &address{}
			s := httptest.NewServer(a)
			defer s.Close()
			i := New(Config{URL: s.URL, OnAnnouncement: func(guardian.Announcement) {}})
			defer i.closeProcesses()
			describe := func(vm VM) {
				a.set(vm)
				if err := i.describe(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			former, endFormer := startProcess(t)
			stated, end := startProcess(t)
			if tt.leaves {
				describe(VM{Incarnation: "a", Process: former})
			}
			vm := VM{Incarnation: "b"}
			if tt.states {
				vm.Process = stated
			}
			describe(vm)
			if tt.leaves {
				endFormer()
			}
			if tt.ends {
				end()
			}
			a.mu.Lock()
			a.broken = true
			a.mu.Unlock()
			_, err := i.poll(t.Context(), guardian.PollCall{Incarnation: "b"})
			var ended guardian.ErrWorkerEnded
			var cause *url.Error
			if got := errors.As(err, &ended); got != tt.wantEnded || got && ended.Incarnation != "b" || !errors.As(err, &cause) {
				t.Errorf("ended %t: %v", got, err)
			}
		})
	}
}

// Guards against tasks that run twice: another executor that answers at the address, as behind a proxy or
// at the port of one that is shutting down, must not end the runs of one whose process lives.
func TestOtherExecutorEndsNoRunsOfAProcessThatLives(t *testing.T) {
	const lease = 700 * time.Millisecond
	for _, tt := range []struct {
		name string
		ends bool // the former process, before the other one answers
	}{{"lives", false}, {"has ended", true}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a := &address{}
			s := httptest.NewServer(a)
			defer s.Close()
			former, endFormer := startProcess(t)
			next, _ := startProcess(t)
			a.set(VM{Incarnation: "a", Process: former, Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 100}})
			var g *guardian.Guardian
			i := New(Config{URL: s.URL, DescribeEvery: 20 * time.Millisecond, OnAnnouncement: func(n guardian.Announcement) { g.Announce(n) }, OnDescribeError: func(error) {}})
			g = guardian.New(guardian.Config{VM: "vm", LeaseMax: lease, StopTime: 50 * time.Millisecond, Reporter: reporter.Discard(), Now: time.Now, Worker: i.Calls()})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 2)
			go func() { ended <- i.Run(ctx) }()
			go func() { ended <- g.Run(ctx) }()
			defer func() { cancel(); <-ended; <-ended }()
			g.Follow(1)
			session := g.BeginSession()
			listed := func(incarnation string) (run bool, crashes int) {
				rep, ok := g.Report(session)
				if !ok {
					return false, 0
				}
				g.ApplyReply(time.Now(), rep.Incarnation, messenger.WorkReply{Epoch: 1, GrantMillis: time.Minute.Milliseconds()})
				for _, r := range rep.Runs {
					run = run || r.Run == int64(incarnation[0])
				}
				return run, len(rep.Crashes)
			}
			await := func(incarnation string) {
				for until := time.Now().Add(testLimit); ; time.Sleep(5 * time.Millisecond) {
					if run, _ := listed(incarnation); run {
						return
					}
					if time.Now().After(until) {
						t.Fatalf("the run of %s is not listed", incarnation)
					}
				}
			}
			await("a")
			time.Sleep(2 * lease) // so that leases that an earlier agent may have requested are over
			await("a")
			if tt.ends {
				endFormer()
			}
			replacedAt := time.Now()
			a.set(VM{Incarnation: "b", Process: next, Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 100}})
			await("b")
			_, crashes := listed("b")
			if took := time.Since(replacedAt); !tt.ends && (took < lease/2 || crashes != 0) || tt.ends && (took > lease/2 || crashes != 1) {
				t.Errorf("replaced after %s, %d crashes", took, crashes)
			}
		})
	}
}
