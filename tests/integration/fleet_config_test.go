package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/recorder"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/standin/storer"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	propagationLimit   = 4 * time.Second // after acceptance, while the store is up
	changesPerOperator = 25
	changeInterval     = 150 * time.Millisecond
)

// configTestbed is the cluster of a scenario. It records the periods in which
// propagationLimit does not apply to a process, or, during a store outage, to any.
type configTestbed struct {
	*harness.Cluster
	t          *testing.T
	random     *rand.Rand
	links      []*proxy.Proxy // from operators to the first two entries
	mu         sync.Mutex
	exemptions []exemption
}

// exemption is a period in which a process, or with an empty name every process, was
// paused, not running or without the store.
type exemption struct {
	process     string
	from, until time.Time
}

// withFault injects a fault for d and records the period as an exemption.
func (c *configTestbed) withFault(process string, d time.Duration, inject, undo func()) {
	from := time.Now()
	inject()
	time.Sleep(d)
	undo()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exemptions = append(c.exemptions, exemption{process, from, time.Now()})
}

// storeOutage takes the store down for d.
func (c *configTestbed) storeOutage(d time.Duration) {
	c.withFault("", d, func() { c.SetStore(storer.Faults{Down: true}) }, func() { c.SetStore(storer.Faults{}) })
}

