package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/abridger"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// BenchmarkReport measures the handling of a report of a busy VM (14 runs and one new end) from
// the agent's call to the owner's reply over a connection, including decoding and accounting.
func BenchmarkReport(b *testing.B) {
	r := busyReport()
	benchmarkReports(b, func(n int) messenger.WorkReport {
		r.Ends = []messenger.WorkEnd{{Seq: int64(n + 1), Task: "5c0e7a21d94b36f8.0.1.9", Run: 1, Outcome: "done"}}
		return r
	})
}

// BenchmarkQuietReport measures the same for a report without news, in which only the measurements of the
// 14 runs have changed.
func BenchmarkQuietReport(b *testing.B) {
	r, a := busyReport(), abridger.New()
	benchmarkReports(b, func(n int) messenger.WorkReport {
		for i := range r.Runs {
			r.Runs[i].Measure = int64(6000 + (n+i)%500)
		}
		return a.Abridge(r)
	})
}

// busyReport returns a report of 14 runs without news.
func busyReport() messenger.WorkReport {
	r := messenger.WorkReport{VM: "vm", Session: 1, Process: 1, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{Zone: "z", Rack: "r", Service: "s", Labels: []string{"a", "r1-3"}, Capacity: specifier.Resources{CPUMillis: 64_000, MemoryMB: 256_000}}}
	for i := range 14 {
		r.Runs = append(r.Runs, messenger.WorkRun{Task: fmt.Sprintf("5c0e7a21d94b36f8.0.1.%d", i), Run: 1, Confirmed: true, Checkpoint: "00000bb87a21d94b", Progress: 41, Measure: 6150})
	}
	return r
}

func benchmarkReports(b *testing.B, report func(n int) messenger.WorkReport) {
	b.Helper()
	s := New(Config{Cell: "c", EntryID: "e", Now: time.Now, Reporter: reporter.Discard(), Policy: func() *specifier.Policy { return &specifier.Policy{} }, Store: keeper.Calls{}, Metrics: nil})
	o := newOwner(s, 1, tracker.New(tracker.Config{}), time.Now())
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() {
		for {
			select {
			case e := <-o.events:
				e.apply(o, time.Now())
			case <-ctx.Done():
				return
			}
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	served := make(chan error, 1)
	go func() {
		served <- connector.Serve(ctx, l, func(ctx context.Context, c *connector.Conn, _ string, params json.RawMessage) (any, error) {
			return serveCall(params, func(r messenger.WorkReport) (messenger.WorkReply, error) { return o.report(ctx, c, r) })
		}, nil)
	}()
	conn, err := connector.Dial(ctx, l.Addr().String(), nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if err := conn.Call(ctx, messenger.MethodWorkReport, report(n), nil); err != nil {
			b.Fatal(err)
		}
	}
	cancel()
	<-served
}
