package changer

import (
	"errors"
	"fmt"
)

// ErrConflict is returned when another change was accepted first. Nothing was
// changed.
type ErrConflict struct {
	Base    int64 // version on which the rejected change was based
	Current int64
	// Difference lists the changes from the base to the current text or, if the
	// base is no longer known, from the rejected text to the current one.
	Difference []string
	BaseKnown  bool
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("the change is based on version %d, but the current version is %d", e.Base, e.Current)
}

// IsErrConflict reports whether err is, or wraps, an ErrConflict.
func IsErrConflict(err error) bool { return as[ErrConflict](err) }

// ErrUnavailable is returned when the store could not be reached. Nothing was
// changed.
type ErrUnavailable struct{ Cause error }

func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("the store can't be reached, nothing was changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is, or wraps, an ErrUnavailable.
func IsErrUnavailable(err error) bool { return as[ErrUnavailable](err) }

// ErrOutcomeUnknown is returned when the change was sent to the store and its
// outcome could not be determined in time.
type ErrOutcomeUnknown struct {
	ChangeID string
	Cause    error
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("it is not known whether change %s took effect; send it again with the same change id to find out, it is applied at most once: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// IsErrOutcomeUnknown reports whether err is, or wraps, an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return as[ErrOutcomeUnknown](err) }

// ErrZoneNotExist is returned for a zone that the fleet text does not list.
type ErrZoneNotExist struct{ Zone string }

func (e ErrZoneNotExist) Error() string {
	return fmt.Sprintf("the fleet text names no availability zone %q", e.Zone)
}

// IsErrZoneNotExist reports whether err is, or wraps, an ErrZoneNotExist.
func IsErrZoneNotExist(err error) bool { return as[ErrZoneNotExist](err) }

// ErrZoneOutInText is returned by a change that takes a zone in while the fleet
// text itself sets its state to out.
type ErrZoneOutInText struct{ Zone string }

func (e ErrZoneOutInText) Error() string {
	return fmt.Sprintf("the fleet text sets availability zone %q to out; change its state in the text and apply the text", e.Zone)
}

// IsErrZoneOutInText reports whether err is, or wraps, an ErrZoneOutInText.
func IsErrZoneOutInText(err error) bool { return as[ErrZoneOutInText](err) }

// ErrChangeIDReused is returned when the change id belongs to another change.
type ErrChangeIDReused struct {
	ChangeID string
	Version  int64 // written by the other change
}

func (e ErrChangeIDReused) Error() string {
	return fmt.Sprintf("change id %s was used for another change, which wrote version %d", e.ChangeID, e.Version)
}

// IsErrChangeIDReused reports whether err is, or wraps, an ErrChangeIDReused.
func IsErrChangeIDReused(err error) bool { return as[ErrChangeIDReused](err) }

func as[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
