package sharer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/store/decoder"
)

// Limits of a snapshot.
const (
	snapshotVersion = 1
	// maxRows bounds the rows of a snapshot, the largest recent uses first.
	maxRows = 256
	// maxSnapshotBytes is more than maxRows rows with long names need.
	maxSnapshotBytes = 64 << 10
	maxNameBytes     = 128
)

type snapshot struct {
	Version  int   `json:"version"`
	AtMillis int64 `json:"at-ms"` // Unix ms of the update
	Rows     []row `json:"rows"`
}

type row struct {
	Account     string  `json:"account"`
	Priority    int     `json:"priority"`
	LongRunning bool    `json:"lasting,omitempty"`
	Recent      float64 `json:"recent"`
}

// Encode returns a bounded snapshot for the next owner, in JSON.
func (s *Sharer) Encode() ([]byte, error) {
	snap := snapshot{Version: snapshotVersion, AtMillis: s.at.UnixMilli()}
	for k, recent := range s.recent {
		if len(k.Account) <= maxNameBytes {
			snap.Rows = append(snap.Rows, row{k.Account, k.Priority, k.LongRunning, recent})
		}
	}
	slices.SortFunc(snap.Rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.Recent, a.Recent), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Priority, b.Priority))
	})
	snap.Rows = snap.Rows[:min(len(snap.Rows), maxRows)]
	return json.Marshal(snap)
}

// Decode restores a snapshot. If the snapshot is invalid or of an unknown version, it returns an
// error and restores nothing.
func (s *Sharer) Decode(value []byte) error {
	if len(value) > maxSnapshotBytes {
		return fmt.Errorf("shares: %d bytes, at most %d", len(value), maxSnapshotBytes)
	}
	snap, err := decoder.Decode[snapshot](value)
	if err != nil {
		return fmt.Errorf("decode shares: %w", err)
	}
	if snap.Version != snapshotVersion {
		return fmt.Errorf("shares: version %d, known is %d", snap.Version, snapshotVersion)
	}
	if len(snap.Rows) > maxRows {
		return fmt.Errorf("shares: %d rows, at most %d", len(snap.Rows), maxRows)
	}
	recent := make(map[Key]float64, len(snap.Rows))
	for i, r := range snap.Rows {
		k := Key{r.Account, r.Priority, r.LongRunning}
		if _, known := recent[k]; known || r.Recent < 0 || r.Recent > maxRecent || r.Priority < 0 || len(r.Account) > maxNameBytes {
			return fmt.Errorf("shares: rows[%d]: account %q, priority %d, recent %v: given twice or out of range", i, r.Account, r.Priority, r.Recent)
		}
		recent[k] = r.Recent
	}
	s.recent, s.storedAt, s.at = recent, time.UnixMilli(snap.AtMillis), time.Time{}
	return nil
}

// maxRecent is the largest recent use of a valid snapshot: best-effort tasks may declare several times
// the processors of the cell.
const maxRecent = 1000
