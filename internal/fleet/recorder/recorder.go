// Package recorder encodes and decodes the fleet record of the store. It holds the
// operators' text, the zones taken out by command, and the recent changes.
package recorder

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/validator"
	"bamboospread/internal/store/keeper"
)

// Key is the key of the record in the store.
const Key = "fleet/record"

// MaxRecentChanges limits the list of changes in which a repeated change id is
// looked up to return its first version.
const MaxRecentChanges = 128

// Record is the value stored under Key.
type Record struct {
	Version       int64     `json:"version"`
	ChangeID      string    `json:"change-id"` // of the change that wrote this version
	Text          string    `json:"text"`
	ZonesOut      []string  `json:"zones-out,omitempty"` // taken out by command; kept when a later text is applied
	AppliedAt     time.Time `json:"applied-at"`
	RecentChanges []Change  `json:"recent-changes,omitempty"` // oldest first, including this one
}

// Change is an accepted change.
type Change struct {
	ID      string `json:"change-id"`
	Version int64  `json:"version"`
	Digest  string `json:"digest"` // of the requested change
}

// ErrUnreadable is returned for a record that this program can't decode, for
// example because a newer program version wrote it. Version is 0 if it could not be
// decoded either.
type ErrUnreadable struct {
	Version int64
	Cause   error
}

func (e ErrUnreadable) Error() string {
	return fmt.Sprintf("read fleet record of version %d: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnreadable) Unwrap() error { return e.Cause }

// Encode encodes r for the store.
func Encode(r Record) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // escaping would make comments up to six times as long
	if err := e.Encode(r); err != nil {
		return nil, fmt.Errorf("encode fleet record: %w", err)
	}
	if b.Len() > keeper.MaxValueBytes {
		return nil, fmt.Errorf("the fleet record has %d bytes, more than the store limit of %d", b.Len(), keeper.MaxValueBytes)
	}
	return b.Bytes(), nil
}

// Decode decodes a stored record and returns it with the fleet that it describes.
func Decode(value []byte) (Record, *describer.Fleet, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, nil, ErrUnreadable{Version: r.Version, Cause: err}
	}
	if r.Version < 1 {
		return Record{}, nil, ErrUnreadable{Version: r.Version, Cause: fmt.Errorf("versions start at 1")}
	}
	config, err := validator.Check([]byte(r.Text))
	if err != nil {
		return Record{}, nil, ErrUnreadable{Version: r.Version, Cause: err}
	}
	return r, describer.New(r.effectiveConfig(config)), nil
}

// effectiveConfig returns the config of the text with the zones set to out that were
// taken out by command.
func (r Record) effectiveConfig(c describer.Config) describer.Config {
	c.Version = r.Version
	c.Zones = slices.Clone(c.Zones)
	for i, z := range c.Zones {
		if slices.Contains(r.ZonesOut, z.Name) {
			c.Zones[i].State = describer.ZoneOut
		}
	}
	return c
}

// FindChange returns the accepted change with the given id, if it is recent.
func (r Record) FindChange(id string) (Change, bool) {
	for _, c := range r.RecentChanges {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// Next returns the successor of r for the given change, with the text and zones of
// r. The caller sets the fields that the change modifies.
func (r Record) Next(id, digest string, now time.Time) Record {
	next := r
	next.Version = r.Version + 1
	next.ChangeID = id
	next.AppliedAt = now.UTC()
	next.ZonesOut = slices.Clone(r.ZonesOut)
	recent := r.RecentChanges
	if excess := len(recent) + 1 - MaxRecentChanges; excess > 0 {
		recent = recent[excess:]
	}
	next.RecentChanges = append(slices.Clone(recent), Change{id, next.Version, digest})
	return next
}

// Digest returns a digest of the parts of a requested change.
func Digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}
