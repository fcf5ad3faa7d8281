package learner

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Lasting tasks are over their targets again after each change of owner, and filling ones
// wait: the new owner has to learn anew which pairs are loud. It takes over what the one
// before knew, and is a little less sure of it.
func TestTheNextOwnerKnowsWhatThisOneLearned(t *testing.T) {
	before := New()
	for n := range 40 {
		at := time.Unix(int64(n), 0)
		before.Observe(Observation{Group: "g", Image: "l", Headroom: 2.4, At: at})
		before.Observe(Observation{Group: "g", Image: "l", Headroom: 1.4, Use: Use{"loud": 0.1}, At: at})
		before.Observe(Observation{Group: "g", Image: "l", Headroom: 2.35, Use: Use{"quiet": 0.1}, At: at})
	}
	value, err := before.Encode()
	if err != nil {
		t.Fatal(err)
	}
	after := New()
	if err := after.Decode(value); err != nil {
		t.Fatal(err)
	}
	for _, image := range []string{"loud", "quiet"} {
		was, trustBefore := before.Known("l", image)
		is, trust := after.Known("l", image)
		if is < was-0.01 || is > was+0.01 || trust <= 0 || trust >= trustBefore {
			t.Errorf("%s: effect %.2f trusted %.2f, was %.2f trusted %.2f", image, is, trust, was, trustBefore)
		}
	}
	if got := len(after.FillingImages()); got != 2 {
		t.Errorf("%d filling images are known", got)
	}
}

func TestWhatIsHandedOnIsBounded(t *testing.T) {
	l := New()
	for n := range 3 * lessonsMost {
		l.Observe(Observation{Group: "g", Image: fmt.Sprint("l", n), Headroom: 2, Use: Use{"f": 0.1}, At: time.Unix(int64(n), 0)})
	}
	value, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(value), "lasting"); got != lessonsMost {
		t.Errorf("%d pairs are handed on", got)
	}
	if !strings.Contains(string(value), fmt.Sprintf(`"l%d"`, 3*lessonsMost-1)) || strings.Contains(string(value), `"l0"`) {
		t.Error("not the pairs seen last")
	}
}

func TestDamagedLessonsAreNotTaken(t *testing.T) {
	for _, text := range []string{"", "[]", `{"pairs":[{"lasting":"l","filling":"f","mean":-1,"variance":1}]}`, `{"pairs":[{"lasting":"l","filling":"g","mean":3,"variance":1},{"mean":1}]}`} {
		l := New()
		if err := l.Decode([]byte(text)); err == nil {
			t.Errorf("%q was taken", text)
		}
		if _, trust := l.Known("l", "g"); trust != 0 {
			t.Errorf("half of %q was taken", text)
		}
	}
}
