// Package changer writes changes of the fleet to the store. A change is accepted
// when the store has taken it by compare-and-swap; from then on every follower
// reads it, and no other change can take its place without having seen it.
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

// DefaultTimeout bounds a change with its settling.
const DefaultTimeout = 8 * time.Second

// Config holds the settings of a Changer.
type Config struct {
	Keeper   *keeper.Keeper
	Reporter *reporter.Reporter
	Timeout  time.Duration // of one change; 0: DefaultTimeout
	Now      func() time.Time
	// FindText returns the text of an earlier version, to show in a conflict
	// what changed since. It may be nil.
	FindText func(version int64) (string, bool)
	// Held returns the newest record that this process knows. If the store has
	// lost its record, a change goes on from this one: followers take only
	// higher versions, so a count that began anew would be in force nowhere. It
	// may be nil.
	Held func() recorder.Record
	// Accepted, if set, is told of each record that this process got accepted,
	// so that its own follower need not wait for the watch.
	Accepted func(version int64, value []byte)
}

// Changer applies changes; it is safe for concurrent use.
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

// ApplyOptions describes a new text.
type ApplyOptions struct {
	Text     []byte
	Base     int64  // version on which the text is based; 0: none is stored yet
	ChangeID string // unique to this change; repeating it is harmless
}

// Apply replaces the text of the fleet and returns the version that it wrote.
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

// SetZone takes an availability zone out or in and returns the version that it
// wrote. It needs no base: it changes this one zone, whatever else has changed.
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

// zonesOut returns the zones that are out by command after the change.
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
	at := slices.IndexFunc(config.Zones, func(z describer.Zone) bool { return z.Name == zone })
	out := slices.DeleteFunc(slices.Clone(current.ZonesOut), func(z string) bool { return z == zone })
	switch {
	case at < 0 && len(out) == len(current.ZonesOut):
		return nil, ErrZoneNotExist{Zone: zone}
	case state == describer.ZoneOut:
		return append(out, zone), nil
	case at >= 0 && config.Zones[at].State == describer.ZoneOut:
		return nil, ErrZoneOutInText{Zone: zone}
	}
	return out, nil
}

// change reads the record, lets edit make the next one, and swaps. A swap that
// loses a race starts over with the winner's record; edit decides whether the
// change still makes sense on it.
func (c *Changer) change(ctx context.Context, id, digest string, edit func(recorder.Record) (recorder.Record, error)) (int64, error) {
	if id == "" {
		return 0, errors.New("the change id is missing")
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	stored, err := c.config.Keeper.GetRecord(ctx, recorder.Key)
	if err != nil && !keeper.IsErrKeyNotExist(err) {
		// A read has no effect, also if its answer was lost.
		return 0, ErrUnavailable{Cause: err}
	}
	for {
		current, err := c.decode(stored)
		if err != nil {
			return 0, err
		}
		// The change id may have been accepted before: by a lost answer of an
		// earlier try, through this entry or another. Answering with its version
		// makes a repeat harmless; without this the repeat would see a conflict
		// with itself and tell the operator that nothing had changed.
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
		won, raced, err := c.swap(ctx, stored.Revision, next)
		if err != nil {
			return 0, err
		}
		if won {
			return next.Version, nil
		}
		stored = raced
	}
}

// swap writes next if the record is still at revision. If another change came
// first it returns the record that stands.
func (c *Changer) swap(ctx context.Context, revision int64, next recorder.Record) (won bool, raced keeper.Record, err error) {
	value, err := recorder.Encode(next)
	if err != nil {
		return false, keeper.Record{}, err
	}
	_, err = c.config.Keeper.SwapSettled(ctx, keeper.SwapOptions{Key: recorder.Key, Value: value, ExpectRevision: revision})
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
		c.config.Reporter.Report(reporter.FleetChangeUnknown, reporter.Fields{"version": next.Version, "change-id": next.ChangeID, "error": err.Error()})
		return false, keeper.Record{}, ErrOutcomeUnknown{ChangeID: next.ChangeID, Cause: err}
	}
	return false, keeper.Record{}, ErrUnavailable{Cause: err}
}

// decode decodes a stored record; one that does not exist is version 0, or what
// this process held before it was lost.
func (c *Changer) decode(stored keeper.Record) (recorder.Record, error) {
	if stored.Revision == 0 {
		if c.config.Held != nil {
			return c.config.Held(), nil
		}
		return recorder.Record{}, nil
	}
	// A record that this program can't read may hold what it would destroy by
	// writing over it.
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
