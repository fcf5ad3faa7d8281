package attributor

import (
	"testing"
	"time"
)

// Guards against a task that crashes its workers without limit, and against one that is given up
// for crashes that others caused.
func TestTooMany(t *testing.T) {
	likely := func(age time.Duration, sole bool) Crash {
		return Crash{AgeMillis: age.Milliseconds(), Likely: true, Sole: sole}
	}
	beside := Crash{AgeMillis: 5000}
	const early, late = 20 * time.Millisecond, 800 * time.Millisecond
	tests := []struct {
		name    string
		crashes []Crash
		want    bool
	}{
		{"none", nil, false},
		{"two as the sole cause", []Crash{likely(early, true), likely(early, true)}, false},
		{"three as the sole cause", []Crash{likely(early, true), likely(early, true), likely(early, true)}, true},
		{"the last as the sole cause, at other ages", []Crash{likely(late, false), likely(early, false), likely(early, true)}, false},
		{"three as a likely cause", []Crash{likely(early, false), likely(early, false), likely(early, false)}, false},
		{"four as a likely cause", []Crash{likely(early, false), likely(late, false), likely(early, false), likely(late, false)}, true},
		{"four beside others", []Crash{beside, beside, beside, beside}, false},
		{"five beside others", []Crash{beside, beside, beside, beside, beside}, true},
	}
	for _, tt := range tests {
		if got := TooMany(tt.crashes, tt.crashes); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against a task that is given up for losses of power: crashes that no process reported count only together,
// at one age, and on several VMs.
func TestUnreportedCrashesWeighLess(t *testing.T) {
	const age, gap = 300 * time.Millisecond, 50 * time.Millisecond
	unreported := func(vm string, age time.Duration) Crash {
		return Crash{VM: vm, AgeMillis: age.Milliseconds(), SpreadMillis: gap.Milliseconds(), Likely: true}
	}
	reported := Crash{VM: "d", AgeMillis: age.Milliseconds(), Likely: true, Sole: true}
	tests := []struct {
		name     string
		own, all []Crash // all nil: the same
		want     bool
	}{
		{"three", []Crash{unreported("a", age), unreported("b", age), unreported("c", age)}, nil, false},
		{"four", []Crash{unreported("a", age), unreported("b", age), unreported("c", age), unreported("d", age)}, nil, true},
		{"four on one VM", []Crash{unreported("a", age), unreported("a", age), unreported("a", age), unreported("a", age)}, nil, false},
		{"six at ages that rise", []Crash{unreported("a", age), unreported("b", 2*age), unreported("c", 3*age), unreported("d", 4*age), unreported("e", 5*age), unreported("f", 6*age)}, nil, false},
		{"ages that may be the same", []Crash{unreported("a", age-gap), unreported("b", age), unreported("c", age-gap), unreported("d", age+gap)}, nil, true},
		{"two, and one reported", []Crash{unreported("a", age), unreported("b", age), reported}, nil, true},
		{"two at another age, and one reported", []Crash{unreported("a", 4*age), unreported("b", 4*age), reported}, nil, false},
		{"one on the VM of three that were reported", []Crash{reported, reported, reported, {VM: "d", AgeMillis: 5000, SpreadMillis: 50}}, nil, true},
		{"four of other members of its gang", nil, []Crash{unreported("a", age), unreported("b", age), unreported("c", age), unreported("d", age)}, false},
	}
	for _, tt := range tests {
		all := tt.all
		if all == nil {
			all = tt.own
		}
		if got := TooMany(tt.own, all); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
	if left := WithoutDisproved([]Crash{unreported("a", age), reported}, age+gap+MinObservation+1); len(left) != 1 || left[0].Unreported() {
		t.Errorf("left of a run that outlived the age: %+v", left)
	}
}

// Guards against a long-running task that crashes its workers some time after each start without limit, and
// against one that is given up because it is there at every crash.
func TestTooManyOfLongRunning(t *testing.T) {
	const late = 1500 * time.Millisecond
	at := func(ages ...time.Duration) (crashes []Crash) {
		for _, age := range ages {
			crashes = WithoutOutlived(crashes, age)
			crashes = append(crashes, Crash{AgeMillis: age.Milliseconds(), Likely: IsLikelyOfLongRunning(crashes, age)})
		}
		return crashes
	}
	const spread = CrashAgeSpread / 4
	tests := []struct {
		name        string
		crashes     []Crash
		want        bool
		repeatsLate bool
	}{
		{"none", nil, false, false},
		{"three at the same age", at(late, late+spread, late), false, true},
		{"four at the same age", at(late, late+spread, late, late-spread), true, true},
		{"four after half a minute", at(20*late, 20*late+spread, 20*late, 20*late), true, true},
		{"at ages that differ", at(5000*late, late, 3*late, 2*late, 7*late, 4*late), false, false},
		{"ages that drift, four", at(late, late+3*spread, late+6*spread, late+9*spread), false, true},
		{"ages that drift, five", at(late, late+3*spread, late+6*spread, late+9*spread, late+12*spread), true, true},
		{"one run outlived the age", at(late, late, late, late+time.Second, late), false, false},
		{"beside restarts long after its start", at(time.Hour, 2*time.Hour, 3*time.Hour, 4*time.Hour, 5*time.Hour), false, false},
		{"four at once", at(time.Millisecond, time.Millisecond, time.Millisecond, time.Millisecond), true, false},
	}
	for _, tt := range tests {
		if got := TooManyOfLongRunning(tt.crashes, tt.crashes); got != tt.want {
			t.Errorf("%s: %t, want %t; %+v", tt.name, got, tt.want, tt.crashes)
		}
		if got := RepeatsLate(tt.crashes); got != tt.repeatsLate {
			t.Errorf("%s: repeats a late crash: %t, want %t; %+v", tt.name, got, tt.repeatsLate, tt.crashes)
		}
	}
}
