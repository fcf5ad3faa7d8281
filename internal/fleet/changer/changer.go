// Package changer writes fleet changes to the store. A change is accepted once the
// store has applied its compare-and-swap. From then on every follower reads it, and
// only a change that is based on it can replace it.
package changer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/differ"
	"bamboospread/internal/fleet/recorder"
	"bamboospread/internal/fleet/validator"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// DefaultTimeout limits a change, including the time to resolve its outcome.
const DefaultTimeout = 8 * time.Second

// Config holds the settings of a Changer.
type Config struct {
	Keeper   *keeper.Keeper
	Reporter *reporter.Reporter
	Timeout  time.Duration // of one change; 0: DefaultTimeout
	Now      func() time.Time
	// FindText returns the text of an earlier version, so that a conflict can list
	// what changed since. It may be nil.
	FindText func(version int64) (string, bool)
	// LastKnown returns the newest record that this process knows. If the store
	// has lost its record, a change continues from this one: followers apply only
	// higher versions, so versions that restart at 1 would take effect nowhere. It
	// may be nil.
	LastKnown func() recorder.Record
	// Accepted, if set, is called with each record that the store accepted from
	// this process, so that its own follower need not wait for the watch.
	Accepted func(version int64, value []byte)
}

// Changer applies fleet changes. It is safe for concurrent use.
type Changer struct{ config Config }

// New returns a Changer.
func New(c Config) *Changer {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	return &Changer{config: c}
}

// ApplyOptions describes a new fleet text.
type ApplyOptions struct {
	Text     []byte
	Base     int64  // version on which the text is based; 0 if none is stored yet
	ChangeID string // unique to this change; a repeat with the same id has no further effect
}

// Apply replaces the fleet text and returns the new version.
// Errors: finder.Findings, ErrConflict, ErrUnavailable, ErrOutcomeUnknown,
// ErrChangeIDReused.
func (c *Changer) Apply(ctx context.Context, o ApplyOptions) (int64, error) {
	config, err := validator.Check(o.Text)
	if err != nil {
		return 0, err
	}
	digest := recorder.Digest("apply", fmt.Sprint(o.Base), string(o.Text))
	return c.change(ctx, o.ChangeID, digest, func(current recorder.Record) (recorder.Record, error) {
		if current.Version != o.Base {
			return recorder.Record{}, c.conflict(o, config, current)
		}
		next := current.Next(o.ChangeID, digest, c.config.Now())
		next.Text = string(o.Text)
		return next, nil
	})
}

// SetZone takes an availability zone out or in and returns the new version. It
// needs no base version: it changes only this zone, regardless of other changes.
func (c *Changer) SetZone(ctx context.Context, zone string, state describer.ZoneState, changeID string) (int64, error) {
	digest := recorder.Digest("zone", zone, string(state))
	return c.change(ctx, changeID, digest, func(current recorder.Record) (recorder.Record, error) {
		out, err := zonesOut(current, zone, state)
		if err != nil {
			return recorder.Record{}, err
		}
		next := current.Next(changeID, digest, c.config.Now())
		next.ZonesOut = out
		return next, nil
	})
}

// zonesOut returns the zones taken out by command after the change.
func zonesOut(current recorder.Record, zone string, state describer.ZoneState) ([]string, error) {
	if state != describer.ZoneIn && state != describer.ZoneOut {
		return nil, fmt.Errorf("zone state %q: want in or out", state)
	}
	config := describer.Config{}
	if current.Version > 0 {
		var err error
		if config, err = validator.Check([]byte(current.Text)); err != nil {
			return nil, recorder.ErrUnreadable{Version: current.Version, Cause: err}
		}
	}
	i := slices.IndexFunc(config.Zones, func(z describer.Zone) bool { return z.Name == zone })
	out := slices.DeleteFunc(slices.Clone(current.ZonesOut), func(z string) bool { return z == zone })
	switch {
	case i < 0 && len(out) == len(current.ZonesOut):
		return nil, ErrZoneNotExist{Zone: zone}
	case state == describer.ZoneOut:
		return append(out, zone), nil
	case i >= 0 && config.Zones[i].State == describer.ZoneOut:
		return nil, ErrZoneOutInText{Zone: zone}
	}
	return out, nil
}

