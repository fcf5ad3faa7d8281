package learner

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// After a change of owner, long-running tasks would miss their targets again and best-effort
// tasks would wait, until the new owner has learned which pairs interfere. It restores the
// effects learned by the previous owner, with somewhat less confidence.
func TestSnapshotKeepsLearnedEffects(t *testing.T) {
	before := New()
	for n := range 40 {
		at := time.Unix(int64(n), 0)
		before.Observe(Observation{Group: "g", Image: "l", Headroom: 2.4, At: at})
		before.Observe(Observation{Group: "g", Image: "l", Headroom: 1.4, Use: Use{"interfering": 0.1}, At: at})
		before.Observe(Observation{Group: "g", Image: "l", Headroom: 2.35, Use: Use{"harmless": 0.1}, At: at})
	}
	value, err := before.Encode()
	if err != nil {
		t.Fatal(err)
	}
	after := New()
	if err := after.Decode(value); err != nil {
		t.Fatal(err)
	}
	for _, image := range []string{"interfering", "harmless"} {
		was, confidenceBefore := before.KnownEffect("l", image)
		is, confidence := after.KnownEffect("l", image)
		if is < was-0.01 || is > was+0.01 || confidence <= 0 || confidence >= confidenceBefore {
			t.Errorf("%s: effect %.2f with confidence %.2f, was %.2f with confidence %.2f", image, is, confidence, was, confidenceBefore)
		}
	}
	if got := len(after.BestEffortImages()); got != 2 {
		t.Errorf("%d best-effort images have reports, want 2", got)
	}
}

func TestSnapshotIsBounded(t *testing.T) {
	l := New()
	for n := range 3 * maxSnapshotPairs {
		l.Observe(Observation{Group: "g", Image: fmt.Sprint("l", n), Headroom: 2, Use: Use{"f": 0.1}, At: time.Unix(int64(n), 0)})
	}
	value, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(value), "lasting"); got != maxSnapshotPairs {
		t.Errorf("snapshot has %d pairs", got)
	}
	if !strings.Contains(string(value), fmt.Sprintf(`"l%d"`, 3*maxSnapshotPairs-1)) || strings.Contains(string(value), `"l0"`) {
		t.Error("snapshot does not have the pairs with the latest reports")
	}
}

func TestInvalidSnapshotIsRejectedWhole(t *testing.T) {
	for _, text := range []string{
		"", "[]", "null", "{}", `{"pairs":[{"lasting":"l","filling":"g","variance":1}]}`, `{"pairs":[{"lasting":"l","filling":"g","mean":3}]}`,
		`{"pairs":[{"lasting":"l","filling":"g","mean":null,"variance":1}]}`, `{"pairs":[{"lasting":"l","filling":"g","mean":3,"variance":1},null]}`,
		`{"pairs":[{"lasting":"l","filling":"g","mean":1e308,"variance":1}]}`, `{"pairs":[{"lasting":"l","filling":"f","mean":-1,"variance":1}]}`, `{"pairs":[{"lasting":"l","filling":"g","mean":3,"variance":1},{"mean":1}]}`,
	} {
		l := New()
		if err := l.Decode([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
		if _, confidence := l.KnownEffect("l", "g"); confidence != 0 {
			t.Errorf("a part of %q was restored", text)
		}
	}
}

// Guards against a panic, and against parts of a snapshot that is refused.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{`{"pairs":[{"lasting":"l","filling":"g","mean":3,"variance":1}]}`, `null`, `{"pairs":[null]}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		l := New()
		if err := l.Decode(value); err != nil && len(l.effects) > 0 {
			t.Errorf("parts of a refused snapshot are restored: %v", err)
		}
	})
}
