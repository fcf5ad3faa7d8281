package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// fixture is a runner with a stand-in worker; the test acts as the owner.
type fixture struct {
	t      *testing.T
	skew   time.Duration // of the runner's clock ahead of the real time
	worker *worker.Worker
	url    string // of the worker
	runner *Runner
	polls  []messenger.Poll
	reply  func(messenger.Poll) messenger.PollReply
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	f.worker = worker.New(worker.Config{Capacity: messenger.Capacity{VM: "vm", Total: describer.Resources{Millicores: 1000, MemoryBytes: 1000}}})
	server := httptest.NewServer(f.worker.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	f.runner = New(Config{
		Cell: "c", AgentID: "a", Incarnation: 1, Driver: driver.New(driver.Config{URL: server.URL}),
		Now: func() time.Time { return time.Now().Add(f.skew) },
		CallOwner: func(_ context.Context, _ string, params, result any) error {
			p := params.(messenger.Poll)
			f.polls = append(f.polls, p)
			*result.(*messenger.PollReply) = f.reply(p)
			return nil
		},
	})
	return f
}

// poll makes one poll that gets the reply after the delay on the runner's clock.
func (f *fixture) poll(reply messenger.PollReply, delay time.Duration) {
	f.reply = func(messenger.Poll) messenger.PollReply {
		f.skew += delay
		return reply
	}
	_ = f.runner.pollOnce(context.Background())
}

func (f *fixture) starts() int {
	n := 0
	for _, e := range f.worker.Events() {
		if e.Event == worker.EventStart {
			n++
		}
	}
	return n
}

func start(id string, attempt, epoch, millicores int64) messenger.Order {
	return messenger.Order{
		Kind: messenger.OrderStart, TaskID: id, Attempt: attempt, Epoch: epoch, ExpiresAfterMillis: 2000,
		Needs: describer.Resources{Millicores: millicores}, RunTime: 60000,
	}
}

// TestRefusedStarts sends starts that must be refused. The worker must not receive
// them, and the next poll must report the refusal, since the owner then frees the
// capacity and runs the task elsewhere.
func TestRefusedStarts(t *testing.T) {
	reply := func(epoch int64, orders ...messenger.Order) messenger.PollReply {
		return messenger.PollReply{Epoch: epoch, LeaseMillis: 6000, Orders: orders}
	}
	cases := []struct {
		name    string
		before  []messenger.PollReply
		reply   messenger.PollReply
		delay   time.Duration // between poll and reply
		starts  int
		refused int
	}{
		{"in time", nil, reply(1, start("t", 1, 1, 500)), 0, 1, 0},
		{"reply delayed or agent paused", nil, reply(1, start("t", 1, 1, 500)), 2100 * time.Millisecond, 0, 1},
		{"reply of an earlier epoch", []messenger.PollReply{reply(2)}, reply(1, start("t", 1, 1, 500)), 0, 0, 0},
		{"order of an earlier epoch", nil, reply(2, start("t", 1, 1, 500)), 0, 0, 1},
		{"exceeds the VM", nil, reply(1, start("t", 1, 1, 1500)), 0, 0, 1},
		{"two that do not fit together", nil, reply(1, start("t", 1, 1, 600), start("u", 1, 1, 600)), 0, 1, 1},
		{"does not fit with a running task", []messenger.PollReply{reply(1, start("t", 1, 1, 600))}, reply(1, start("u", 1, 1, 600)), 0, 1, 1},
		{"sent again", []messenger.PollReply{reply(1, start("t", 1, 1, 600))}, reply(1, start("t", 1, 1, 600)), 0, 1, 0},
		{"attempt stopped earlier", []messenger.PollReply{reply(1, messenger.Order{Kind: messenger.OrderStop, TaskID: "t", Attempt: 1, Epoch: 1})}, reply(1, start("t", 1, 1, 600)), 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			for _, r := range c.before {
				f.poll(r, 0)
			}
			f.poll(c.reply, c.delay)
			f.poll(messenger.PollReply{Epoch: 9, LeaseMillis: 6000}, 0)
			refused := 0
			for _, r := range f.polls[len(f.polls)-1].Tasks {
				if r.State == messenger.ReportRefused {
					refused++
				}
			}
			if f.starts() != c.starts || refused != c.refused {
				t.Errorf("%d starts, %d refused; want %d, %d", f.starts(), refused, c.starts, c.refused)
			}
		})
	}
}

// TestReportsRepeatUntilAcked leaves an ended attempt unacknowledged, as when a
// reply is lost. The agent must report it in each poll, and drop the report only
// when the owner acknowledges that it is in the journal.
func TestReportsRepeatUntilAcked(t *testing.T) {
	f := newFixture(t)
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 1500)}}, 0)
	for range 3 {
		f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
	}
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Acked: []messenger.TaskAttempt{{TaskID: "t", Attempt: 1}}}, 0)
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
	var reported []int
	for _, p := range f.polls {
		reported = append(reported, len(p.Tasks))
	}
	want := []int{0, 1, 1, 1, 1, 0}
	for i := range want {
		if reported[i] != want[i] {
			t.Fatalf("reports in the polls: %v, want %v", reported, want)
		}
	}
}

// TestDrainNotifiesOwner drains the agent. It must announce to the owner that it
// leaves before Drain returns, and start nothing more.
func TestDrainNotifiesOwner(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- f.runner.Drain(ctx) }()
	for len(drained) == 0 {
		f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 500)}}, 0)
		if n := len(f.polls); n > 1 && f.polls[n-2].Leaving && len(drained) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if f.polls[len(f.polls)-1].Leaving {
			break
		}
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	before := f.starts()
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("u", 1, 1, 100)}}, 0)
	if f.starts() != before {
		t.Error("a leaving agent started a task")
	}
}

// TestCapacityIsReadAgain makes the VM smaller while the agent runs. The owner and the
// agent's own capacity check must not continue with the capacity at the agent's start.
func TestCapacityIsReadAgain(t *testing.T) {
	f := newFixture(t)
	capacity := messenger.Capacity{VM: "vm", Total: describer.Resources{Millicores: 1000, MemoryBytes: 1000}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != driver.PathVM {
			f.worker.Handler().ServeHTTP(w, r)
			return
		}
		if err := json.NewEncoder(w).Encode(capacity); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	f.runner.config.Driver = driver.New(driver.Config{URL: server.URL})
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 60000}, 0)
	capacity.Total.Millicores = 400
	f.skew += maxCapacityAge + time.Second
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 60000, Orders: []messenger.Order{start("t", 1, 1, 500)}}, 0)
	if reported := f.polls[len(f.polls)-1].Capacity.Total.Millicores; reported != 400 || f.starts() != 0 {
		t.Errorf("reported %d millicores, %d starts; want 400, 0", reported, f.starts())
	}
}
