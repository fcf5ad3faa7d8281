package runner

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// lives is a worker that can be started again, and the way to it.
type lives struct {
	t       *testing.T
	present *worker.Worker
	earlier bool // build of the worker

	// Paths of calls at which something happens.
	refused     map[string]bool // connections are refused
	unanswered  map[string]bool // the answer is lost
	unavailable map[string]bool // a proxy answers that the worker is unavailable
	before      map[string]bool // the worker starts again just before the call
}

func (l *lives) restart() {
	l.present = worker.New(worker.Config{Capacity: messenger.Capacity{VM: "vm", Total: describer.Resources{Millicores: 1000, MemoryBytes: 1000}}})
}

func (l *lives) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if l.before[r.URL.Path] {
		delete(l.before, r.URL.Path)
		l.restart()
	}
	if l.earlier {
		earlierWorker(l.t, l.present.Handler()).ServeHTTP(rw, r)
		return
	}
	l.present.Handler().ServeHTTP(rw, r)
}

func (l *lives) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.refused[r.URL.Path] {
		return nil, errors.New("connection refused")
	}
	reply, err := http.DefaultTransport.RoundTrip(r)
	switch {
	case err != nil:
		return nil, err
	case l.unanswered[r.URL.Path]:
		reply.Body.Close()
		return nil, errors.New("connection reset")
	case l.unavailable[r.URL.Path]:
		reply.StatusCode = http.StatusServiceUnavailable
	}
	return reply, nil
}

func newLives(t *testing.T, f *fixture, earlier bool) *lives {
	t.Helper()
	l := &lives{t: t, earlier: earlier, refused: make(map[string]bool), unanswered: make(map[string]bool), unavailable: make(map[string]bool), before: make(map[string]bool)}
	l.restart()
	server := httptest.NewServer(l)
	t.Cleanup(server.Close)
	f.url = server.URL
	f.runner.config.Driver = driver.New(driver.Config{URL: server.URL, HTTP: &http.Client{Transport: l}})
	return l
}

// complete lets the tasks of the worker end, without a poll.
func (l *lives) complete() {
	time.Sleep(20 * time.Millisecond)
	l.present.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, driver.PathTasks, nil))
}

// restartAgent replaces the runner by that of the agent's next process.
func (f *fixture) restartAgent() {
	c := f.runner.config
	c.Incarnation++
	c.Driver = driver.New(driver.Config{URL: f.url})
	f.runner = New(c)
}

