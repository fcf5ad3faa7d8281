package receiver

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/admitter"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Limits of what an entry logs and counts about refusals.
const (
	refusalLinesPerSecond = 20
	maxAccountLabels      = 32 // further accounts are counted as "other"
)

// AdmissionConfig holds the settings of an Admission.
type AdmissionConfig struct {
	Policy   func() *specifier.Policy
	Now      func() time.Time
	Reporter *reporter.Reporter
	Metrics  *metrics.Set
}

// Admission decides at an entry which jobs are refused, by the owner's table. It is safe for
// concurrent use. A nil Admission refuses nothing.
type Admission struct {
	config     AdmissionConfig
	mu         sync.Mutex
	gate       *admitter.Gate
	unusable   messenger.AdmissionState // table that was last logged as unusable
	lines      int                      // logged in the present second
	skipped    int                      // not logged since the last line
	lineSecond time.Time
	accounts   map[string]bool // with a label of their own
}

// NewAdmission returns an Admission without a table.
func NewAdmission(c AdmissionConfig) *Admission {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return &Admission{config: c, gate: admitter.NewGate(), accounts: make(map[string]bool)}
}

// asked reports whether the operators ask for admission.
func (a *Admission) asked() bool { return a != nil && a.config.Policy().Load.Admission }

// State returns which table this entry has, to be sent to the owner; nil if it takes no part.
func (a *Admission) State() *messenger.AdmissionState {
	if !a.asked() {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	epoch, version := a.gate.Version()
	return &messenger.AdmissionState{Epoch: epoch, Version: version}
}

// Use takes what the owner of an epoch has sent in answer to a call. u is nil if it gives no table.
func (a *Admission) Use(ownerEpoch int64, u *messenger.AdmissionUpdate, sentAt time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if u == nil {
		a.gate.Drop(ownerEpoch)
		return
	}
	computedAt := sentAt.Add(-time.Duration(max(u.AgeMillis, 0)) * time.Millisecond)
	if len(u.Table) == 0 {
		return // this entry has it
	}
	t, err := admitter.DecodeTable(u.Table)
	if err == nil && (t.Epoch != u.Epoch || t.Version != u.Version) {
		err = fmt.Errorf("admission table of epoch %d, version %d came as %d, %d", t.Epoch, t.Version, u.Epoch, u.Version)
	}
	if err != nil {
		if a.unusable.Epoch != u.Epoch {
			a.unusable = messenger.AdmissionState{Epoch: u.Epoch, Version: u.Version}
			a.config.Reporter.Report(reporter.AdmissionTableUnusable, reporter.Fields{"epoch": u.Epoch, "table": u.Version, "error": err.Error()})
		}
		a.gate.Drop(u.Epoch)
		return
	}
	a.gate.Use(t, computedAt)
}

// request returns the request for a job that first came at the given time.
func (a *Admission) request(j *specifier.Job, first time.Time) admitter.Request {
	q, _ := a.config.Policy().QueueByName(j.Queue)
	r := admitter.Request{Queue: j.Queue, Account: j.Account, Priority: q.Priority, Rank: planner.FreshRank(j), FirstAt: first}
	for _, s := range j.Steps {
		if s.LongRunning {
			r.LongRunning = append(r.LongRunning, s)
		} else {
			r.Work += float64(s.Count) * s.CoreSeconds()
		}
	}
	if j.Occurrences == 0 { // the work of later times is not due now
		l := planner.LimitsOf(q, j)
		r.Objective, r.Limit, r.Chain = l.Objective, l.TooLate, l.Chain
	}
	return r
}

// decide answers a request and counts the answer.
func (a *Admission) decide(q admitter.Request, now time.Time) admitter.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.gate.Decide(q, now)
	outcome := "accepted"
	switch {
	case d.Refuse:
		outcome = "refused"
	case !d.Known:
		outcome = "without-table"
	}
	a.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_admission_decisions_total{queue=%q,account=%q,outcome=%q}`, q.Queue, a.accountLabel(q.Account), outcome)).Inc()
	return d
}

// accountLabel returns the label of an account. The number of labels is bounded.
func (a *Admission) accountLabel(account string) string {
	if !a.accounts[account] {
		if len(a.accounts) >= maxAccountLabels {
			return "other"
		}
		a.accounts[account] = true
	}
	return account
}

// reportRefusal logs a refusal with its inputs, unless there were too many in this second.
func (a *Admission) reportRefusal(j *specifier.Job, q admitter.Request, d admitter.Decision, took time.Duration) {
	now := a.config.Now()
	a.mu.Lock()
	if now.Sub(a.lineSecond) >= time.Second {
		a.lineSecond, a.lines = now, 0
	}
	a.lines++
	if a.lines > refusalLinesPerSecond {
		a.skipped++
		a.mu.Unlock()
		return
	}
	skipped := a.skipped
	a.skipped = 0
	a.mu.Unlock()
	a.config.Reporter.Report(reporter.JobNotAdmitted, reporter.Fields{
		"job": j.ID, "queue": j.Queue, "account": j.Account, "reason": d.Reason, "wait": d.Wait.String(), "bound": d.Bound.String(), "work": q.Work,
		"since-first": now.Sub(q.FirstAt).String(), "retry-after": d.RetryAfter.String(), "table": d.Version, "epoch": d.Epoch, "table-age": d.Age.String(),
		"took": took.String(), "skipped": skipped, "policy": a.config.Policy().Version,
	})
}
