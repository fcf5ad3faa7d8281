package scheduler

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/sharer"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// sharedCell is a cell whose operators ask for shares. Owners take it over one after the other.
type sharedCell struct {
	t       *testing.T
	policy  *specifier.Policy
	records map[string][]byte
	log     bytes.Buffer
	owner   *owner
	now     time.Time
}

func newSharedCell(t *testing.T, accounts ...specifier.Account) *sharedCell {
	c := &sharedCell{t: t, now: time.Now(), records: make(map[string][]byte), policy: &specifier.Policy{
		Version: 1, Load: specifier.LoadControl{Shares: true}, Accounts: accounts,
		Queues: []specifier.Queue{{Name: "q", MaxFailures: 3, Slack: 2, Target: time.Minute}},
	}}
	c.takeOver()
	c.owner.reconciled = true
	return c
}

// takeOver replaces the owner by one that has the records only.
func (c *sharedCell) takeOver() {
	r, err := reporter.New(reporter.Config{Writer: &c.log, Format: "text", Level: "info"})
	if err != nil {
		c.t.Fatal(err)
	}
	s := New(Config{Cell: "jobs", Reporter: r, Now: func() time.Time { return c.now }, Policy: func() *specifier.Policy { return c.policy }, Store: keeper.Calls{
		GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
			if value, ok := c.records[key]; ok {
				return keeper.Record{Key: key, Value: value, Revision: 1}, nil
			}
			return keeper.Record{}, keeper.ErrKeyNotExist{}
		},
	}})
	c.owner = newOwner(s, 1, tracker.New(tracker.Config{Policy: c.policy}), c.now)
	c.owner.loadSnapshots(c.t.Context(), c.now)
}

func (c *sharedCell) job(n int, account string, count int) {
	spec := &specifier.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Account: account, AcceptedMillis: c.now.UnixMilli(), Steps: []specifier.Step{{
		Count: count, Needs: specifier.Resources{CPUMillis: 1000}, EstimateMillis: 60_000,
	}}}
	c.owner.state.AddJob(spec, time.Time{}, c.now)
}

// report reports a VM of 16 cores with the runs that its worker has.
func (c *sharedCell) report(vm string, runs ...messenger.WorkRun) {
	c.owner.members[vm] = true
	applyReport(c.t, c.owner, new(connector.Conn), messenger.WorkReport{
		VM: vm, Process: 1, Session: 1, Incarnation: "1", Ready: true, Granted: true, Runs: runs,
		VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 16_000, MemoryMB: 1000}},
	})
}

// pass lets time pass with updates and without starts.
func (c *sharedCell) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(100 * time.Millisecond)
		c.owner.updateShares(c.now)
	}
}

func (c *sharedCell) started() map[string]int {
	n := make(map[string]int)
	for _, vm := range c.owner.state.VMs {
		for _, r := range vm.Runs {
			n[r.Step().Occurrence.Job.Spec.Account]++
		}
	}
	return n
}

func runsOf(job, from, to int) (runs []messenger.WorkRun) {
	for i := from; i < to; i++ {
		runs = append(runs, messenger.WorkRun{Task: fmt.Sprintf("%016x.0.0.%d", job, i), Run: 1, Confirmed: true})
	}
	return runs
}

// Guards against an owner killed in the middle of a burst whose successor takes the burst's account for
// one that has used nothing, and gives it the next free room.
func TestShareSurvivesChangeOfOwner(t *testing.T) {
	c := newSharedCell(t)
	c.report("vm-1")
	c.job(1, "burst", 100)
	c.owner.updateShares(c.now)
	c.owner.startWaitingTasks(c.now)
	if n := c.started()["burst"]; n != 16 {
		t.Fatalf("%d tasks of the burst started", n)
	}
	c.pass(20 * time.Second)
	for _, p := range c.owner.snapshotRecords(c.now) {
		c.records[p.Key] = p.Value
	}
	c.now = c.now.Add(3 * time.Second)
	c.takeOver()
	c.owner.reconciled = true
	c.job(1, "burst", 100)
	c.job(2, "other", 4)
	// All but four runs of the burst have ended meanwhile.
	c.report("vm-1", runsOf(1, 0, 4)...)
	c.owner.updateShares(c.now)
	if st := c.owner.load.sharer.Standing("burst", 0); st.Recent < 0.5 || st.Use != 0.25 {
		t.Errorf("the burst has the standing %+v", st)
	}
	c.owner.startWaitingTasks(c.now)
	if starts := c.owner.sessions["vm-1"].queued; !strings.HasPrefix(starts[0].Task, fmt.Sprintf("%016x", 2)) {
		t.Errorf("the first start is %s", starts[0].Task)
	}
}

