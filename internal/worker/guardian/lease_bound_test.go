package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/wire/messenger"

	"pgregory.net/rapid"
)

// leaseModel is a guardian whose clock, and those of its owner and its worker, differ as much as
// they may. at is the time that has passed, by which the other clocks are defined.
type leaseModel struct {
	t                    *rapid.T
	g                    *Guardian
	at                   time.Duration
	owner, agent, worker float64 // rates of the clocks
	session              int64
	begin                time.Time
	workerBegin          time.Duration
	longest              time.Duration // longest lease that was requested, on the worker's clock
	answeredAt           time.Duration // when the owner answered the latest report whose reply arrived
	polls                []sentPoll
	replies              []sentReply
}

// sentPoll is a poll that the worker has answered.
type sentPoll struct {
	call   PollCall
	from   pollStart
	status Status
}

// sentReply is a reply that the owner has sent.
type sentReply struct {
	sentAt     time.Time     // by the agent's clock, of the report
	answeredAt time.Duration // of the model
}

const (
	modelGrant    = 5 * time.Second
	modelStopTime = 400 * time.Millisecond
)

func newLeaseModel(t *rapid.T) *leaseModel {
	rate := rapid.SampledFrom([]float64{1 - timekeeper.MaxClockError, 1 - timekeeper.MaxClockError/2, 1})
	m := &leaseModel{
		t: t, owner: rate.Draw(t, "owner"), agent: rate.Draw(t, "agent"), worker: rate.Draw(t, "worker"),
		begin: time.Unix(1000, 0), workerBegin: time.Minute,
	}
	m.g = New(Config{VM: "vm-1", LeaseMax: 2 * modelGrant, Reporter: reporter.Discard(), Now: m.agentClock})
	m.g.Announce(Announcement{Incarnation: "incarnation-1"})
	m.g.Follow(1)
	m.session = m.g.BeginSession()
	return m
}

func scale(d time.Duration, rate float64) time.Duration { return time.Duration(float64(d) * rate) }

func (m *leaseModel) agentClock() time.Time { return m.begin.Add(scale(m.at, m.agent)) }

func (m *leaseModel) workerClock() time.Duration { return m.workerBegin + scale(m.at, m.worker) }

// poll sends a poll. The worker answers it after a while; the answer arrives later, or never.
func (m *leaseModel) poll() {
	call, from := m.g.nextPoll()
	m.longest = max(m.longest, call.LeaseUntil)
	m.advance("to worker")
	m.polls = append(m.polls, sentPoll{call, from, Status{Incarnation: "incarnation-1", Clock: m.workerClock()}})
}

func (m *leaseModel) deliverPoll() {
	if len(m.polls) > 0 {
		i := rapid.IntRange(0, len(m.polls)-1).Draw(m.t, "poll")
		p := m.polls[i]
		m.polls = m.polls[i+1:]
		m.g.applyPoll(p.status, p.call, p.from)
	}
}

func (m *leaseModel) start() {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.longest = max(m.longest, m.g.requestStartLocked(m.agentClock()))
}

// report sends a report. The owner answers it after a while; the reply arrives later, or never.
func (m *leaseModel) report() {
	if _, ok := m.g.Report(m.session); !ok {
		return
	}
	sentAt := m.agentClock()
	m.advance("to owner")
	m.replies = append(m.replies, sentReply{sentAt, m.at})
}

func (m *leaseModel) deliverReply() {
	if len(m.replies) > 0 {
		i := rapid.IntRange(0, len(m.replies)-1).Draw(m.t, "reply")
		r := m.replies[i]
		m.replies = m.replies[i+1:]
		m.answeredAt = max(m.answeredAt, r.answeredAt)
		m.g.ApplyReply(r.sentAt, "incarnation-1", messenger.WorkReply{Epoch: 1, GrantMillis: modelGrant.Milliseconds()})
	}
}

func (m *leaseModel) advance(label string) {
	m.at += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond, time.Second, modelGrant - 10*time.Millisecond}).Draw(m.t, label)
}

// check fails the test if leases that were requested end later than the owner assumes, or than
// the agent itself does.
func (m *leaseModel) check() {
	if m.longest == 0 {
		return
	}
	endsAt := time.Duration(float64(m.longest-m.workerBegin) / m.worker) // by the model's time
	const rounding = time.Microsecond                                    // of the model's clocks
	if outlived := scale(endsAt-m.answeredAt, m.owner) - scheduler.LeaseExpiry(modelGrant, modelStopTime); outlived > -modelStopTime+rounding {
		m.t.Fatalf("the leases end %s too late for the owner, which allows %s for their end", outlived+modelStopTime, modelStopTime)
	}
	if late := m.begin.Add(scale(endsAt, m.agent)).Sub(m.g.leaseEnd); late > rounding {
		m.t.Fatalf("the leases end %s after the agent takes them for expired", late)
	}
}

// Guards against a task that runs twice at once: leases that the agent requests must end before the
// owner that granted them starts the task elsewhere, whatever is late or lost, and however much the
// clocks of owner, agent and worker differ within timekeeper.MaxClockError.
func TestRunsNeverOutliveTheirGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		steps := []func(){m.poll, m.deliverPoll, m.start, m.report, m.deliverReply, func() { m.advance("pause") }}
		// Without a grant there is nothing to check.
		m.poll()
		m.deliverPoll()
		m.report()
		m.deliverReply()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			m.check()
		}
	})
}
