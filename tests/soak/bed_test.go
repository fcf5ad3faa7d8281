package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/operator/requester"
	"bamboospread/internal/standin/executor"
	"bamboospread/internal/standin/storer"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	fleetText = harness.FleetText + `queues:
  - {name: labels, priority: 0, max-failures: 4, slack: 2, target: 250ms}
  - {name: sorting, priority: 2, max-failures: 4, slack: 2, target: 1s}
`
	jobVMs        = 4
	vmMillis      = 8000
	vmMemoryMB    = 16000
	stopTime      = 200 * time.Millisecond // of the executors
	drainLimit    = 3 * time.Second        // of a process that was asked to end
	controlLimit  = 5 * time.Second        // of a change to a stand-in's faults
	controlPause  = 20 * time.Millisecond  // before a repeat
	callerTimeout = 4 * time.Second        // of a caller's request with its repeats
	hastyTimeout  = 400 * time.Millisecond // of one that gives up soon
)

// bed is a cluster with everything that faults are done to.
type bed struct {
	*harness.Cluster
	t        *testing.T
	seed     uint64
	book     *book
	callers  []*caller
	entries  []*member
	agents   []*member
	workers  []*member
	store    *stack[storer.Faults]
	machines []*stack[executor.Faults] // by VM

	agentLinks, storeLinks, workerLinks, callerLinks []*stack[proxy.Faults]

	mu     sync.Mutex
	diary  []string // what was done, for a failed seed
	quiet  []window // without faults
	faulty sync.WaitGroup
}

func newBed(t *testing.T, seed uint64) *bed {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	k := harness.New(t, harness.Config{
		Entries: 2 + r.IntN(2), NoVMs: true, JobVMs: jobVMs, ExecutorLinks: jobVMs - 1,
		ExecutorArgs: []string{
			"--cpu-millis", fmt.Sprint(vmMillis), "--memory-mb", fmt.Sprint(vmMemoryMB), "--lease-max", "10s", "--stop-time", stopTime.String(),
		},
	})
	k.ApplyFleet(fleetText)
	b := &bed{Cluster: k, t: t, seed: seed, book: newBook()}
	b.store = newStack(func(f storer.Faults) { b.control(k.StoreURL, f) })
	for _, e := range k.Entries {
		b.entries = append(b.entries, &member{Process: e.Process})
		b.storeLinks = append(b.storeLinks, newStack(e.StoreLink.Set))
	}
	for _, vm := range k.JobVMs {
		b.agents = append(b.agents, &member{Process: vm.Agent})
		b.workers = append(b.workers, &member{Process: vm.Executor})
		b.machines = append(b.machines, newStack(func(f executor.Faults) { b.control(vm.ExecutorURL, f) }))
		if vm.ExecutorLink != nil {
			b.workerLinks = append(b.workerLinks, newStack(vm.ExecutorLink.Set))
		}
	}
	for _, e := range k.Entries {
		for _, p := range append(slices.Clone(b.agents), b.entries...) {
			b.agentLinks = append(b.agentLinks, newStack(func(f proxy.Faults) { e.RPCLink.SetFor(p.Name, f) }))
		}
	}
	b.callers = b.newCallers()
	return b
}

// newCallers returns a caller for each entry, which asks that one first.
func (b *bed) newCallers() []*caller {
	var addresses []string
	for _, e := range b.Entries {
		link := b.StartProxy(proxy.Config{Target: e.HTTP})
		b.callerLinks = append(b.callerLinks, newStack(link.Set))
		addresses = append(addresses, link.Address())
	}
	var all []*caller
	for i := range addresses {
		order := append(slices.Clone(addresses[i:]), addresses[:i]...)
		all = append(all, &caller{
			number: i, book: b.book, random: rand.New(rand.NewPCG(b.seed, uint64(100+i))),
			client: requester.New(requester.Config{Entries: order, Timeout: callerTimeout}),
			hasty:  requester.New(requester.Config{Entries: order, Timeout: hastyTimeout}),
		})
	}
	return all
}

