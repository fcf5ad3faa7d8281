// Package sampler tells when a process is short of processor time: how much it used, and how long its
// goroutines waited for it. What a process does in milliseconds takes a multiple of that then, and its
// peers see only that it answers late.
package sampler

import (
	"context"
	"math"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"

	"bamboospread/internal/kernel/reporter"
)

const (
	sampleInterval = 5 * time.Second
	// shortWait is how long one in twenty goroutines that can run has to wait for the process to count
	// as short of processor time, until fewer wait for half as long. Work that is urgent has some
	// hundreds of milliseconds, on a path of several processes.
	shortWait = 30 * time.Millisecond
)

// Config holds the settings of a Sampler.
type Config struct {
	Cores    float64 // the process's share of processors, for the log; 0: not known
	Now      func() time.Time
	Read     func() Sample // nil: of this process
	Reporter *reporter.Reporter
}

// Sample is what a process has used and waited since its start.
type Sample struct {
	CPU   time.Duration
	Waits *metrics.Float64Histogram // seconds from when a goroutine could run until it ran
}

// Sampler compares samples. Run must be called once.
type Sampler struct {
	config Config
	last   Sample
	lastAt time.Time
	short  bool
}

// New returns a Sampler.
func New(c Config) *Sampler {
	if c.Read == nil {
		c.Read = readProcess
	}
	return &Sampler{config: c}
}

// Run takes samples until ctx ends.
func (s *Sampler) Run(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s.sample()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// sample takes a sample and logs a change of state.
func (s *Sampler) sample() {
	now, next := s.config.Now(), s.config.Read()
	last, elapsed := s.last, now.Sub(s.lastAt)
	first := s.lastAt.IsZero()
	s.last, s.lastAt = next, now
	if first || elapsed <= 0 {
		return
	}
	wait := waitOf(last.Waits, next.Waits, 0.95)
	limit := shortWait
	if s.short {
		limit /= 2
	}
	if short := wait >= limit; short != s.short {
		s.short = short
		s.config.Reporter.Report(reporter.ProcessorShort, reporter.Fields{
			"short": short, "wait": wait.String(), "used-cores": math.Round(1000*(next.CPU-last.CPU).Seconds()/elapsed.Seconds()) / 1000, "cores": s.config.Cores,
		})
	}
}

// waitOf returns the given quantile of the waits that next counts beyond last, as the lower bound of
// its bucket.
func waitOf(last, next *metrics.Float64Histogram, quantile float64) time.Duration {
	if last == nil || next == nil || len(last.Counts) != len(next.Counts) {
		return 0
	}
	total := uint64(0)
	for i := range next.Counts {
		total += next.Counts[i] - last.Counts[i]
	}
	below := uint64(0)
	for i := range next.Counts {
		if below += next.Counts[i] - last.Counts[i]; total > 0 && float64(below) > quantile*float64(total) {
			return time.Duration(max(next.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}

// readProcess returns the sample of this process.
func readProcess() Sample {
	var s Sample
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		s.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	m := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	metrics.Read(m)
	if m[0].Value.Kind() == metrics.KindFloat64Histogram {
		h := m[0].Value.Float64Histogram()
		s.Waits = &metrics.Float64Histogram{Counts: append([]uint64{}, h.Counts...), Buckets: h.Buckets}
	}
	return s
}
