package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	settlingTime        = 3 * time.Second // before a measurement
	measurementTime     = 10 * time.Second
	clockTicksPerSecond = 100 // of the kernel's processor time in a second
)

// probe measures a process, its links and the store calls over measurementTime.
type probe struct {
	pid   int
	links []*proxy.Proxy
	store string // URL of the store whose calls are counted; empty: not counted
}

type sample struct {
	at                 time.Time
	cpu                float64 // seconds
	toServer, toClient int64
	calls              map[string]int64
}

func (p probe) takeSample(b *testing.B) sample {
	b.Helper()
	s := sample{at: time.Now(), cpu: cpuSeconds(b, p.pid)}
	for _, l := range p.links {
		up, down := l.CountBytes()
		s.toServer, s.toClient = s.toServer+up, s.toClient+down
	}
	if p.store != "" {
		s.calls = readStoreCalls(b, p.store)
	}
	return s
}

// measure waits settlingTime and then reports the rates over measurementTime.
func (p probe) measure(b *testing.B) {
	b.Helper()
	time.Sleep(settlingTime)
	before := p.takeSample(b)
	time.Sleep(measurementTime)
	after := p.takeSample(b)
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.cpu-before.cpu)/seconds, "%core")
	b.ReportMetric(residentMiB(b, p.pid), "MiB")
	if len(p.links) > 0 {
		b.ReportMetric(float64(after.toServer-before.toServer)/seconds, "B/s-out")
		b.ReportMetric(float64(after.toClient-before.toClient)/seconds, "B/s-in")
	}
	for kind, n := range after.calls {
		b.ReportMetric(float64(n-before.calls[kind])/seconds, kind+"/s")
	}
}

func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// residentMiB returns the resident memory.
func residentMiB(b *testing.B, pid int) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib / 1024
		}
	}
	return 0
}

func readStoreCalls(b *testing.B, store string) map[string]int64 {
	b.Helper()
	resp, err := http.Get(store + "/control/calls")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var c struct {
		Calls map[string]int64 `json:"calls"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		b.Fatal(err)
	}
	return c.Calls
}

// readMetric returns the value of an entry's metric, or 0 if it has none.
func readMetric(b *testing.B, e *harness.Entry, name string) float64 {
	b.Helper()
	resp, err := http.Get("http://" + e.HTTP + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 1<<16)
	for {
		n, err := resp.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, name) {
			fields := strings.Fields(line)
			value, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			return value
		}
	}
	return 0
}

func waitTasks(b *testing.B, count func() int, want int) {
	b.Helper()
	harness.WaitFor(b, time.Minute, fmt.Sprintf("%d tasks running", want), func(context.Context) error {
		if n := count(); n < want {
			return fmt.Errorf("%d run", n)
		}
		return nil
	})
}
