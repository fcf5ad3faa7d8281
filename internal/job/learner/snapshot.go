package learner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"bamboospread/internal/store/decoder"
)

// Limits of the snapshot that one owner stores for the next. Without it, each change of owner
// begins with every pair unknown: interfering images start on all VMs again, and VMs that were
// available are blocked by caution until the effects are learned anew.
const (
	// maxSnapshotPairs bounds the stored record, at about 70 bytes per pair; the pairs with
	// the latest reports are kept.
	maxSnapshotPairs = 300
	// maxStoredEffect is far above each effect; the mean of several must not overflow.
	maxStoredEffect = 1e6
	// restoredSpread is added in quadrature to the standard deviation of a restored effect: it
	// may have changed in the meantime.
	restoredSpread = 1.0
)

// snapshotPair is the effect of a pair in a snapshot.
type snapshotPair struct {
	LongRunning string  `json:"lasting"`
	BestEffort  string  `json:"filling"`
	Mean        float64 `json:"mean"`
	Variance    float64 `json:"variance"`
}

// snapshot is the stored form of the learned interference data, in JSON.
type snapshot struct {
	Pairs []snapshotPair `json:"pairs"`
}

// Encode returns a snapshot of the effects with the latest reports, in JSON.
func (l *Learner) Encode() ([]byte, error) {
	type datedPair struct {
		snapshotPair
		at int64
	}
	var records []datedPair
	for longRunning, pairs := range l.effects {
		for bestEffort, e := range pairs {
			records = append(records, datedPair{snapshotPair{longRunning, bestEffort, round(e.mean), round(e.variance)}, e.at.UnixNano()})
		}
	}
	slices.SortFunc(records, func(a, b datedPair) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.LongRunning, b.LongRunning), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	var s snapshot
	for _, d := range records[:min(len(records), maxSnapshotPairs)] {
		s.Pairs = append(s.Pairs, d.snapshotPair)
	}
	value, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode learned interference data: %w", err)
	}
	return value, nil
}

func round(v float64) float64 { return math.Round(v*100) / 100 }

// Decode restores the effects from the snapshot of another owner. If the snapshot has invalid
// values, it returns an error and restores nothing.
func (l *Learner) Decode(value []byte) error {
	s, err := decoder.Decode[snapshot](value)
	if err != nil {
		return fmt.Errorf("decode learned interference data: %w", err)
	}
	for _, p := range s.Pairs {
		if p.Mean < 0 || p.Mean > maxStoredEffect || p.Variance < 0 || p.LongRunning == "" || p.BestEffort == "" {
			return fmt.Errorf("decode learned interference data: pair %q and %q has mean %v and variance %v", p.LongRunning, p.BestEffort, p.Mean, p.Variance)
		}
	}
	for _, p := range s.Pairs {
		e := l.pairEffect(p.LongRunning, p.BestEffort)
		e.mean = p.Mean
		e.variance = math.Min(p.Variance+restoredSpread*restoredSpread, defaultSpread*defaultSpread)
		l.updateMean(p.BestEffort, p.Mean)
	}
	return nil
}