// Guards against an owner that fails to take over, or takes over half of the ledger, because the snapshot
// of shares is damaged; and against one that says nothing about it.
func TestDamagedShareSnapshotIsReported(t *testing.T) {
	c := newSharedCell(t)
	c.records["cells/jobs/shares"] = []byte(`{"version":1,"at-ms":1,"rows":[{"account":"a","priority":0,"recent":0.5},{"account":"b","priority":0,"recent":-1}]}`)
	c.takeOver()
	c.report("vm-1")
	c.owner.updateShares(c.now)
	if st := c.owner.load.sharer.Standing("a", 0); st != (sharer.Standing{}) {
		t.Errorf("a part of the ledger was restored: %+v", st)
	}
	if !strings.Contains(c.log.String(), "cells/jobs/shares") || !strings.Contains(c.log.String(), "rows[1]") {
		t.Errorf("log: %s", c.log.String())
	}
}

// Guards against a quota that is exceeded after a change of owner, when the runs of VMs that have not
// reported are not known.
func TestQuotaHoldsUntilVMsHaveReported(t *testing.T) {
	c := newSharedCell(t, specifier.Account{Name: "a", Weight: 1, Quota: specifier.Resources{CPUMillis: 6000}})
	c.owner.reconciled = false
	c.report("vm-1")
	c.job(1, "a", 8)
	c.job(2, "b", 3)
	start := func() {
		c.owner.updateShares(c.now)
		c.owner.startWaitingTasks(c.now)
	}
	if start(); c.started()["a"] != 0 || c.started()["b"] != 3 {
		t.Errorf("started before all VMs have reported: %v", c.started())
	}
	c.report("vm-2", runsOf(1, 0, 4)...)
	c.owner.reconciled = true
	if start(); c.started()["a"] != 6 {
		t.Errorf("runs of a: %d, its quota is 6", c.started()["a"])
	}
}

// Guards against jobs whose records an older build has written, without an account: they run, and count
// together.
func TestJobRecordWithoutAccount(t *testing.T) {
	c := newSharedCell(t)
	c.report("vm-1")
	id := fmt.Sprintf("%016x", 1)
	value := `{"id":"` + id + `","queue":"q","payload":"","steps":[{"count":2,"needs":{"cpu-millis":1000,"memory-mb":1},"estimate-ms":1000}],"accepted-ms":1}`
	if !c.owner.addJob(keeper.Record{Key: JobKey(id), Value: []byte(value), Revision: 1}, time.Time{}, c.now) {
		t.Fatal(c.log.String())
	}
	c.owner.updateShares(c.now)
	c.owner.startWaitingTasks(c.now)
	c.owner.updateShares(c.now)
	if a := c.owner.accountStatus(messenger.NoAccount, c.now); c.started()[""] != 2 || a.Jobs != 1 || len(a.Rows) != 1 || a.Rows[0].Use == 0 {
		t.Errorf("started %v, standing %+v", c.started(), a)
	}
}

// Guards against an operator who cannot see why an account's tasks wait: who comes first and what it
// holds, and against an unknown name that looks like an idle account.
func TestExplainAccount(t *testing.T) {
	c := newSharedCell(t, specifier.Account{Name: "defined", Weight: 2})
	c.report("vm-1")
	c.job(1, "burst", 100)
	c.owner.updateShares(c.now)
	c.owner.startWaitingTasks(c.now)
	c.job(2, "other", 20)
	c.pass(time.Second)
	burst, other := c.owner.accountStatus("burst", c.now), c.owner.accountStatus("other", c.now)
	if !burst.Known || burst.Held.CPUMillis != 16_000 || len(burst.Rows) != 1 || burst.Rows[0].Waiting != 84 || strings.Join(burst.Rows[0].Ahead, ",") != "other" || burst.Rows[0].FarMillis <= 0 {
		t.Errorf("burst: %+v", burst)
	}
	if len(other.Rows) != 1 || strings.Join(other.Rows[0].Behind, ",") != "burst" || other.Rows[0].LongestMillis < 900 || other.Rows[0].Share <= other.Rows[0].Use {
		t.Errorf("other: %+v", other)
	}
	if a := c.owner.accountStatus("defined", c.now); !a.Known || a.Weight != 2 || a.Jobs != 0 {
		t.Errorf("defined: %+v", a)
	}
	if a := c.owner.accountStatus("nobody", c.now); a.Known {
		t.Errorf("nobody: %+v", a)
	}
}

