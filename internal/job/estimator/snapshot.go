package estimator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bamboospread/internal/store/decoder"
)

const (
	// snapshotVersion is that of the only form that this build reads.
	snapshotVersion = 1
	// maxSnapshotGroups bounds the stored record, at about 500 bytes for each group; those with the
	// latest samples are kept.
	maxSnapshotGroups = 96
	// maxSupport bounds the support of a group in a snapshot.
	maxSupport = maxCount
)

// snapshot is the stored form of an Estimator, in JSON.
type snapshot struct {
	Version int                `json:"version"`
	Groups  []storedGroup      `json:"groups"`
	Paces   map[string]float64 `json:"paces,omitempty"`
}

type storedGroup struct {
	Queue    string       `json:"queue"`
	Image    string       `json:"image,omitempty"`
	Octave   *int         `json:"octave,omitempty"` // absent: any
	AtMillis int64        `json:"at-ms"`            // of the latest sample, Unix ms
	Support  float64      `json:"support"`
	Done     storedCounts `json:"done"`
	Stopped  storedCounts `json:"stopped,omitempty"`
}

// storedCounts holds pairs of an index of a histogram's counts and the count there.
type storedCounts [][2]int64

// Encode returns a bounded snapshot for the next owner, in JSON.
func (e *Estimator) Encode() ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Paces: make(map[string]float64, len(e.paces))}
	for queue, pace := range e.paces {
		s.Paces[queue] = roundTo(pace, 1000)
	}
	for key, g := range e.groups {
		stored := storedGroup{
			Queue: key.kind.Queue, Image: key.kind.Image, AtMillis: g.at.UnixMilli(), Support: roundTo(g.support, 100),
			Done: storeCounts(g.done), Stopped: storeCounts(g.stopped),
		}
		if key.octave != noOctave {
			stored.Octave = &key.octave
		}
		s.Groups = append(s.Groups, stored)
	}
	slices.SortFunc(s.Groups, func(a, b storedGroup) int {
		return cmp.Or(cmp.Compare(b.AtMillis, a.AtMillis), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image), cmp.Compare(a.octave(), b.octave()))
	})
	s.Groups = s.Groups[:min(len(s.Groups), maxSnapshotGroups)]
	value, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode run times: %w", err)
	}
	return value, nil
}

// Decode adds a snapshot. If the snapshot is invalid or of an unknown version, it returns an error and
// restores nothing.
func (e *Estimator) Decode(value []byte) error {
	s, err := decoder.Decode[snapshot](value)
	if err != nil {
		return fmt.Errorf("decode run times: %w", err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("decode run times: version %d, known is %d", s.Version, snapshotVersion)
	}
	if len(s.Groups) > maxSnapshotGroups {
		return fmt.Errorf("decode run times: %d groups, at most %d are stored", len(s.Groups), maxSnapshotGroups)
	}
	groups := make(map[groupKey]*group, len(s.Groups))
	for i, stored := range s.Groups {
		g, err := stored.group()
		if err != nil {
			return fmt.Errorf("decode run times: groups[%d]: %w", i, err)
		}
		key := groupKey{Kind{stored.Queue, stored.Image}, stored.octave()}
		if groups[key] != nil {
			return fmt.Errorf("decode run times: groups[%d]: queue %q, image %q is given twice", i, stored.Queue, stored.Image)
		}
		groups[key] = g
	}
	for queue, pace := range s.Paces {
		if !(pace >= 1 && pace <= maxPace) {
			return fmt.Errorf("decode run times: paces: queue %q has %v, want 1 to %v", queue, pace, maxPace)
		}
	}
	e.restore(groups, s.Paces)
	return nil
}

// restore merges checked groups.
func (e *Estimator) restore(groups map[groupKey]*group, paces map[string]float64) {
	for key, g := range groups {
		if own := e.groups[key]; own != nil {
			own.merge(g)
		} else if len(e.groups) < maxGroups {
			e.groups[key] = g
		}
	}
	for queue, pace := range paces {
		if _, known := e.paces[queue]; !known {
			e.paces[queue] = pace
		}
	}
}

func (s storedGroup) octave() int {
	if s.Octave == nil {
		return noOctave
	}
	return *s.Octave
}

// group returns the checked group.
func (s storedGroup) group() (*group, error) {
	if s.Queue == "" {
		return nil, fmt.Errorf("queue is missing")
	}
	if !(s.Support >= 0 && s.Support <= maxSupport) {
		return nil, fmt.Errorf("queue %q, image %q: support %v is out of range", s.Queue, s.Image, s.Support)
	}
	if s.AtMillis < 0 {
		return nil, fmt.Errorf("queue %q, image %q: at-ms %d is negative", s.Queue, s.Image, s.AtMillis)
	}
	at := time.UnixMilli(s.AtMillis)
	g := &group{support: s.Support, at: at, fadedAt: at}
	var err error
	if g.done, err = s.Done.histogram(); err != nil {
		return nil, fmt.Errorf("queue %q, image %q: done: %w", s.Queue, s.Image, err)
	}
	if len(s.Stopped) > 0 {
		if g.stopped, err = s.Stopped.histogram(); err != nil {
			return nil, fmt.Errorf("queue %q, image %q: stopped: %w", s.Queue, s.Image, err)
		}
	}
	return g, nil
}

func storeCounts(h *hdrhistogram.Histogram) (c storedCounts) {
	if h == nil {
		return nil
	}
	for i, n := range h.Export().Counts {
		if n != 0 {
			c = append(c, [2]int64{int64(i), n})
		}
	}
	return c
}

// histogram returns the checked histogram.
func (c storedCounts) histogram() (*hdrhistogram.Histogram, error) {
	s := newHistogram().Export()
	for _, p := range c {
		index, count := p[0], p[1]
		if index < 0 || index >= int64(len(s.Counts)) || count < 0 || count > 2*maxCount {
			return nil, fmt.Errorf("count %d at %d is out of range", count, index)
		}
		s.Counts[index] = count
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("histogram: %w", err)
	}
	return hdrhistogram.Import(s), nil
}

func roundTo(v, unit float64) float64 { return math.Round(v*unit) / unit }