// change reads the record, calls edit to build the next one, and swaps them. If
// another change wins the race, it starts over with the winner's record; edit
// decides whether the change still applies to it.
func (c *Changer) change(ctx context.Context, id, digest string, edit func(recorder.Record) (recorder.Record, error)) (int64, error) {
	if id == "" {
		return 0, errors.New("the change id is missing")
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	stored, err := c.config.Keeper.GetRecord(ctx, recorder.Key)
	if err != nil && !keeper.IsErrKeyNotExist(err) {
		// A read has no effect even if its answer was lost.
		return 0, ErrUnavailable{Cause: err}
	}
	for {
		current, err := c.decode(stored)
		if err != nil {
			return 0, err
		}
		// An earlier attempt with this change id, through this entry or another, may
		// have been accepted although its answer was lost. A repeat returns the
		// version of that attempt; otherwise it would conflict with itself and
		// report to the operator that nothing had changed.
		if done, ok := current.FindChange(id); ok {
			if done.Digest != digest {
				return 0, ErrChangeIDReused{ChangeID: id, Version: done.Version}
			}
			return done.Version, nil
		}
		next, err := edit(current)
		if err != nil {
			return 0, err
		}
		swapped, winner, err := c.swap(ctx, stored.Revision, next)
		if err != nil {
			return 0, err
		}
		if swapped {
			return next.Version, nil
		}
		stored = winner
	}
}

// swap writes next if the record is still at revision. If another change came
// first, it returns the stored record.
func (c *Changer) swap(ctx context.Context, revision int64, next recorder.Record) (swapped bool, winner keeper.Record, err error) {
	value, err := recorder.Encode(next)
	if err != nil {
		return false, keeper.Record{}, err
	}
	_, err = c.config.Keeper.SwapResolved(ctx, keeper.SwapOptions{Key: recorder.Key, Value: value, ExpectRevision: revision})
	var conflict keeper.ErrConflict
	switch {
	case err == nil:
		c.config.Reporter.Report(reporter.FleetChangeAccepted, reporter.Fields{"version": next.Version, "change-id": next.ChangeID})
		if c.config.Accepted != nil {
			c.config.Accepted(next.Version, value)
		}
		return true, keeper.Record{}, nil
	case errors.As(err, &conflict):
		return false, conflict.Current, nil
	case keeper.IsErrOutcomeUnknown(err):
		c.config.Reporter.Report(reporter.FleetChangeOutcomeUnknown, reporter.Fields{"version": next.Version, "change-id": next.ChangeID, "error": err.Error()})
		return false, keeper.Record{}, ErrOutcomeUnknown{ChangeID: next.ChangeID, Cause: err}
	}
	return false, keeper.Record{}, ErrUnavailable{Cause: err}
}

// decode decodes a stored record. If none exists, it returns the last record that
// this process knows, or version 0.
func (c *Changer) decode(stored keeper.Record) (recorder.Record, error) {
	if stored.Revision == 0 {
		if c.config.LastKnown != nil {
			return c.config.LastKnown(), nil
		}
		return recorder.Record{}, nil
	}
	// A record that this program can't decode must not be overwritten: it may hold
	// data that would be lost.
	r, _, err := recorder.Decode(stored.Value)
	return r, err
}

func (c *Changer) conflict(o ApplyOptions, wanted describer.Config, current recorder.Record) ErrConflict {
	e := ErrConflict{Base: o.Base, Current: current.Version}
	now, err := validator.Check([]byte(current.Text))
	if err != nil && current.Version > 0 {
		return e
	}
	from := wanted
	if c.config.FindText != nil {
		if text, ok := c.config.FindText(o.Base); ok {
			if base, err := validator.Check([]byte(text)); err == nil {
				from, e.BaseKnown = base, true
			}
		}
	}
	e.Difference = differ.Diff(from, now)
	return e
}
