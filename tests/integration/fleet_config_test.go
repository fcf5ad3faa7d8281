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
	inForceLimit       = 4 * time.Second // from acceptance, while the store is up
	changesPerOperator = 25
	changeEvery        = 150 * time.Millisecond
)

// configScene is what a scenario works on. It notes the times within which a
// process, or all of them by an outage, can't be held to the limit.
type configScene struct {
	*harness.Cluster
	t      *testing.T
	random *rand.Rand
	links  []*proxy.Proxy // from operators to the first two entries
	mu     sync.Mutex
	excuse []excuse
}

// excuse is a time in which a process ("": all) was paused, dead or without a
// store.
type excuse struct {
	process     string
	from, until time.Time
}

// during breaks something for a while and notes it as an excuse.
func (c *configScene) during(process string, d time.Duration, breaks, mend func()) {
	from := time.Now()
	breaks()
	time.Sleep(d)
	mend()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excuse = append(c.excuse, excuse{process, from, time.Now()})
}

// outage takes the store down.
func (c *configScene) outage(d time.Duration) {
	c.during("", d, func() { c.SetStore(storer.Faults{Down: true}) }, func() { c.SetStore(storer.Faults{}) })
}

// Operators work through the first two entries; the third only follows.
var configScenarios = []struct {
	name string
	// disturb runs beside the operators' changes, which take about 8 s.
	disturb func(c *configScene)
}{
	{"outage with lost answers before it", func(c *configScene) {
		c.SetStore(storer.Faults{LoseAnswers: 0.3})
		time.Sleep(2 * time.Second)
		c.outage(2500 * time.Millisecond)
		c.SetStore(storer.Faults{LoseAnswers: 0.3})
	}},
	{"entries' store links cut one way", func(c *configScene) {
		c.Entries[2].StoreLink.Set(proxy.Faults{Cut: proxy.ToClient})
		time.Sleep(time.Second)
		c.Entries[0].StoreLink.Set(proxy.Faults{Cut: proxy.ToClient})
		time.Sleep(2 * time.Second)
		c.Entries[0].StoreLink.Reset()
		time.Sleep(4 * time.Second)
		c.Entries[2].StoreLink.Reset()
	}},
	{"an entry's store link holds answers back", func(c *configScene) {
		for range 3 {
			c.Entries[2].StoreLink.Set(proxy.Faults{Hold: proxy.ToClient})
			time.Sleep(2 * time.Second) // it hears of newer versions from other entries
			c.Entries[2].StoreLink.Reset()
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{"an entry's store link drops answers, slow store", func(c *configScene) {
		c.SetStore(storer.Faults{DelayMillis: 100})
		for range 3 {
			c.Entries[1].StoreLink.Set(proxy.Faults{DropAnswers: true})
			time.Sleep(time.Second)
			c.Entries[1].StoreLink.Reset()
			time.Sleep(time.Second)
		}
	}},
	{"an entry and an agent paused", func(c *configScene) {
		time.Sleep(time.Second)
		agent, e := c.VMs[0].Agent, c.Entries[2]
		go c.during(agent.Name, 3*time.Second, agent.Pause, agent.Resume)
		c.during(e.Name, 4*time.Second, e.Pause, e.Resume)
	}},
	{"an entry killed over an outage", func(c *configScene) {
		time.Sleep(1500 * time.Millisecond)
		c.SetStore(storer.Faults{LoseAnswers: 0.5})
		time.Sleep(500 * time.Millisecond)
		e := c.Entries[1]
		c.during(e.Name, time.Second, e.Kill, func() {
			c.outage(2500 * time.Millisecond)
			e.Start()
			harness.WaitFor(c.t, 20*time.Second, "the killed entry", func(ctx context.Context) error {
				var v struct{}
				return getJSON(ctx, "http://"+e.HTTP+"/readyz", &v)
			})
		})
	}},
}

// attempt is one change of an operator with what it was told.
type attempt struct {
	id     string
	burst  int                 // of the text that it applied
	base   int64               // of that text
	zone   describer.ZoneState // of a zone change
	answer handler.ChangeAnswer
	err    error
}

// TestAcceptedConfigNeverReverts lets two operators race 25 changes each, texts
// and zones, through different entries while answers of the store are lost and
// it goes away. An operator who was told "done" sees another text in force when
// a change was overwritten, reverted or told wrongly, or when a process lags.
// The store's own record tells what was accepted and when; each process is asked
// for its version all the time.
func TestAcceptedConfigNeverReverts(t *testing.T) {
	t.Parallel()
	for _, s := range configScenarios {
		t.Run(s.name, func(t *testing.T) {
			oneOfFew(t)
			seed := harness.Seed(t)
			c := &configScene{Cluster: harness.New(t, harness.Config{Entries: 3, VMs: 2}), t: t, random: rand.New(rand.NewPCG(seed, seed))}
			c.ApplyFleet(textOf(0))
			accepted := watchAcceptances(t, c.Cluster)
			versions := watchVersions(t, c.Cluster)
			disturbed := make(chan struct{})
			go func() { defer close(disturbed); s.disturb(c) }()
			stop := c.loseAnswersToOperators()
			attempts := race(c)
			stop()
			<-disturbed
			c.ClearFaults()
			settle(t, c, attempts)
			time.Sleep(inForceLimit + 500*time.Millisecond)
			record := accepted.record(t)
			checkAnswers(t, attempts, record)
			checkContent(t, c, attempts, record)
			checkLogs(t, c)
			checkInForce(t, c, versions, accepted, record.Version)
		})
	}
}

// loseAnswersToOperators drops what entries answer to operators, from time to
// time and each link on its own.
func (c *configScene) loseAnswersToOperators() (stop func()) {
	for _, e := range c.Entries[:2] {
		c.links = append(c.links, c.StartProxy(proxy.Config{Target: e.HTTP}))
	}
	return background(c.t, func(ctx context.Context) {
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

// race runs both operators, each with a favourite entry.
func race(c *configScene) []*attempt {
	all := make([][]*attempt, 2)
	var both sync.WaitGroup
	for i := range all {
		q := requester.New(requester.Config{
			Entries: []string{c.links[i].Address(), c.links[1-i].Address()}, Timeout: 3 * time.Second,
		})
		random := rand.New(rand.NewPCG(c.random.Uint64(), uint64(i)))
		both.Go(func() {
			for n := range changesPerOperator {
				all[i] = append(all[i], change(q, random, i, n))
				time.Sleep(time.Duration(random.Int64N(int64(2 * changeEvery))))
			}
		})
	}
	both.Wait()
	return slices.Concat(all...)
}

// change makes one change on the text in force and keeps what it was told.
func change(q *requester.Requester, random *rand.Rand, operator, n int) *attempt {
	ctx := context.Background()
	a := &attempt{id: fmt.Sprintf("operator-%d-change-%d", operator, n)}
	if random.IntN(4) == 0 {
		a.zone = []describer.ZoneState{describer.ZoneIn, describer.ZoneOut}[random.IntN(2)]
		a.answer, a.err = q.SetZone(ctx, "zone-c", a.zone, a.id)
		return a
	}
	a.burst = 1000*(operator+1) + n
	now, err := q.GetFleet(ctx)
	if err != nil {
		a.err = err // not even tried
		return a
	}
	a.base = now.Version
	time.Sleep(time.Duration(random.Int64N(int64(changeEvery)))) // the other operator may come first
	a.apply(q)
	return a
}

func (a *attempt) apply(q *requester.Requester) {
	a.answer, a.err = q.Apply(context.Background(), requester.ApplyOptions{Text: []byte(textOf(a.burst)), Base: a.base, ChangeID: a.id})
}

// settle asks again for each change of unknown outcome, as the command tells an
// operator to do. The base has passed, so the answer is the first version or a
// conflict; a zone change that was lost may be done only now.
func settle(t *testing.T, c *configScene, attempts []*attempt) {
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

// checkAnswers compares what operators were told with the store's record.
func checkAnswers(t *testing.T, attempts []*attempt, record recorder.Record) {
	t.Helper()
	told := make(map[string]int)
	for _, a := range attempts {
		stored, ok := record.FindChange(a.id)
		switch {
		case a.err == nil:
			told["done"]++
			if !ok || stored.Version != a.answer.Version {
				t.Errorf("%s was told to be version %d; the store has it: %v, as version %d", a.id, a.answer.Version, ok, stored.Version)
			}
			if a.zone == "" && stored.Version != a.base+1 {
				t.Errorf("%s, based on version %d, replaced version %d, which its operator had not seen", a.id, a.base, stored.Version-1)
			}
		case ok:
			t.Errorf("%s was told as not done (%v), but it is version %d", a.id, a.err, stored.Version)
		case requester.IsErrUnavailable(a.err):
			told["unavailable"]++
		default:
			told["conflict"]++
		}
	}
	for i, change := range record.RecentChanges {
		if change.Version != int64(i+1) {
			t.Errorf("the %d. accepted change is version %d", i+1, change.Version)
		}
	}
	if told["done"] < len(attempts)/5 {
		t.Errorf("only %d of %d changes were done: the test shows little", told["done"], len(attempts))
	}
	t.Logf("told: %v, version %d at the end", told, record.Version)
}

// checkContent replays the accepted changes and compares the outcome with what
// the store and each entry have in force.
func checkContent(t *testing.T, c *configScene, attempts []*attempt, record recorder.Record) {
	t.Helper()
	byID := make(map[string]*attempt)
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