// Operators use the first two entries; the third only follows changes.
var configScenarios = []struct {
	name string
	// inject runs concurrently with the operators' changes, which take about 8 s.
	inject func(c *configTestbed)
}{
	{"store loses answers, then outage", func(c *configTestbed) {
		c.SetStore(storer.Faults{LoseAnswers: 0.3})
		time.Sleep(2 * time.Second)
		c.storeOutage(2500 * time.Millisecond)
		c.SetStore(storer.Faults{LoseAnswers: 0.3})
	}},
	{"entries' store links cut one way", func(c *configTestbed) {
		c.Entries[2].StoreLink.Set(proxy.Faults{Cut: proxy.ToClient})
		time.Sleep(time.Second)
		c.Entries[0].StoreLink.Set(proxy.Faults{Cut: proxy.ToClient})
		time.Sleep(2 * time.Second)
		c.Entries[0].StoreLink.Reset()
		time.Sleep(4 * time.Second)
		c.Entries[2].StoreLink.Reset()
	}},
	{"an entry's store link holds answers back", func(c *configTestbed) {
		for range 3 {
			c.Entries[2].StoreLink.Set(proxy.Faults{Hold: proxy.ToClient})
			time.Sleep(2 * time.Second) // the other entries announce newer versions to it
			c.Entries[2].StoreLink.Reset()
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{"an entry's store link drops answers, slow store", func(c *configTestbed) {
		c.SetStore(storer.Faults{DelayMillis: 100})
		for range 3 {
			c.Entries[1].StoreLink.Set(proxy.Faults{DropAnswers: true})
			time.Sleep(time.Second)
			c.Entries[1].StoreLink.Reset()
			time.Sleep(time.Second)
		}
	}},
	{"an entry and an agent paused", func(c *configTestbed) {
		time.Sleep(time.Second)
		agent, e := c.VMs[0].Agent, c.Entries[2]
		go c.withFault(agent.Name, 3*time.Second, agent.Pause, agent.Resume)
		c.withFault(e.Name, 4*time.Second, e.Pause, e.Resume)
	}},
	{"an entry killed during an outage", func(c *configTestbed) {
		time.Sleep(1500 * time.Millisecond)
		c.SetStore(storer.Faults{LoseAnswers: 0.5})
		time.Sleep(500 * time.Millisecond)
		e := c.Entries[1]
		c.withFault(e.Name, time.Second, e.Kill, func() {
			c.storeOutage(2500 * time.Millisecond)
			e.Start()
			harness.WaitFor(c.t, 20*time.Second, "the killed entry", func(ctx context.Context) error {
				var v struct{}
				return getJSON(ctx, "http://"+e.HTTP+"/readyz", &v)
			})
		})
	}},
}

// changeAttempt is one change of an operator and the answer to it.
type changeAttempt struct {
	id     string
	burst  int                 // in the text that it applied
	base   int64               // version on which that text is based
	zone   describer.ZoneState // new state; empty: not a zone change
	answer handler.ChangeAnswer
	err    error
}

// TestAcceptedConfigNeverReverts: two operators concurrently make 25 changes each, of the
// text and of zones, through different entries while the store loses answers and has
// outages. A change that was answered with "done" must not be overwritten or reverted,
// the answer must be right, and each process must apply the change in time. The record in
// the store shows what was accepted and when; the version of each process is polled
// throughout.
func TestAcceptedConfigNeverReverts(t *testing.T) {
	t.Parallel()
	for _, s := range configScenarios {
		t.Run(s.name, func(t *testing.T) {
			limitScenarios(t)
			seed := harness.Seed(t)
			c := &configTestbed{Cluster: harness.New(t, harness.Config{Entries: 3, VMs: 2}), t: t, random: rand.New(rand.NewPCG(seed, seed))}
			c.ApplyFleet(textOf(0))
			accepted := watchAcceptance(t, c.Cluster)
			versions := watchVersions(t, c.Cluster)
			injected := make(chan struct{})
			go func() { defer close(injected); s.inject(c) }()
			stop := c.loseAnswersToOperators()
			attempts := runOperators(c)
			stop()
			<-injected
			c.ClearFaults()
			resolveUnknown(t, c, attempts)
			time.Sleep(propagationLimit + 500*time.Millisecond)
			record := accepted.record(t)
			checkAnswers(t, attempts, record)
			checkContent(t, c, attempts, record)
			checkLogs(t, c)
			checkPropagation(t, c, versions, accepted, record.Version)
		})
	}
}

// loseAnswersToOperators drops the answers of entries to operators for short periods,
// alternating between the links.
func (c *configTestbed) loseAnswersToOperators() (stop func()) {
	for _, e := range c.Entries[:2] {
		c.links = append(c.links, c.StartProxy(proxy.Config{Target: e.HTTP}))
	}
	return runInBackground(c.t, func(ctx context.Context) {
		for i := 0; ctx.Err() == nil; i = 1 - i {
			c.links[i].Set(proxy.Faults{DropAnswers: true})
			sleep(ctx, 100*time.Millisecond)
			c.links[i].Reset()
			sleep(ctx, 250*time.Millisecond)
		}
	})
}

func textOf(burst int) string {
	return strings.Replace(harness.FleetText, "{name: packhouse, weight: 4}", fmt.Sprintf("{name: packhouse, weight: 4, burst: %d}", burst), 1)
}

// runOperators runs both operators, each of which tries a different entry first.
func runOperators(c *configTestbed) []*changeAttempt {
	all := make([][]*changeAttempt, 2)
	var both sync.WaitGroup
	for i := range all {
		q := requester.New(requester.Config{
			Entries: []string{c.links[i].Address(), c.links[1-i].Address()}, Timeout: 3 * time.Second,
		})
		random := rand.New(rand.NewPCG(c.random.Uint64(), uint64(i)))
		both.Go(func() {
			for n := range changesPerOperator {
				all[i] = append(all[i], makeChange(q, random, i, n))
				time.Sleep(time.Duration(random.Int64N(int64(2 * changeInterval))))
			}
		})
	}
	both.Wait()
	return slices.Concat(all...)
}

// makeChange makes one change based on the current text and records the answer.
func makeChange(q *requester.Requester, random *rand.Rand, operator, n int) *changeAttempt {
	ctx := context.Background()
	a := &changeAttempt{id: fmt.Sprintf("operator-%d-change-%d", operator, n)}
	if random.IntN(4) == 0 {
		a.zone = []describer.ZoneState{describer.ZoneIn, describer.ZoneOut}[random.IntN(2)]
		a.answer, a.err = q.SetZone(ctx, "zone-c", a.zone, a.id)
		return a
	}
	a.burst = 1000*(operator+1) + n
	now, err := q.GetFleet(ctx)
	if err != nil {
		a.err = err // the change was not sent
		return a
	}
	a.base = now.Version
	time.Sleep(time.Duration(random.Int64N(int64(changeInterval)))) // the other operator may change the text first
	a.apply(q)
	return a
}

func (a *changeAttempt) apply(q *requester.Requester) {
	a.answer, a.err = q.Apply(context.Background(), requester.ApplyOptions{Text: []byte(textOf(a.burst)), Base: a.base, ChangeID: a.id})
}

// resolveUnknown repeats each change with an unknown outcome, as the command tells an
// operator to do. The base is no longer the current version, so the answer is the version
// of the first attempt or a conflict; a zone change that was lost may be made only now.
func resolveUnknown(t *testing.T, c *configTestbed, attempts []*changeAttempt) {
	t.Helper()
	q := operatorOf(10*time.Second, c.Entries...)
	unknown := 0
	for _, a := range attempts {
		if !requester.IsErrOutcomeUnknown(a.err) {
			continue
		}
		unknown++
		if a.zone != "" {
			a.answer, a.err = q.SetZone(context.Background(), "zone-c", a.zone, a.id)
		} else {
			a.apply(q)
		}
		if requester.IsErrOutcomeUnknown(a.err) {
			t.Errorf("%s is still of unknown outcome with the store up: %v", a.id, a.err)
		}
	}
	t.Logf("%d of %d outcomes were unknown at first", unknown, len(attempts))
}

// checkAnswers compares the answers to the operators with the record in the store.
func checkAnswers(t *testing.T, attempts []*changeAttempt, record recorder.Record) {
	t.Helper()
	answers := make(map[string]int)
	for _, a := range attempts {
		stored, ok := record.FindChange(a.id)
		switch {
		case a.err == nil:
			answers["done"]++
			if !ok || stored.Version != a.answer.Version {
				t.Errorf("%s was answered with version %d; in the store: %v, as version %d", a.id, a.answer.Version, ok, stored.Version)
			}
			if a.zone == "" && stored.Version != a.base+1 {
				t.Errorf("%s, based on version %d, replaced version %d, which its operator had not read", a.id, a.base, stored.Version-1)
			}
		case ok:
			t.Errorf("%s was answered as not done (%v), but it is version %d", a.id, a.err, stored.Version)
		case requester.IsErrUnavailable(a.err):
			answers["unavailable"]++
		default:
			answers["conflict"]++
		}
	}
	for i, change := range record.RecentChanges {
		if change.Version != int64(i+1) {
			t.Errorf("accepted change number %d is version %d", i+1, change.Version)
		}
	}
	if answers["done"] < len(attempts)/5 {
		t.Errorf("only %d of %d changes were done, too few for a meaningful test", answers["done"], len(attempts))
	}
	t.Logf("answers: %v, version %d at the end", answers, record.Version)
}

// checkContent replays the accepted changes and compares the result with the text in the
// store and in each entry.
func checkContent(t *testing.T, c *configTestbed, attempts []*changeAttempt, record recorder.Record) {
	t.Helper()
	byID := make(map[string]*changeAttempt)
	for _, a := range attempts {
		byID[a.id] = a
	}
	text, out := textOf(0), false
	for _, change := range record.RecentChanges[1:] {
		switch a := byID[change.ID]; {
		case a == nil:
			t.Errorf("version %d is by %q, which nobody sent", change.Version, change.ID)
		case a.zone != "":
			out = a.zone == describer.ZoneOut
		default:
			text = textOf(a.burst)
		}
	}
	for _, e := range c.Entries {
		got, err := operatorOf(3*time.Second, e).GetFleet(context.Background())
		if err != nil || got.Version != record.Version || got.Text != text || slices.Contains(got.ZonesOut, "zone-c") != out {
			t.Errorf("%s has version %d in force, zones out %v, the last accepted text: %v (%v)", e.Name, got.Version, got.ZonesOut, got.Text == text, err)
		}
	}
	if record.Text != text {
		t.Error("the stored text is not the last accepted one")
	}
}
