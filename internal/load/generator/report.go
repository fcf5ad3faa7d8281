package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bamboospread/internal/wire/messenger"
)

// Limits of the histograms, whose values are in microseconds, and of the reasons in a report.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
	maxReasons        = 20
)

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean-ms"`
	P50   float64 `json:"p50-ms"`
	P90   float64 `json:"p90-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p999-ms"`
	Max   float64 `json:"max-ms"`
}

// Counts counts arrivals by their outcome.
type Counts struct {
	Offered  int64                       `json:"offered"`
	Outcomes map[messenger.Outcome]int64 `json:"outcomes"`
	Statuses map[int]int64               `json:"statuses"`
	Reasons  map[string]int64            `json:"reasons"` // of answers that are not good
	Good     int64                       `json:"good"`    // run, status 200, the expected answer
	Wrong    int64                       `json:"wrong"`   // status 200 with another answer
}

// Slice is the result of one time slice of a load.
type Slice struct {
	From    time.Duration `json:"from-ns"`
	Offered int64         `json:"offered"`
	Good    int64         `json:"good"`
	NotRun  int64         `json:"not-run"`
	Latency Latency       `json:"latency"` // of good answers
}

// Report is the result of a load.
type Report struct {
	Counts
	Seconds  float64           `json:"seconds"`
	Goodput  float64           `json:"goodput-per-second"`
	Latency  Latency           `json:"latency"` // of good answers
	Refused  Latency           `json:"refused"` // of answers with the outcome not-run
	Lag      Latency           `json:"lag"`     // of the generator behind its schedule
	ByTenant map[string]Counts `json:"by-tenant,omitempty"`
	Slices   []Slice           `json:"slices,omitempty"`
}

// collector accumulates the results of a load.
type collector struct {
	config             Config
	report             Report
	good, refused, lag *hdrhistogram.Histogram
	slices             []Slice
	sliceGood          []*hdrhistogram.Histogram
	tenants            map[string]*Counts
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func newCounts() Counts {
	return Counts{Outcomes: make(map[messenger.Outcome]int64), Statuses: make(map[int]int64), Reasons: make(map[string]int64)}
}

func collect(c Config, results <-chan result) Report {
	k := &collector{
		config: c, report: Report{Counts: newCounts(), Seconds: c.Duration.Seconds()},
		good: newHistogram(), refused: newHistogram(), lag: newHistogram(), tenants: make(map[string]*Counts),
	}
	for r := range results {
		if r.counted {
			k.add(r)
		}
	}
	return k.finish()
}

func (c *Counts) add(r result) {
	c.Offered++
	c.Outcomes[r.outcome]++
	if r.status != 0 {
		c.Statuses[r.status]++
	}
	if r.wrong {
		c.Wrong++
	}
	if r.isGood() {
		c.Good++
		return
	}
	// Reasons may contain request ids, so the number of different ones is limited.
	if _, known := c.Reasons[r.reason]; !known && len(c.Reasons) >= maxReasons {
		r.reason = "other"
	}
	c.Reasons[r.reason]++
}

func (r result) isGood() bool {
	return r.outcome == messenger.OutcomeRun && r.status == 200 && !r.wrong
}

func (k *collector) add(r result) {
	k.report.add(r)
	record(k.lag, r.lag)
	if r.tenant != "" {
		if k.tenants[r.tenant] == nil {
			counts := newCounts()
			k.tenants[r.tenant] = &counts
		}
		k.tenants[r.tenant].add(r)
	}
	if r.isGood() {
		record(k.good, r.latency)
	}
	if r.outcome == messenger.OutcomeNotRun {
		record(k.refused, r.latency)
	}
	k.addToSlice(r)
}

func (k *collector) addToSlice(r result) {
	if k.config.Slice <= 0 {
		return
	}
	n := int(r.offset / k.config.Slice)
	for len(k.slices) <= n {
		k.slices = append(k.slices, Slice{From: time.Duration(len(k.slices)) * k.config.Slice})
		k.sliceGood = append(k.sliceGood, newHistogram())
	}
	s := &k.slices[n]
	s.Offered++
	if r.isGood() {
		s.Good++
		record(k.sliceGood[n], r.latency)
	}
	if r.outcome == messenger.OutcomeNotRun {
		s.NotRun++
	}
}

func (k *collector) finish() Report {
	report := k.report
	report.Goodput = float64(report.Good) / report.Seconds
	report.Latency, report.Refused, report.Lag = summarize(k.good), summarize(k.refused), summarize(k.lag)
	for i := range k.slices {
		k.slices[i].Latency = summarize(k.sliceGood[i])
	}
	report.Slices = k.slices
	if len(k.tenants) > 0 {
		report.ByTenant = make(map[string]Counts)
		for name, counts := range k.tenants {
			report.ByTenant[name] = *counts
		}
	}
	return report
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the limits, so that RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func summarize(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99),
		P999: at(99.9), Max: float64(h.Max()) / 1000,
	}
}
