package admitter

import (
	"encoding/json"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

var begin = time.UnixMilli(9_000_000)

// backlogTable returns a table of a queue with the given seconds of work ahead, at a drain of 100.
func backlogTable(epoch, version int64, seconds float64) *Table {
	return &Table{Format: Format, Epoch: epoch, Version: version, Entries: 2, Rows: []Row{{Queue: "q", Drain: 100, OnTime: []Point{{1, seconds * 100}}, Ahead: []Point{{1, seconds * 100}}}}}
}

// request returns a request of a job with an objective of 4 s, a limit of 12 s and a chain of 2 s.
func request(change func(q *Request)) Request {
	q := Request{Queue: "q", Priority: 2, Rank: 1, Work: 50, Chain: 2 * time.Second, Objective: 4 * time.Second, Limit: 12 * time.Second, FirstAt: begin}
	if change != nil {
		change(&q)
	}
	return q
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		table  *Table
		age    time.Duration
		q      Request
		refuse bool
	}{
		{"no table", nil, 0, request(nil), false},
		{"room", backlogTable(1, 1, 0.5), 0, request(nil), false},
		{"can still be late, which has a value", backlogTable(1, 1, 9.9), 0, request(nil), false},
		{"too late even by the optimistic drain", backlogTable(1, 1, 10.1), 0, request(nil), true},
		{"drained since the table was computed", backlogTable(1, 1, 10.9), time.Second, request(nil), false},
		{"table too old", backlogTable(1, 1, 100), TableTTL + 1, request(nil), false},
		{"other queue", backlogTable(1, 1, 100), 0, request(func(q *Request) { q.Queue = "p" }), false},
		{"no objective", backlogTable(1, 1, 100), 0, request(func(q *Request) { q.Limit = 0 }), false},
		{"less work than those that wait", backlogTable(1, 1, 100), 0, request(func(q *Request) { q.Rank = 0.5 }), false},
		{"urgent, too late only with its own chain", backlogTable(1, 1, 11), 0, request(func(q *Request) { q.Priority = 0 }), false},
		{"urgent, hopeless", backlogTable(1, 1, 12.1), 0, request(func(q *Request) { q.Priority = 0 }), true},
		{"came 8 s ago", backlogTable(1, 1, 5), 0, request(func(q *Request) { q.FirstAt = begin.Add(-8 * time.Second) }), true},
		{"came a minute ago, but there is room", backlogTable(1, 1, 0.9), 0, request(func(q *Request) { q.FirstAt = begin.Add(-time.Minute) }), false},
		{"chain above the limit, but there is room", backlogTable(1, 1, 0), 0, request(func(q *Request) { q.Chain = time.Minute }), false},
		{"in time before those that are late", &Table{Rows: []Row{{Queue: "q", Drain: 100, OnTime: []Point{{1, 190}}, Ahead: []Point{{1, 1e5}}}}}, 0, request(nil), false},
		{"late itself before it starts", &Table{Rows: []Row{{Queue: "q", Drain: 100, OnTime: []Point{{1, 210}}, Ahead: []Point{{1, 1e5}}}}}, 0, request(nil), true},
		{"late already", &Table{Rows: []Row{{Queue: "q", Drain: 100, OnTime: []Point{{1, 190}}, Ahead: []Point{{1, 1e5}}}}}, 0, request(func(q *Request) { q.FirstAt = begin.Add(-time.Second) }), true},
		{"work that takes longer than a duration holds", backlogTable(1, 1, 1e12), 0, request(nil), true},
		{"its own work takes longer than a duration holds", backlogTable(1, 1, 100), 0, request(func(q *Request) { q.Work = 1e18 }), true},
		{"drain not known", &Table{Rows: []Row{{Queue: "q", Ahead: []Point{{1, 1e6}}}}}, 0, request(nil), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate()
			if tt.table != nil {
				g.Use(tt.table, begin.Add(-tt.age))
			}
			d := g.Decide(tt.q, begin)
			if d.Refuse != tt.refuse {
				t.Errorf("refused: %t (wait %s, bound %s), want %t", d.Refuse, d.Wait, d.Bound, tt.refuse)
			}
			if d.Refuse && (d.Reason == "" || d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter) {
				t.Errorf("refusal %+v", d)
			}
		})
	}
}