// control sets the faults of a stand-in. One that is frozen is told once it goes on;
// one that has ended has lost its faults.
func (b *bed) control(url string, faults any) {
	body, err := json.Marshal(faults)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(controlLimit); time.Now().Before(until); time.Sleep(controlPause) {
		a, err := client.Post(url+"/control/faults", "application/json", bytes.NewReader(body))
		if err == nil {
			a.Body.Close()
			return
		}
	}
	b.note("no answer to faults %s at %s", body, url)
}

func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.diary = append(b.diary, clock(time.Now())+" "+fmt.Sprintf(format, args...))
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// witness returns what the executors have seen.
func (b *bed) witness() *witness {
	frozen, deaths := make(map[string][]window), make(map[string][]time.Time)
	for i, vm := range b.JobVMs {
		frozen[vm.Name], deaths[vm.Name] = b.workers[i].times()
	}
	b.mu.Lock()
	quiet := slices.Clone(b.quiet)
	b.mu.Unlock()
	jobs, at := b.book.copy(), time.Now() // what callers saw stands in the records that are read after it
	return newWitness(b.JobEvents(), frozen, deaths, quiet, jobs, at)
}

// keep writes the logs of all processes and what was seen below a folder.
func (b *bed) keep(dir string, findings []string) error {
	files := map[string][]string{"findings.txt": findings, "diary.txt": b.diary, "jobs.txt": b.book.lines()}
	for _, e := range b.JobEvents() {
		line, err := json.Marshal(e)
		if err != nil {
			return err
		}
		files["events.jsonl"] = append(files["events.jsonl"], string(line))
	}
	processes := []*harness.Process{b.Store}
	for _, m := range slices.Concat(b.entries, b.agents, b.workers) {
		processes = append(processes, m.Process)
	}
	for _, p := range processes {
		files[p.Name+".log"] = p.LogLines()
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	for name, lines := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// member is a process that faults end and freeze. Faults overlap, so it is up once
// every one has ended.
type member struct {
	*harness.Process

	mu     sync.Mutex // held over ends and starts
	downs  int
	timeMu sync.Mutex
	frozen []window
	deaths []time.Time
}

// end ends the process, in order if graceful, until begin.
func (m *member) end(graceful bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.downs++; m.downs > 1 {
		return
	}
	if !graceful || m.Terminate(drainLimit) != nil {
		m.Kill()
	}
	m.timeMu.Lock()
	defer m.timeMu.Unlock()
	m.deaths = append(m.deaths, time.Now())
}

func (m *member) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.downs--; m.downs == 0 {
		m.Start()
	}
}

// freeze stops the process where it stands, unless another fault has ended it.
func (m *member) freeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.downs > 0 {
		return
	}
	m.timeMu.Lock()
	defer m.timeMu.Unlock()
	m.frozen = append(m.frozen, window{from: time.Now()})
	m.Pause()
}

func (m *member) thaw() {
	m.timeMu.Lock()
	defer m.timeMu.Unlock()
	m.Resume()
	for i := range m.frozen {
		if m.frozen[i].to.IsZero() {
			m.frozen[i].to = time.Now()
		}
	}
}

func (m *member) times() (frozen []window, deaths []time.Time) {
	m.timeMu.Lock()
	defer m.timeMu.Unlock()
	return slices.Clone(m.frozen), slices.Clone(m.deaths)
}

// stack is the faults of one place, of which the last that has not ended is in force.
type stack[F any] struct {
	apply func(F)
	mu    sync.Mutex
	all   []*F
}

func newStack[F any](apply func(F)) *stack[F] { return &stack[F]{apply: apply} }

// put puts faults in force and returns what takes them back.
func (s *stack[F]) put(f F) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, &f)
	s.apply(f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.all = slices.DeleteFunc(s.all, func(other *F) bool { return other == &f })
		var now F
		if n := len(s.all); n > 0 {
			now = *s.all[n-1]
		}
		s.apply(now)
	}
}
