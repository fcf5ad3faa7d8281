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
	settle = 3 * time.Second // before a measurement
	window = 10 * time.Second
	ticks  = 100 // of the kernel's processor time in a second
)

// probe measures a process and its links over a window.
type probe struct {
	pid   int
	links []*proxy.Proxy
	store string // URL, for its counts of calls
}

type sample struct {
	at               time.Time
	cpu              float64 // seconds
	toServer, toPeer int64
	calls            map[string]int64
}

func (p probe) take(b *testing.B) sample {
	b.Helper()
	s := sample{at: time.Now(), cpu: cpuOf(b, p.pid)}
	for _, l := range p.links {
		up, down := l.CountBytes()
		s.toServer, s.toPeer = s.toServer+up, s.toPeer+down
	}
	if p.store != "" {
		s.calls = callsOf(b, p.store)
	}
	return s
}

// measure reports the rates of a window.
func (p probe) measure(b *testing.B) {
	b.Helper()
	time.Sleep(settle)
	before := p.take(b)
	time.Sleep(window)
	after := p.take(b)
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.cpu-before.cpu)/seconds, "%core")
	b.ReportMetric(rssOf(b, p.pid), "MiB")
	if len(p.links) > 0 {
		b.ReportMetric(float64(after.toServer-before.toServer)/seconds, "B/s-out")
		b.ReportMetric(float64(after.toPeer-before.toPeer)/seconds, "B/s-in")
	}
	for kind, n := range after.calls {
		b.ReportMetric(float64(n-before.calls[kind])/seconds, kind+"/s")
	}
}

func cpuOf(b *testing.B, pid int) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticks
}

// rssOf returns the resident memory in MiB.
func rssOf(b *testing.B, pid int) float64 {
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

func callsOf(b *testing.B, store string) map[string]int64 {
	b.Helper()
	a, err := http.Get(store + "/control/calls")
	if err != nil {
		b.Fatal(err)
	}
	defer a.Body.Close()
	var c struct {
		Calls map[string]int64 `json:"calls"`
	}
	if err := json.NewDecoder(a.Body).Decode(&c); err != nil {
		b.Fatal(err)
	}
	return c.Calls
}

// meter returns a metric of an entry.
func meter(b *testing.B, e *harness.Entry, name string) float64 {
	b.Helper()
	a, err := http.Get("http://" + e.HTTP + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer a.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 1<<16)
	for {
		n, err := a.Body.Read(buffer)
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