// Guards against a burst that one entry lets in by one table.
func TestLetInCountsUntilTheNextTable(t *testing.T) {
	g := NewGate()
	g.Use(backlogTable(1, 1, 9), begin)
	let := 0
	for range 20 {
		if !g.Decide(request(nil), begin).Refuse {
			let++
		}
	}
	if let != 3 { // 50 of 100 core-seconds each: 9, 9.5 and 10 s of wait
		t.Errorf("%d jobs let in by one table, want 3", let)
	}
	g.Use(backlogTable(1, 2, 9), begin.Add(time.Second))
	if g.Decide(request(func(q *Request) { q.FirstAt = begin.Add(time.Second) }), begin.Add(time.Second)).Refuse {
		t.Error("jobs that the new table holds are counted twice")
	}
}

// Guards against more than the stated overshoot where two entries see the last room: each lets in what
// the table has room for.
func TestOvershootOfTwoEntriesIsBounded(t *testing.T) {
	let := 0
	for range 2 {
		g := NewGate()
		g.Use(backlogTable(1, 1, 9), begin)
		for range 50 {
			if !g.Decide(request(nil), begin).Refuse {
				let++
			}
		}
	}
	if let > 2*3 {
		t.Errorf("two entries let in %d jobs where there is room for 3", let)
	}
}

// Guards against decisions by the table of an owner that was replaced, and against an older table that
// arrives late.
func TestTablesOfOwners(t *testing.T) {
	full, empty := 100.0, 0.0
	tests := []struct {
		name   string
		use    func(g *Gate)
		refuse bool
	}{
		{"newer version", func(g *Gate) { g.Use(backlogTable(2, 6, empty), begin) }, false},
		{"older version", func(g *Gate) { g.Use(backlogTable(2, 4, empty), begin) }, true},
		{"older epoch", func(g *Gate) { g.Use(backlogTable(1, 9, empty), begin) }, true},
		{"newer epoch, version begins anew", func(g *Gate) { g.Use(backlogTable(3, 1, empty), begin) }, false},
		{"new owner without a table", func(g *Gate) { g.Drop(3) }, false},
		{"same owner stops giving tables", func(g *Gate) { g.Drop(2) }, false},
		{"late answer of an earlier owner", func(g *Gate) { g.Drop(1) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate()
			g.Use(backlogTable(2, 5, full), begin)
			tt.use(g)
			if got := g.Decide(request(nil), begin).Refuse; got != tt.refuse {
				t.Errorf("refused: %t, want %t", got, tt.refuse)
			}
		})
	}
}

// Guards against a new owner that refuses before it knows how fast work is done.
func TestDrainIsNotKnownAtFirst(t *testing.T) {
	m, p := NewMeter(), Pool{Priority: 2}
	for n := range minSamples {
		if got := m.Drain(p); got != 0 {
			t.Errorf("drain %g after %d samples", got, n)
		}
		m.Observe(p, 100, time.Second)
	}
	if got := m.Drain(p); got != 100 {
		t.Errorf("drain %g, want 100", got)
	}
}

func TestDrainIsOptimistic(t *testing.T) {
	m, urgent, rest := NewMeter(), Pool{Priority: 0}, Pool{Priority: 2}
	for n := range 30 {
		m.Observe(urgent, float64(n%10), time.Second)
		m.Observe(rest, float64(n%10), time.Second)
	}
	if got := m.Drain(urgent); got != 9 {
		t.Errorf("drain of priority 0: %g, want the highest, 9", got)
	}
	if got := m.Drain(rest); got < 8 || got > 9 {
		t.Errorf("drain %g, want the 0.9 quantile", got)
	}
	m.Observe(rest, -5, time.Second) // work was lost
	m.Observe(rest, 5, 0)
	if m.Drain(rest) < 0 {
		t.Error("negative drain")
	}
}

// Guards against callers that pay for another's burst: the account over its share is refused by its
// own backlog, the others are not.
func TestAccountOverItsShareIsRefusedFirst(t *testing.T) {
	p := Pool{Priority: 2}
	meter := NewMeter()
	for range minSamples {
		meter.Observe(p, 100, time.Second)
	}
	b := Backlog{
		Queues: []Queue{{Name: "q", Pool: p}}, Meter: meter,
		Waiting: []Waiting{{p, "busy", true, 1, 900}, {p, "calm", true, 1, 100}, {p, "calm", true, 1, 200}},
		Ready:   map[Pool]float64{p: 1200}, Running: map[Pool]float64{p: 100},
		Share: func(string, int) float64 { return 0.5 },
	}
	tests := []struct {
		account string
		share   func(string, int) float64
		refuse  bool
	}{
		{"busy", b.Share, true}, // 900 at 50 a second
		{"calm", b.Share, false},
		{"new", b.Share, false},
		{"", b.Share, true}, // not known: the whole backlog
		{"calm", nil, true},
		{"calm", func(string, int) float64 { return 0 }, true}, // no shares are known
	}
	for _, tt := range tests {
		b.Share = tt.share
		g := NewGate()
		g.Use(&Table{Format: Format, Epoch: 1, Version: 1, Rows: Tabulate(b)}, begin)
		q := request(func(q *Request) { q.Account = tt.account; q.Limit = 10 * time.Second })
		if d := g.Decide(q, begin); d.Refuse != tt.refuse {
			t.Errorf("account %q refused: %t (wait %s), want %t", tt.account, d.Refuse, d.Wait, tt.refuse)
		}
	}
}

