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

// bed is a runner beside a stand-in worker; the test plays the owner.
type bed struct {
	t      *testing.T
	skew   time.Duration // added to the real time
	worker *worker.Worker
	runner *Runner
	polls  []messenger.Poll
	reply  func(messenger.Poll) messenger.PollReply
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t}
	b.worker = worker.New(worker.Config{Capacity: messenger.Capacity{VM: "vm", Total: describer.Resources{Millicores: 1000, MemoryBytes: 1000}}})
	server := httptest.NewServer(b.worker.Handler())
	t.Cleanup(server.Close)
	b.runner = New(Config{
		Cell: "c", AgentID: "a", Incarnation: 1, Driver: driver.New(driver.Config{URL: server.URL}),
		Now: func() time.Time { return time.Now().Add(b.skew) },
		CallOwner: func(_ context.Context, _ string, params, result any) error {
			p := params.(messenger.Poll)
			b.polls = append(b.polls, p)
			*result.(*messenger.PollReply) = b.reply(p)
			return nil
		},
	})
	return b
}

// round makes one poll that is answered with the reply.
func (b *bed) round(reply messenger.PollReply, meanwhile time.Duration) {
	b.reply = func(messenger.Poll) messenger.PollReply {
		b.skew += meanwhile
		return reply
	}
	_ = b.runner.round(context.Background())
}

func (b *bed) starts() int {
	n := 0
	for _, e := range b.worker.Events() {
		if e.Event == worker.EventStart {
			n++
		}
	}
	return n
}

func start(id string, attempt, epoch, millicores int64) messenger.Order {
	return messenger.Order{
		Kind: messenger.OrderStart, TaskID: id, Attempt: attempt, Epoch: epoch, VoidAfterMillis: 2000,
		Needs: describer.Resources{Millicores: millicores}, RunTime: 60000,
	}
}

// TestStartsThatAreRefused sends starts that must not happen: the worker must
// never see them, and the next poll tells so, since the owner frees the room
// and runs the task elsewhere.
func TestStartsThatAreRefused(t *testing.T) {
	reply := func(epoch int64, orders ...messenger.Order) messenger.PollReply {
		return messenger.PollReply{Epoch: epoch, LeaseMillis: 6000, Orders: orders}
	}
	cases := []struct {
		name      string
		before    []messenger.PollReply
		reply     messenger.PollReply
		meanwhile time.Duration // between poll and reply
		starts    int
		refused   int
	}{
		{"in time", nil, reply(1, start("t", 1, 1, 500)), 0, 1, 0},
		{"reply held back or agent paused", nil, reply(1, start("t", 1, 1, 500)), 2100 * time.Millisecond, 0, 1},
		{"owner of an earlier epoch", []messenger.PollReply{reply(2)}, reply(1, start("t", 1, 1, 500)), 0, 0, 0},
		{"order of an earlier epoch", nil, reply(2, start("t", 1, 1, 500)), 0, 0, 1},
		{"too large for the VM", nil, reply(1, start("t", 1, 1, 1500)), 0, 0, 1},
		{"two that do not fit together", nil, reply(1, start("t", 1, 1, 600), start("u", 1, 1, 600)), 0, 1, 1},
		{"beside one that runs", []messenger.PollReply{reply(1, start("t", 1, 1, 600))}, reply(1, start("u", 1, 1, 600)), 0, 1, 1},
		{"sent again", []messenger.PollReply{reply(1, start("t", 1, 1, 600))}, reply(1, start("t", 1, 1, 600)), 0, 1, 0},
		{"stopped before", []messenger.PollReply{reply(1, messenger.Order{Kind: messenger.OrderStop, TaskID: "t", Attempt: 1, Epoch: 1})}, reply(1, start("t", 1, 1, 600)), 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t)
			for _, r := range c.before {
				b.round(r, 0)
			}
			b.round(c.reply, c.meanwhile)
			b.round(messenger.PollReply{Epoch: 9, LeaseMillis: 6000}, 0)
			refused := 0
			for _, r := range b.polls[len(b.polls)-1].Tasks {
				if r.State == messenger.ReportRefused {
					refused++
				}
			}
			if b.starts() != c.starts || refused != c.refused {
				t.Errorf("%d starts, %d refused; want %d, %d", b.starts(), refused, c.starts, c.refused)
			}
		})
	}
}

// TestReportsRepeatUntilAcked lets a reply be lost: the agent must tell again of
// what ended, and forget it only when the owner says that it is journalled.
func TestReportsRepeatUntilAcked(t *testing.T) {
	b := newBed(t)
	b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 1500)}}, 0)
	for range 3 {
		b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
	}
	b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Acked: []messenger.TaskAttempt{{TaskID: "t", Attempt: 1}}}, 0)
	b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
	var told []int
	for _, p := range b.polls {
		told = append(told, len(p.Tasks))
	}
	want := []int{0, 1, 1, 1, 1, 0}
	for i := range want {
		if told[i] != want[i] {
			t.Fatalf("reports in the polls: %v, want %v", told, want)
		}
	}
}

// TestDrainTellsTheOwner: an agent that leaves says so before it ends, and
// starts nothing more.
func TestDrainTellsTheOwner(t *testing.T) {
	b := newBed(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- b.runner.Drain(ctx) }()
	for len(drained) == 0 {
		b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 500)}}, 0)
		if n := len(b.polls); n > 1 && b.polls[n-2].Leaving && len(drained) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if b.polls[len(b.polls)-1].Leaving {
			break
		}
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	before := b.starts()
	b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("u", 1, 1, 100)}}, 0)
	if b.starts() != before {
		t.Error("a leaving agent started a task")
	}
}

// TestSizeOfTheVMIsReadAgain: the VM is made smaller while the agent runs. The owner and
// the agent's own second line must not go on to count with the size at its start.
func TestSizeOfTheVMIsReadAgain(t *testing.T) {
	b := newBed(t)
	size := messenger.Capacity{VM: "vm", Total: describer.Resources{Millicores: 1000, MemoryBytes: 1000}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != driver.PathVM {
			b.worker.Handler().ServeHTTP(w, r)
			return
		}
		if err := json.NewEncoder(w).Encode(size); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	b.runner.config.Driver = driver.New(driver.Config{URL: server.URL})
	b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 60000}, 0)
	size.Total.Millicores = 400
	b.skew += capacityAge + time.Second
	b.round(messenger.PollReply{Epoch: 1, LeaseMillis: 60000, Orders: []messenger.Order{start("t", 1, 1, 500)}}, 0)
	if told := b.polls[len(b.polls)-1].Capacity.Total.Millicores; told != 400 || b.starts() != 0 {
		t.Errorf("told %d millicores, %d starts", told, b.starts())
	}
}
