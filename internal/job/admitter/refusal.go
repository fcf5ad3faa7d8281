package admitter

import (
	"encoding/json"
	"fmt"
	"time"

	"bamboospread/internal/store/decoder"
)

// Retention is how long a refusal is kept: longer than the longest time after which callers return and
// any late write of an earlier attempt together.
const Retention = 3 * time.Minute

// Refusal is the record of a refused job. Times are of the clocks of entries, in Unix ms.
type Refusal struct {
	Queue        string  `json:"queue"`
	Account      string  `json:"account,omitempty"`
	Work         float64 `json:"work"`      // core-seconds
	FirstMillis  int64   `json:"first-ms"`  // when the job first came
	AtMillis     int64   `json:"at-ms"`     // when it was last refused
	JudgedMillis int64   `json:"judged-ms"` // when it was last refused by the backlog, and not as a likely repeat
	ReturnMillis int64   `json:"return-ms"`
	Times        int     `json:"times"`
}

// Encode returns the record in its stored form.
func (r Refusal) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode refusal: %w", err)
	}
	return b, nil
}

// DecodeRefusal decodes a record.
func DecodeRefusal(value []byte) (Refusal, error) {
	r, err := decoder.Decode[Refusal](value)
	if err != nil {
		return Refusal{}, fmt.Errorf("decode refusal: %w", err)
	}
	return r, nil
}

// FirstAt returns when the job first came. The clock of the entry that wrote it may be ahead of or
// behind this one, so the result is at most now and at least now less the retention.
func (r Refusal) FirstAt(now time.Time) time.Time {
	first := time.UnixMilli(r.FirstMillis)
	switch {
	case r.FirstMillis <= 0 || first.After(now):
		return now
	case now.Sub(first) > Retention:
		return now.Add(-Retention)
	}
	return first
}

// Age returns how long ago the job was last refused by the backlog. By a clock that is ahead it was just now.
func (r Refusal) Age(now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(r.JudgedMillis)), 0)
}

// ReturnIn returns how long it is until the caller may return. A time further away than the longest
// that callers are told is of a clock that is ahead.
func (r Refusal) ReturnIn(now time.Time) time.Duration {
	return min(max(time.UnixMilli(r.ReturnMillis).Sub(now), 0), maxRetryAfter)
}

// Expired reports whether the record may be removed.
func (r Refusal) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(max(r.AtMillis, r.ReturnMillis))) > Retention
}