// Guards against a caller that returns in time and is worse off than new ones.
func TestReturningCallerComesBeforeNewOnes(t *testing.T) {
	g := NewGate()
	g.Use(backlogTable(1, 1, 11), begin)
	d := g.Decide(request(func(q *Request) { q.Work, q.FirstAt = 300, begin.Add(time.Microsecond) }), begin)
	if !d.Refuse {
		t.Fatal("accepted")
	}
	back := begin.Add(d.RetryAfter)
	g.Use(backlogTable(1, 2, 7.5), back)
	if !g.Decide(request(func(q *Request) { q.FirstAt = back }), back).Refuse {
		t.Error("a new caller takes the room of one that is due")
	}
	if d := g.Decide(request(func(q *Request) { q.Work, q.Returning = 300, true }), back); d.Refuse {
		t.Errorf("the returning caller is refused: %+v", d)
	}
	back = back.Add(2 * uncountedDelay)
	g.Use(backlogTable(1, 3, 9.5), back)
	if g.Decide(request(func(q *Request) { q.FirstAt = back }), back).Refuse {
		t.Error("room is kept for a caller that has come back")
	}
}

func TestLongRunningJobsThatDoNotFit(t *testing.T) {
	step := func(count int, cpu, memory int64, away int) specifier.Step {
		return specifier.Step{Count: count, Needs: specifier.Resources{CPUMillis: cpu, MemoryMB: memory}, LongRunning: true, MaxUnavailable: away}
	}
	vms := []LongRunningVM{{64_000, 100_000}, {64_000, 100_000}, {20_000, 50_000}}
	tests := []struct {
		name    string
		waiting []LongRunningTask
		steps   []specifier.Step
		refuse  bool
	}{
		{"fits", nil, []specifier.Step{step(9, 13_000, 1000, 0)}, false},
		{"cores are left, but not together", nil, []specifier.Step{step(10, 13_000, 1000, 0)}, true},
		{"may miss one", nil, []specifier.Step{step(10, 13_000, 1000, 1)}, false},
		{"others wait already", []LongRunningTask{{13_000, 1000}}, []specifier.Step{step(9, 13_000, 1000, 0)}, true},
		{"a waiting task that fits nowhere takes nothing", []LongRunningTask{{65_000, 1000}}, []specifier.Step{step(9, 13_000, 1000, 0)}, false},
		{"no memory", nil, []specifier.Step{step(9, 13_000, 30_000, 0)}, true},
		{"two steps", nil, []specifier.Step{step(5, 13_000, 1000, 0), step(5, 13_000, 1000, 0)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate()
			g.Use(&Table{Format: Format, Epoch: 1, Version: 1, Rows: []Row{{Queue: "q", Room: RoomOf(vms, tt.waiting)}}}, begin)
			q := request(func(q *Request) { q.LongRunning = tt.steps })
			if d := g.Decide(q, begin); d.Refuse != tt.refuse {
				t.Errorf("refused: %t, want %t", d.Refuse, tt.refuse)
			}
			if !tt.refuse {
				for range 3 {
					g.Decide(q, begin)
				}
				if !g.Decide(q, begin).Refuse {
					t.Error("the same room is given to several jobs by one table")
				}
			}
		})
	}
}

// Guards against a table of another build that is taken for one of this build.
func TestDecodeTable(t *testing.T) {
	for raw, ok := range map[string]bool{
		`{"format":1,"version":3,"epoch":2,"entries":4,"rows":[{"queue":"q","drain":5,"new-field":1}]}`: true,
		`{"format":2,"version":3,"epoch":2}`:     false,
		`{"version":3,"epoch":2}`:                false,
		`{"format":1,"rows":{"queue":"q"}}`:      false,
		`{"format":1,"rows":[{"drain":"many"}]}`: false,
		`[]`:                                     false,
		``:                                       false,
	} {
		if _, err := DecodeTable(json.RawMessage(raw)); (err == nil) != ok {
			t.Errorf("%s: error %v", raw, err)
		}
	}
}