// Guards against tasks that run twice, and against tasks that wait: an order that is repeated once the worker has
// started again is carried out only if the attempt was certainly not sent before; otherwise its end is unknown.
func TestOrderRepeatedInNextLife(t *testing.T) {
	stop := messenger.Order{Kind: messenger.OrderStop, TaskID: "t", Attempt: 1, Epoch: 1}
	checkpoint := messenger.Order{Kind: messenger.OrderCheckpoint, TaskID: "t", Attempt: 1, Epoch: 1}
	first := start("t", 1, 1, 500)
	first.RunTime = 1
	tooLarge := start("t", 1, 1, 1500)
	// send has the agent carry out the first copy of the start.
	send := func(f *fixture, l *lives, o messenger.Order) {
		f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{o}}, 0)
		l.complete()
	}
	const lost, refused, none = messenger.ReportLost, messenger.ReportRefused, messenger.ReportState("")
	tests := []struct {
		name     string
		happened func(f *fixture, l *lives, o messenger.Order)
		repeated messenger.Order
		state    messenger.ReportState // reported after the repeated order
		starts   int                   // in the present life of the worker
	}{
		{"sent, worker restarted", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); l.restart() }, first, lost, 0},
		{"sent, worker restarted twice", func(f *fixture, l *lives, o messenger.Order) {
			send(f, l, o)
			l.restart()
			f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
			l.restart()
		}, first, lost, 0},
		{"sent, worker and agent restarted", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); l.restart(); f.restartAgent() }, first, lost, 0},
		{"sent, worker restarted, no longer fits", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); l.restart() }, tooLarge, lost, 0},
		{"sent, agent restarted", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); f.restartAgent() }, first, messenger.ReportCompleted, 1},
		{"start without an answer, stopped in the next life", func(f *fixture, l *lives, o messenger.Order) {
			l.unanswered[driver.PathStart], l.before[driver.PathStop] = true, true
			send(f, l, o)
		}, first, lost, 0},
		{"start answered with 503, stopped in the next life", func(f *fixture, l *lives, o messenger.Order) {
			l.unavailable[driver.PathStart], l.before[driver.PathStop] = true, true
			send(f, l, o)
		}, first, lost, 0},
		{"sent, stopped after a restart", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); l.restart() }, stop, lost, 0},
		{"sent, moved after a restart", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); l.restart() }, checkpoint, lost, 0},
		{"sent, stopped after a restart of both", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); l.restart(); f.restartAgent() }, stop, lost, 0},
		{"sent, restarts between list and stop", func(f *fixture, l *lives, o messenger.Order) { send(f, l, o); l.before[driver.PathStop] = true }, stop, lost, 0},
		{"not sent, stopped", func(*fixture, *lives, messenger.Order) {}, stop, refused, 0},
		{"not sent, stopped after a restart", func(_ *fixture, l *lives, _ messenger.Order) { l.restart() }, stop, refused, 0},
		{"first copy lost", func(*fixture, *lives, messenger.Order) {}, first, none, 1},
		{"first copy lost, worker restarted", func(_ *fixture, l *lives, _ messenger.Order) { l.restart() }, first, none, 1},
		{"first copy lost, sent in the next life, agent restarted", func(f *fixture, l *lives, o messenger.Order) {
			l.restart()
			o.RunTime = time.Minute.Milliseconds()
			send(f, l, o)
			f.restartAgent()
		}, first, messenger.ReportRunning, 1},
		{"worker not reached, then restarted", func(f *fixture, l *lives, o messenger.Order) {
			l.refused[driver.PathStart], l.refused[driver.PathStop] = true, true
			send(f, l, o)
			clear(l.refused)
			l.restart()
		}, first, none, 1},
		{"worker restarts between list and first copy", func(_ *fixture, l *lives, _ messenger.Order) { l.before[driver.PathStart] = true }, first, refused, 0},
	}
	for _, tt := range tests {
		for _, earlier := range []bool{false, true} {
			name := tt.name
			if earlier {
				name += ", earlier build of the worker"
			}
			t.Run(name, func(t *testing.T) {
				f := newFixture(t)
				l := newLives(t, f, earlier)
				f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
				decided := func(o messenger.Order) messenger.Order {
					o.AgentIncarnation, o.WorkerLife = 1, f.polls[0].WorkerLife
					return o
				}
				order, repeated := decided(first), decided(tt.repeated)
				tt.happened(f, l, order)
				f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{repeated}}, 0)
				f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
				var got messenger.TaskReport
				if reports := f.polls[len(f.polls)-1].Tasks; len(reports) > 0 {
					got = reports[0]
				}
				if tt.state == none {
					if got.State != messenger.ReportRunning && got.State != messenger.ReportCompleted {
						t.Errorf("reported %+v, want that it runs or has completed", got)
					}
				} else if got.State != tt.state || got.EndUnknown != (tt.state == lost) {
					t.Errorf("reported %+v, want %s", got, tt.state)
				}
				starts := 0
				for _, e := range l.present.Events() {
					if e.Event == worker.EventStart {
						starts++
					}
				}
				if starts != tt.starts {
					t.Errorf("%d starts in the present life of the worker, want %d", starts, tt.starts)
				}
			})
		}
	}
}

// Guards against an agent whose memory of starts grows with each task.
func TestSentStartsAreForgottenOnceAcknowledged(t *testing.T) {
	f := newFixture(t)
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 500)}}, 0)
	if len(f.runner.sentStarts) != 1 {
		t.Fatalf("%d starts are remembered", len(f.runner.sentStarts))
	}
	f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Acked: []messenger.TaskAttempt{{TaskID: "t", Attempt: 1}}}, 0)
	if len(f.runner.sentStarts) != 0 {
		t.Errorf("%d starts are remembered after the acknowledgement", len(f.runner.sentStarts))
	}
}