// Guards against a log without a line on an account that is above its share or at its quota for long, and
// against one line for each update.
func TestAccountsAreLoggedOnce(t *testing.T) {
	c := newSharedCell(t, specifier.Account{Name: "held", Weight: 1, Quota: specifier.Resources{CPUMillis: 1000}})
	c.report("vm-1")
	c.job(1, "burst", 100)
	c.owner.updateShares(c.now)
	c.owner.startWaitingTasks(c.now)
	c.job(2, "other", 20)
	c.job(3, "held", 20)
	c.pass(shareReportAfter / 2)
	if strings.Contains(c.log.String(), "above its share") {
		t.Error("logged too early")
	}
	for range 2 {
		c.report("vm-2")
		c.owner.startWaitingTasks(c.now)
		c.owner.state.Detach(c.owner.state.VMs["vm-2"])
		c.pass(shareReportInterval / 2)
	}
	if n := strings.Count(c.log.String(), "account above its share"); n != 1 {
		t.Errorf("%d lines on the account above its share", n)
	}
	if n := strings.Count(c.log.String(), "account at its quota"); n != 1 {
		t.Errorf("%d lines on the account at its quota", n)
	}
}

// Guards against metrics whose number grows with the accounts, or that stay after the account or the
// ownership is gone.
func TestAccountMetricsAreBounded(t *testing.T) {
	set := metrics.NewSet()
	m := NewMetrics(set)
	standings := make(map[sharer.Key]sharer.Standing)
	for i := range 300 {
		standings[sharer.Key{Account: fmt.Sprintf("a-%03d", i)}] = sharer.Standing{Use: float64(i) / 1000, Share: 0.1}
	}
	m.accounts(standings)
	for i := range 300 {
		m.reclaimed(fmt.Sprintf("a-%03d", i))
	}
	lines := func() (gauges, counters int, text string) {
		var b bytes.Buffer
		set.WritePrometheus(&b)
		return strings.Count(b.String(), "_account_"), strings.Count(b.String(), "_reclaims_total"), b.String()
	}
	gauges, counters, text := lines()
	if gauges != 3*(maxAccountLabels+1) || counters > maxAccountLabels+1 || !strings.Contains(text, `account="a-299"`) || strings.Contains(text, `account="a-100"`) || !strings.Contains(text, `account="other"`) {
		t.Errorf("%d gauges and %d counters:\n%s", gauges, counters, text)
	}
	m.accounts(nil)
	if gauges, _, text = lines(); gauges != 0 {
		t.Errorf("gauges that stay:\n%s", text)
	}
}

// Guards against an owner that starts tasks of an account beyond its quota between the arrival of the policy
// and the next periodic check.
func TestQuotaIsInForceWithItsPolicy(t *testing.T) {
	for _, reconciled := range []bool{true, false} {
		c := newSharedCell(t)
		quota := c.policy
		quota.Accounts = []specifier.Account{{Name: "limited", Weight: 1, Quota: specifier.Resources{CPUMillis: 3000}}}
		c.policy = &specifier.Policy{}
		c.takeOver()
		c.owner.reconciled = reconciled
		c.report("vm-1")
		c.job(1, "limited", 8)
		c.owner.runChecks(t.Context(), c.now) // by the policy without the account
		c.policy = quota
		c.owner.place(c.now)
		if n := c.started()["limited"]; n > 3 || reconciled && n == 0 {
			t.Errorf("reconciled %t: %d tasks of a core each start, with a quota of three", reconciled, n)
		}
	}
}
