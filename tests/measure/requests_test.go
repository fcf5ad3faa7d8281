// Package measure contains the measurements of docs/MEASUREMENTS.md as benchmarks
// on real processes. They do not check speed; each run logs its results.
package measure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/load/generator"
	"bamboospread/internal/standin/responder"
	"bamboospread/internal/standin/storer"
	"bamboospread/tests/harness"
)

const (
	slots               = 8
	clockTicksPerSecond = 100 // of /proc/PID/stat
	slowFactor          = 20
	measurementTime     = 10 * time.Second
	warmUpRate          = 50 // requests per second until each entry lists every upstream
	warmUpTime          = 12 * time.Second
)

// Services of the measurements. With the long service time the processes use little
// processor time, so that on one machine the results show the policy and not the
// limits of the machine.
var (
	shortService = service{vms: 3, time: 20 * time.Millisecond}
	longService  = service{vms: 11, time: 100 * time.Millisecond}
)

// service describes the upstreams: their number and the time that each request takes.
type service struct {
	vms  int
	time time.Duration
}

// capacity returns how many requests per second the upstreams can run.
func (s service) capacity() float64 { return float64(s.vms*slots) / s.time.Seconds() }

// bench is a cluster under load.
type bench struct {
	*harness.Cluster
	b        *testing.B
	capacity float64 // requests per second
}

func start(b *testing.B, s service) *bench {
	b.Helper()
	c := harness.Config{VMs: s.vms, UpstreamArgs: []string{"--service-time", s.time.String()}}
	k := &bench{harness.New(b, c), b, s.capacity()}
	k.ApplyFleet(harness.FleetText)
	for _, vm := range k.VMs {
		k.Control(vm.UpstreamURL+"/control/modes", responder.Modes{NoRecord: true})
	}
	k.load(warmUpRate, warmUpTime)
	return k
}

// targets returns the flags for a load through the entries.
func (k *bench) targets() []string {
	var urls []string
	for _, e := range k.Entries {
		urls = append(urls, "http://"+e.HTTP)
	}
	return []string{"--service", "labelling", "--targets", strings.Join(urls, ",")}
}

// direct returns the flags for a load that bypasses entries and agents.
func (k *bench) direct() []string {
	var urls []string
	for _, vm := range k.VMs {
		urls = append(urls, vm.UpstreamURL)
	}
	return []string{"--targets", strings.Join(urls, ",")}
}

func (k *bench) load(rate float64, d time.Duration, flags ...string) generator.Report {
	return k.loadAt(k.targets(), rate, d, flags...)
}

// loadAt runs the load command in a separate process.
func (k *bench) loadAt(targets []string, rate float64, d time.Duration, flags ...string) generator.Report {
	k.b.Helper()
	args := append([]string{
		"load", "--output", "json", "--rate", strconv.FormatFloat(rate, 'f', -1, 64), "--duration", d.String(),
	}, targets...)
	out, code := harness.Run(k.b, append(args, flags...)...)
	var r generator.Report
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != 0 {
		k.b.Fatalf("load: exit code %d, %v", code, err)
	}
	return r
}

// logReport logs the results of one load.
func (k *bench) logReport(name string, r generator.Report) {
	k.b.Logf("%-22s offered %6d good %6d (%.0f/s) wrong %d outcomes %v p50 %.2f p90 %.2f p99 %.2f p99.9 %.2f max %.1f ms | refused p99 %.1f ms | lag p99 %.2f ms",
		name, r.Offered, r.Good, r.Goodput, r.Wrong, r.Outcomes, r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.P999, r.Latency.Max, r.Refused.P99, r.Lag.P99)
	for tenant, c := range r.ByTenant {
		k.b.Logf("    %-18s offered %6d good %6d outcomes %v reasons %v", tenant, c.Offered, c.Good, c.Outcomes, c.Reasons)
	}
}