// Guards against the clock of another entry that is ahead or behind: the record's times are clamped.
func TestRefusalOfAnotherClock(t *testing.T) {
	at := func(d time.Duration) int64 { return begin.Add(d).UnixMilli() }
	tests := []struct {
		name     string
		r        Refusal
		first    time.Duration // before now
		returnIn time.Duration
	}{
		{"same clock", Refusal{FirstMillis: at(-5 * time.Second), ReturnMillis: at(3 * time.Second)}, 5 * time.Second, 3 * time.Second},
		{"ahead by an hour", Refusal{FirstMillis: at(time.Hour), ReturnMillis: at(time.Hour)}, 0, maxRetryAfter},
		{"behind by an hour", Refusal{FirstMillis: at(-time.Hour), ReturnMillis: at(-time.Hour)}, Retention, 0},
		{"unreadable", Refusal{}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := begin.Sub(tt.r.FirstAt(begin)); got != tt.first {
				t.Errorf("first came %s ago, want %s", got, tt.first)
			}
			if got := tt.r.ReturnIn(begin); got != tt.returnIn {
				t.Errorf("returns in %s, want %s", got, tt.returnIn)
			}
		})
	}
}

// Guards against rows that grow with the backlog.
func TestTableSizeIsBounded(t *testing.T) {
	p := Pool{Priority: 2}
	b := Backlog{Queues: []Queue{{Name: "q", Pool: p}}, Meter: NewMeter(), Ready: map[Pool]float64{p: 1}}
	total := 0.0
	for n := range 5000 {
		b.Waiting = append(b.Waiting, Waiting{p, "", n%2 == 0, float64(n), float64(n % 7)})
		total += float64(n % 7)
	}
	rows := Tabulate(b)
	if len(rows) != 1 || len(rows[0].Ahead) > maxPoints+1 || upTo(rows[0].Ahead, 1e9) != total || upTo(rows[0].Ahead, -1) != 0 {
		t.Errorf("%d rows, %d points, %g of %g core-seconds", len(rows), len(rows[0].Ahead), upTo(rows[0].Ahead, 1e9), total)
	}
}

// Guards against a backlog that is none: tasks that wait for earlier steps, or for the few VMs that may
// run them, while there is room. The drain would be what came, and jobs would be refused beside idle VMs.
func TestNoBacklogWhileThereIsRoom(t *testing.T) {
	p := Pool{Priority: 2}
	tests := []struct {
		name           string
		ready, running float64
		want           bool
	}{
		{"nothing is ready", 0, 400, false},
		{"nothing is ready or runs", 0, 0, false},
		{"less is ready than runs in a second", 399, 400, false},
		{"a second of work is ready", 400, 400, true},
		{"nothing can run", 5, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			meter := NewMeter()
			for range minSamples {
				meter.Observe(p, 10, time.Second)
			}
			b := Backlog{
				Queues: []Queue{{Name: "q", Pool: p}}, Meter: meter, Waiting: []Waiting{{p, "", true, 1, 5000}},
				Ready: map[Pool]float64{p: tt.ready}, Running: map[Pool]float64{p: tt.running},
			}
			g := NewGate()
			g.Use(&Table{Format: Format, Epoch: 1, Version: 1, Rows: Tabulate(b)}, begin)
			if got := g.Decide(request(nil), begin).Refuse; got != tt.want || b.Saturated(p) != tt.want {
				t.Errorf("refused: %t, saturated: %t, want %t", got, b.Saturated(p), tt.want)
			}
		})
	}
}

// Guards against a wait or a return time that overflows: a caller is told to come back at once, and callers after it
// are let in before it.
func TestReturnTimesDoNotOverflow(t *testing.T) {
	g := NewGate()
	g.Use(backlogTable(1, 1, 1e12), begin)
	for range 3 {
		if d := g.Decide(request(func(q *Request) { q.Work = 1e18 }), begin); !d.Refuse || d.Wait < time.Hour || d.RetryAfter != maxRetryAfter {
			t.Errorf("refused: %t, a wait of %s, back after %s", d.Refuse, d.Wait, d.RetryAfter)
		}
	}
	if wait, _ := WaitAt(g.table.Rows, "q", "", 1); wait < time.Hour {
		t.Errorf("a wait of %s", wait)
	}
}
