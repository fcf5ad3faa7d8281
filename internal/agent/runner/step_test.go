package runner

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// earlierWorker is a worker of an earlier build: it neither knows nor states its clock.
func earlierWorker(t *testing.T, w http.Handler) http.Handler {
	added := []string{"incarnation", "clock-ns", "lease-until-clock-ns", "start-by-clock-ns", "until-clock-ns"}
	strip := func(body []byte) []byte {
		var all map[string]json.RawMessage
		if json.Unmarshal(body, &all) != nil {
			return body
		}
		for _, name := range added {
			delete(all, name)
		}
		stripped, err := json.Marshal(all)
		if err != nil {
			t.Error(err)
		}
		return stripped
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		inner := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(strip(body)))
		answer := httptest.NewRecorder()
		w.ServeHTTP(answer, inner)
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(strip(answer.Body.Bytes()))
	})
}

// manualClock is a clock of agent and worker that a test advances.
type manualClock struct{ at atomic.Int64 }

func (c *manualClock) advance(d time.Duration) { c.at.Add(int64(d)) }
func (c *manualClock) now() time.Time          { return time.Unix(1000, c.at.Load()) }
func (c *manualClock) clock() time.Duration    { return time.Hour + time.Duration(c.at.Load()) }

// Guards against agents that can't work with the worker of an earlier build, which goes by the time of day.
func TestWorkerThatStatesNoClock(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		f, c := newFixture(t), &manualClock{}
		f.worker = worker.New(worker.Config{Capacity: messenger.Capacity{VM: "vm", Total: describer.Resources{Millicores: 1000, MemoryBytes: 1000}}, Now: c.now, Clock: c.clock})
		handler := f.worker.Handler()
		if earlier {
			handler = earlierWorker(t, handler)
		}
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		f.runner.config.Driver = driver.New(driver.Config{URL: server.URL, Now: c.now, Clock: c.clock})
		f.runner.config.Now = c.now
		f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 500)}}, 0)
		for range 5 {
			c.advance(2 * time.Second)
			f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 3000}, 0)
		}
		reports := f.polls[len(f.polls)-1].Tasks
		if len(reports) != 1 || reports[0].State != messenger.ReportRunning {
			t.Errorf("earlier %t: reported %+v, want the task running under leases that are renewed", earlier, reports)
		}
		c.advance(3 * time.Second)
		f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 3000}, 0)
		if events := f.worker.Events(); len(events) != 2 || events[1].Event != worker.EventLost {
			t.Errorf("earlier %t: %+v, want the task to end with its lease", earlier, events)
		}
	}
}

// Guards against starts that are carried out late: the time of day steps back while the reply to a poll is
// under way for longer than its orders hold.
func TestOrderThatExpiredWhileClockSteppedBack(t *testing.T) {
	for _, late := range []time.Duration{1900 * time.Millisecond, 2100 * time.Millisecond} {
		f, c := newFixture(t), &manualClock{}
		f.runner.config.Driver = driver.New(driver.Config{URL: f.url, Clock: c.clock})
		f.reply = func(messenger.Poll) messenger.PollReply {
			f.skew = -time.Minute
			c.advance(late)
			return messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 500)}}
		}
		_ = f.runner.pollOnce(t.Context())
		want := 1
		if late > 2*time.Second {
			want = 0
		}
		if f.starts() != want {
			t.Errorf("%d starts %s after the poll, want %d", f.starts(), late, want)
		}
	}
}
