package calibrator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"bamboospread/internal/store/decoder"
)

// Limits of the snapshot that one owner stores for the next.
const (
	snapshotVersion = 1
	maxSnapshotVMs  = 300              // slow ones first, then the latest
	snapshotMaxAge  = 30 * time.Second // of a speed that is restored
	restoredSpread  = 0.2              // added in quadrature to the error of a restored level
	maxSnapshotLog  = 6.0              // greatest magnitude of a logarithm
)

// snapshot is the stored form of the speeds, in JSON.
type snapshot struct {
	Version int            `json:"version"`
	VMs     []snapshotVM   `json:"vms,omitempty"`
	Kinds   []snapshotKind `json:"kinds,omitempty"`
	Within  float64        `json:"within"` // variance of the rates within a step
}

type snapshotVM struct {
	Name      string  `json:"vm"`
	Log       float64 `json:"log"`
	Spread    float64 `json:"spread"`
	AgeMillis int64   `json:"age-ms"`
	Slow      bool    `json:"slow,omitempty"`
	Calls     int     `json:"calls,omitempty"`
}

type snapshotKind struct {
	Queue    string  `json:"queue"`
	Image    string  `json:"image,omitempty"`
	Mean     float64 `json:"mean"`
	Variance float64 `json:"variance"`
	Count    float64 `json:"count"`
}

// Encode returns a bounded snapshot for the next owner, in JSON.
func (c *Calibrator) Encode(now time.Time) ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Within: round(c.within.square)}
	for name, v := range c.vms {
		if age := now.Sub(v.at); !v.at.IsZero() && (v.isSlow || age < snapshotMaxAge) {
			s.VMs = append(s.VMs, snapshotVM{name, round(v.mean), round(v.spread), max(age.Milliseconds(), 0), v.isSlow, v.calls})
		}
	}
	slices.SortFunc(s.VMs, func(a, b snapshotVM) int {
		return cmp.Or(-compareBool(a.Slow, b.Slow), cmp.Compare(a.AgeMillis, b.AgeMillis), strings.Compare(a.Name, b.Name))
	})
	s.VMs = s.VMs[:min(len(s.VMs), maxSnapshotVMs)]
	for k, l := range c.kinds {
		s.Kinds = append(s.Kinds, snapshotKind{k.queue, k.image, round(l.mean), round(l.square), min(l.count, 1/levelWeight)})
	}
	slices.SortFunc(s.Kinds, func(a, b snapshotKind) int {
		return cmp.Or(strings.Compare(a.Queue, b.Queue), strings.Compare(a.Image, b.Image))
	})
	value, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode speeds of VMs: %w", err)
	}
	return value, nil
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// Decode restores a snapshot. If the snapshot is invalid or of an unknown version, it returns an
// error and restores nothing. Speeds that are too old are left out.
func (c *Calibrator) Decode(value []byte, now time.Time) error {
	s, err := decoder.Decode[snapshot](value)
	if err != nil {
		return fmt.Errorf("decode speeds of VMs: %w", err)
	}
	if err := s.check(); err != nil {
		return fmt.Errorf("decode speeds of VMs: %w", err)
	}
	c.within.square = s.Within
	for _, r := range s.VMs {
		age := time.Duration(r.AgeMillis) * time.Millisecond
		if age > snapshotMaxAge {
			continue
		}
		v := c.vm(r.Name)
		v.mean, v.spread, v.isSlow, v.calls, v.at, v.calledAt = r.Log, r.Spread, r.Slow, r.Calls, now.Add(-age), now
		v.reported = c.Speed(r.Name, now)
	}
	for _, k := range s.Kinds {
		c.kinds[kind{k.Queue, k.Image}] = &level{mean: k.Mean, square: k.Variance + restoredSpread*restoredSpread, count: k.Count, at: now}
	}
	return nil
}

// check returns an error that names the first invalid part.
func (s snapshot) check() error {
	switch {
	case s.Version != snapshotVersion:
		return fmt.Errorf("version %d is not known, only %d is", s.Version, snapshotVersion)
	case len(s.VMs) > maxSnapshotVMs || len(s.Kinds) > maxKinds:
		return fmt.Errorf("%d VMs and %d kinds are more than %d and %d", len(s.VMs), len(s.Kinds), maxSnapshotVMs, maxKinds)
	case s.Within <= 0 || s.Within > maxSnapshotLog:
		return fmt.Errorf("the variance within a step is %v", s.Within)
	}
	for _, v := range s.VMs {
		if v.Name == "" || math.Abs(v.Log) > maxSnapshotLog || v.Spread <= 0 || v.Spread > maxSnapshotLog || v.AgeMillis < 0 || v.Calls < 0 {
			return fmt.Errorf("VM %q has log %v, spread %v, age %d ms and %d calls", v.Name, v.Log, v.Spread, v.AgeMillis, v.Calls)
		}
	}
	for _, k := range s.Kinds {
		if k.Queue == "" || math.Abs(k.Mean) > maxSnapshotLog || k.Variance < 0 || k.Variance > maxSnapshotLog*maxSnapshotLog || k.Count < 0 {
			return fmt.Errorf("kind %q, %q has mean %v, variance %v and count %v", k.Queue, k.Image, k.Mean, k.Variance, k.Count)
		}
	}
	return nil
}
