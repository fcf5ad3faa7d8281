package learner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Limits of what one owner leaves to the next. Without it each change of owner begins
// with every pair unknown: loud images come to all VMs again, and what was open is closed
// by caution until it is learned anew.
const (
	// lessonsMost bounds a record, about 70 bytes a pair; the pairs seen last are kept.
	lessonsMost = 300
	// handedSpread is added to the spread of an effect that was handed on: it may have
	// changed meanwhile.
	handedSpread = 1.0
)

// lesson is an effect of a pair as it is handed on.
type lesson struct {
	Lasting  string  `json:"lasting"`
	Filling  string  `json:"filling"`
	Mean     float64 `json:"mean"`
	Variance float64 `json:"variance"`
}

// lessons are what an owner hands on, in JSON.
type lessons struct {
	Pairs []lesson `json:"pairs"`
}

// Encode returns the effects seen last for another owner, in JSON.
func (l *Learner) Encode() ([]byte, error) {
	type dated struct {
		lesson
		at int64
	}
	var all []dated
	for lasting, pairs := range l.effects {
		for filling, e := range pairs {
			all = append(all, dated{lesson{lasting, filling, round(e.mean), round(e.variance)}, e.at.UnixNano()})
		}
	}
	slices.SortFunc(all, func(a, b dated) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.Lasting, b.Lasting), cmp.Compare(a.Filling, b.Filling))
	})
	var s lessons
	for _, d := range all[:min(len(all), lessonsMost)] {
		s.Pairs = append(s.Pairs, d.lesson)
	}
	value, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode what was learned: %w", err)
	}
	return value, nil
}

func round(v float64) float64 { return math.Round(v*100) / 100 }

// Decode takes over what another owner learned. Figures that can't be are an error, and
// nothing is taken.
func (l *Learner) Decode(value []byte) error {
	var s lessons
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("decode what was learned: %w", err)
	}
	for _, p := range s.Pairs {
		if p.Mean < 0 || p.Variance < 0 || p.Lasting == "" || p.Filling == "" {
			return fmt.Errorf("decode what was learned: pair %q and %q has mean %v and variance %v", p.Lasting, p.Filling, p.Mean, p.Variance)
		}
	}
	for _, p := range s.Pairs {
		e := l.pair(p.Lasting, p.Filling)
		e.mean = p.Mean
		e.variance = math.Min(p.Variance+handedSpread*handedSpread, unknownSpread*unknownSpread)
		l.noteMean(p.Filling, p.Mean)
	}
	return nil
}
