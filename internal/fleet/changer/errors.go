package changer

import (
	"errors"
	"fmt"
)

// ErrConflict is returned when another change came first. Nothing was changed.
type ErrConflict struct {
	Base    int64 // version on which the refused change was based
	Current int64
	// Difference tells what changed from the base to the current text; if the
	// base is no longer known, from the refused text to the current one.
	Difference []string
	BaseKnown  bool
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d is in force", e.Base, e.Current)
}

// IsErrConflict tells whether err is, or wraps, an ErrConflict.
func IsErrConflict(err error) bool { return as[ErrConflict](err) }

// ErrUnavailable is returned when the store could not be asked. Nothing was
// changed.
type ErrUnavailable struct{ Cause error }

func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("the store can't be reached, nothing was changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable tells whether err is, or wraps, an ErrUnavailable.
func IsErrUnavailable(err error) bool { return as[ErrUnavailable](err) }

// ErrOutcomeUnknown is returned when the change was sent to the store and its
// answer could not be had in time.
type ErrOutcomeUnknown struct {
	ChangeID string
	Cause    error
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("it is not known whether change %s took effect; send it again with the same change id to find out, it is applied at most once: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// IsErrOutcomeUnknown tells whether err is, or wraps, an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return as[ErrOutcomeUnknown](err) }

// ErrZoneNotExist is returned for a zone that the fleet text does not name.
type ErrZoneNotExist struct{ Zone string }

func (e ErrZoneNotExist) Error() string {
	return fmt.Sprintf("the fleet text names no availability zone %q", e.Zone)
}

// IsErrZoneNotExist tells whether err is, or wraps, an ErrZoneNotExist.
func IsErrZoneNotExist(err error) bool { return as[ErrZoneNotExist](err) }

// ErrZoneOutInText is returned when a zone is to be taken in that the text
// itself says is out.
type ErrZoneOutInText struct{ Zone string }

func (e ErrZoneOutInText) Error() string {
	return fmt.Sprintf("the fleet text says that availability zone %q is out; change its state in the text and apply it", e.Zone)
}

// IsErrZoneOutInText tells whether err is, or wraps, an ErrZoneOutInText.
func IsErrZoneOutInText(err error) bool { return as[ErrZoneOutInText](err) }

// ErrChangeIDReused is returned when a change id was used for another change.
type ErrChangeIDReused struct {
	ChangeID string
	Version  int64 // written by the other change
}

func (e ErrChangeIDReused) Error() string {
	return fmt.Sprintf("change id %s was used for another change, which wrote version %d", e.ChangeID, e.Version)
}

// IsErrChangeIDReused tells whether err is, or wraps, an ErrChangeIDReused.
func IsErrChangeIDReused(err error) bool { return as[ErrChangeIDReused](err) }

func as[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
