package learner

import (
	"math/rand/v2"
	"testing"
)

// A lasting image is disturbed by one of three filling images. Reports show mixes
// of all three; the one at fault must be found within some seconds of reports.
func TestFindsTheImageAtFault(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	l := New()
	for range 60 {
		use := Use{"a": 0.3 * random.Float64(), "b": 0.3 * random.Float64(), "c": 0.3 * random.Float64()}
		l.Observe("l", 0.5+8*use["b"]+0.05*random.Float64(), use)
	}
	if a, b, c := l.Effect("l", "a"), l.Effect("l", "b"), l.Effect("l", "c"); b < 4 || a > 1.5 || c > 1.5 {
		t.Errorf("seed %d: effects %.2f, %.2f, %.2f; want about 0, 8, 0", seed, a, b, c)
	}
}

// Effects change within seconds. An image that was loud and became quiet must be
// let in again, and the other way round.
func TestFollowsAChange(t *testing.T) {
	l := New()
	for range 20 {
		l.Observe("l", 4, Use{"f": 0.4})
	}
	if tail := l.Tail("l", Use{"f": 0.4}); tail < 2 {
		t.Errorf("after 20 loud reports a tail of %.2f is expected", tail)
	}
	for range 20 {
		l.Observe("l", 0.5, Use{"f": 0.4})
	}
	if tail := l.Tail("l", Use{"f": 0.4}); tail > 0.85 {
		t.Errorf("after 20 quiet reports a tail of %.2f is expected", tail)
	}
}

func TestUnknownImagesTakeAfterOthers(t *testing.T) {
	l := New()
	before := l.Effect("new", "f")
	for range 40 {
		l.Observe("l1", 4, Use{"f": 0.4})
		l.Observe("l2", 4, Use{"f": 0.4})
	}
	if after := l.Effect("new", "f"); after <= 2*before {
		t.Errorf("loud beside two images, yet %.2f is expected beside a third (%.2f before)", after, before)
	}
}

func TestEffectsAreNeverNegative(t *testing.T) {
	l := New()
	for range 50 {
		l.Observe("l", 0, Use{"f": 1})
	}
	if e := l.Effect("l", "f"); e < 0 {
		t.Errorf("effect %f", e)
	}
}
