package learner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var begin = time.Unix(1_000_000, 0)

// report feeds one report on a task of image "l", and one on another task of the same step on
// a VM without best-effort tasks.
func report(l *Learner, n int, alone, loss float64, use Use) {
	at := begin.Add(time.Duration(n) * 300 * time.Millisecond)
	l.Observe(Observation{Group: "g", Image: "l", Headroom: alone, At: at})
	l.Observe(Observation{Group: "g", Image: "l", Headroom: alone - loss, Use: use, At: at})
}

// One of three best-effort images interferes with a long-running image. Reports show mixes of
// all three; the interfering one must be identified within some seconds of reports.
func TestInterferingImageIsIdentified(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	l := New()
	for n := range 30 {
		use := Use{"a": 0.15 * random.Float64(), "b": 0.15 * random.Float64(), "c": 0.15 * random.Float64()}
		report(l, n, 2.4+0.2*random.Float64(), 9*use["b"], use)
	}
	if a, b, c := l.Effect("l", "a"), l.Effect("l", "b"), l.Effect("l", "c"); b < 6 || a > 1.5 || c > 1.5 {
		t.Errorf("seed %d: effects %.2f, %.2f, %.2f; want about 0, 9, 0", seed, a, b, c)
	}
}

// The load of a long-running task swings by itself, from far below its target to near it. This
// must not be attributed to the best-effort tasks on its VM, whatever the correlation.
func TestLoadSwingIsNotAttributedToBestEffort(t *testing.T) {
	l := New()
	for n := range 60 {
		swing := math.Sin(2 * math.Pi * float64(n) * 0.3 / 10)
		report(l, n, 2.4+0.9*swing, 0, Use{"f": 0.2 * (1 - swing)})
	}
	if e := l.Effect("l", "f"); e > 1 {
		t.Errorf("effect is %.2f after a swing of the load alone, want at most 1", e)
	}
	if now, low := l.OwnHeadroom("g"); low > 1.9 || now < low {
		t.Errorf("own headroom is %.2f and its lowest value %.2f; the load took it down to 1.5", now, low)
	}
}

// Guards against an estimate of the own headroom that follows the swing of the load late: half a
// second ahead, the time until a pace has an effect, it has to be as good as a report.
func TestTrendPredictsSwing(t *testing.T) {
	const (
		interval = 150 * time.Millisecond
		ahead    = 500 * time.Millisecond
		swings   = 4
	)
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, seed))
		own := func(at time.Duration) float64 { return 2.4 + 0.9*math.Sin(2*math.Pi*at.Seconds()/10) }
		l := New()
		sum, count := 0.0, 0
		for at := time.Duration(0); at < swings*10*time.Second; at += interval {
			l.Observe(Observation{Group: "g", Image: "l", Headroom: own(at) + reportNoise*random.NormFloat64(), At: begin.Add(at)})
			now, _ := l.OwnHeadroom("g")
			if at > 10*time.Second {
				e := now + l.Trend("g", ahead) - own(at+ahead)
				sum, count = sum+e*e, count+1
			}
		}
		if rms := math.Sqrt(sum / float64(count)); rms > reportNoise {
			t.Errorf("seed %d: predictions are off by %.2f, reports by %.2f", seed, rms, reportNoise)
		}
	}
}

// Guards against a trend that is extrapolated over a time without reports: a swing has turned by then.
func TestTrendDecaysWithoutReports(t *testing.T) {
	const interval, silence = 150 * time.Millisecond, time.Minute
	l := New()
	at := begin
	for n := range 12 { // the load rises, the headroom falls from 3.4 to 1.6
		at = at.Add(interval)
		l.Observe(Observation{Group: "g", Image: "l", Headroom: 3.4 - 0.15*float64(n), At: at})
	}
	if change := l.Trend("g", time.Second); change > -0.5 {
		t.Fatalf("the trend is %.2f in a second, want about -1", change)
	}
	at = at.Add(silence)
	l.Observe(Observation{Group: "g", Image: "l", Headroom: 2.4, At: at})
	if now, _ := l.OwnHeadroom("g"); math.Abs(now-2.4) > reportNoise {
		t.Errorf("own headroom is %.2f after a report of 2.4", now)
	}
	if change := l.Trend("g", time.Second); math.Abs(change) > reportNoise {
		t.Errorf("the trend is %.2f in a second after a minute without reports", change)
	}
}

// Effects change within seconds. An image that no longer interferes must be admitted again,
// and one that begins to interfere must be detected.
func TestEffectFollowsChange(t *testing.T) {
	l := New()
	use := Use{"f": 0.2}
	for n := range 20 {
		report(l, n, 2.4, 1.8, use)
	}
	if e := l.Effect("l", "f"); e < 6 {
		t.Errorf("effect is %.2f after 20 reports with interference, want about 9", e)
	}
	for n := range 20 {
		report(l, 20+n, 2.4, 0, use)
	}
	if e := l.Effect("l", "f"); e > 2 {
		t.Errorf("effect is %.2f after 20 reports without interference, want about 0", e)
	}
	for n := range 20 {
		report(l, 40+n, 2.4, 1.8, use)
	}
	if e := l.Effect("l", "f"); e < 6 {
		t.Errorf("effect is %.2f after 20 more reports with interference, want about 9", e)
	}
}

// An extreme tail gives only a lower bound of the interference, and queues drain only after
// its cause has ended. Such reports must never lower an effect.
func TestDrainingQueueNeverLowersEffect(t *testing.T) {
	l := New()
	for n := range 20 {
		report(l, n, 2.4, 1.8, Use{"f": 0.2})
	}
	before := l.Effect("l", "f")
	for n := range 20 {
		at := begin.Add(time.Duration(20+n) * 300 * time.Millisecond)
		l.Observe(Observation{Group: "g", Image: "l", Headroom: 0.05, Use: Use{"f": 0.5}, At: at})
	}
	if e := l.Effect("l", "f"); e < before {
		t.Errorf("effect fell from %.2f to %.2f while the tail was twenty times its target", before, e)
	}
}

func TestUnknownPairUsesEffectOnOtherImages(t *testing.T) {
	l := New()
	before := l.Effect("new", "f")
	for n := range 40 {
		report(l, n, 2.4, 1.8, Use{"f": 0.2})
	}
	if after := l.Effect("new", "f"); after <= 1.5*before {
		t.Errorf("effect on an unknown image is %.2f after reports of interference with another image, was %.2f before", after, before)
	}
	if l.CautiousEffect("new", "f") <= l.Effect("new", "f") {
		t.Error("cautious effect of a pair without reports is not above the effect")
	}
}

func TestEffectsAreNeverNegative(t *testing.T) {
	l := New()
	for n := range 50 {
		report(l, n, 1, -3, Use{"f": 1})
	}
	if e := l.Effect("l", "f"); e < 0 {
		t.Errorf("effect is %f, want at least 0", e)
	}
}

func TestGroupsExpire(t *testing.T) {
	l := New()
	l.Observe(Observation{Group: "old", Image: "l", Headroom: 2, At: begin})
	l.Observe(Observation{Group: "new", Image: "l", Headroom: 2, At: begin.Add(2 * groupTTL)})
	if len(l.groups) != 1 {
		t.Errorf("%d groups are kept, want 1", len(l.groups))
	}
}