// cpuTime returns the processor time that processes have used so far.
func cpuTime(b *testing.B, all ...*harness.Process) time.Duration {
	b.Helper()
	const userTime, systemTime = 11, 12 // fields after the process name
	var ticks int64
	for _, p := range all {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			b.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		for _, i := range []int{userTime, systemTime} {
			n, _ := strconv.ParseInt(fields[i], 10, 64)
			ticks += n
		}
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

func (k *bench) entryCPUTime() time.Duration {
	var all []*harness.Process
	for _, e := range k.Entries {
		all = append(all, e.Process)
	}
	return cpuTime(k.b, all...)
}

func (k *bench) agentCPUTime() time.Duration {
	var all []*harness.Process
	for _, vm := range k.VMs {
		all = append(all, vm.Agent)
	}
	return cpuTime(k.b, all...)
}

// BenchmarkPathCost alternates the same load through entry and agent and directly
// to the upstreams.
func BenchmarkPathCost(b *testing.B) {
	k := start(b, shortService)
	for b.Loop() {
		for _, rate := range []float64{k.capacity / 20, k.capacity / 2} {
			k.logReport(fmt.Sprintf("direct at %.0f/s", rate), k.loadAt(k.direct(), rate, measurementTime))
			entries, agents := k.entryCPUTime(), k.agentCPUTime()
			r := k.load(rate, measurementTime)
			requests := time.Duration(r.Seconds+2) * time.Duration(rate) // with the warm-up
			k.logReport(fmt.Sprintf("path at %.0f/s", rate), r)
			b.Logf("processor time per request: entry %s, agent %s", (k.entryCPUTime()-entries)/requests, (k.agentCPUTime()-agents)/requests)
			k.logReport(fmt.Sprintf("direct at %.0f/s", rate), k.loadAt(k.direct(), rate, measurementTime))
		}
	}
}

// BenchmarkOverload offers twice the capacity, with one tenant that stays within its share.
func BenchmarkOverload(b *testing.B) {
	k := start(b, longService)
	for b.Loop() {
		k.logReport("at capacity", k.load(k.capacity, measurementTime, "--tenants", "packhouse=1,export-desk=9"))
		k.logReport("at twice capacity", k.load(2*k.capacity, measurementTime, "--tenants", "packhouse=1,export-desk=19"))
	}
}

// BenchmarkSlowUpstream makes one of the upstreams 20 times slower, and later kills
// another one.
func BenchmarkSlowUpstream(b *testing.B) {
	k := start(b, longService)
	for b.Loop() {
		k.logReport("before", k.load(k.capacity/2, measurementTime))
		k.Control(k.VMs[0].UpstreamURL+"/control/modes", responder.Modes{NoRecord: true, Slow: slowFactor})
		k.logReport("one slow", k.load(k.capacity/2, measurementTime))
		k.Control(k.VMs[0].UpstreamURL+"/control/modes", responder.Modes{NoRecord: true})
		k.logReport("slow one recovered", k.load(k.capacity/2, measurementTime))
		kill := time.AfterFunc(4*time.Second, k.VMs[1].Upstream.Kill)
		k.logReport("one killed", k.load(k.capacity/2, measurementTime))
		kill.Stop()
		k.VMs[1].Upstream.Restart()
	}
}

// BenchmarkStoreDown measures loads during which the store is down, also with
// additional keyed requests.
func BenchmarkStoreDown(b *testing.B) {
	k := start(b, longService)
	for b.Loop() {
		k.logReport("store up", k.load(k.capacity/2, measurementTime))
		k.SetStore(storer.Faults{Down: true})
		k.logReport("store down", k.load(k.capacity/2, 3*measurementTime))
		keyed := make(chan generator.Report)
		go func() {
			keyed <- k.load(k.capacity/8, 2*measurementTime, "--method", "POST", "--keyed", "--seed", "5")
		}()
		k.logReport("down, with keyed load", k.load(k.capacity/2, measurementTime))
		k.logReport("the keyed load", <-keyed)
		k.SetStore(storer.Faults{})
		k.logReport("store up again", k.load(k.capacity/2, measurementTime))
	}
}

// BenchmarkKeyed compares requests that are not idempotent without and with a key.
// A key needs a claim that the cell's owner journals. The keyed load is repeated with
// the store down.
func BenchmarkKeyed(b *testing.B) {
	k := start(b, longService)
	for b.Loop() {
		rate := k.capacity / 4
		k.logReport("no key", k.load(rate, measurementTime, "--method", "POST"))
		before := k.storeCalls()
		k.logReport("keyed", k.load(rate, measurementTime, "--method", "POST", "--keyed", "--seed", "2"))
		b.Logf("store calls during the keyed load: %v before, %v after", before, k.storeCalls())
		k.SetStore(storer.Faults{Down: true})
		r := k.load(rate, measurementTime, "--method", "POST", "--keyed", "--seed", "3")
		k.logReport("keyed, store down", r)
		b.Logf("reasons %v", r.Reasons)
		k.SetStore(storer.Faults{})
		k.logReport("keyed, store up again", k.load(rate, measurementTime, "--method", "POST", "--keyed", "--seed", "4"))
	}
}

func (k *bench) storeCalls() map[string]int64 {
	k.b.Helper()
	resp, err := http.Get(k.StoreURL + "/control/calls")
	if err != nil {
		k.b.Fatal(err)
	}
	defer resp.Body.Close()
	var c storer.Calls
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		k.b.Fatal(err)
	}
	return c.Calls
}
