//go:build !linux

package inspector

import "errors"

// Process watches one process.
type Process struct{}

// Self returns an error: processes are identified on Linux only.
func Self() (Identity, error) { return Identity{}, errors.ErrUnsupported }

// Identify returns an error, as Self does.
func Identify(int) (Identity, error) { return Identity{}, errors.ErrUnsupported }

// Open returns an error, as Self does.
func Open(Identity) (*Process, error) { return nil, errors.ErrUnsupported }

// Ended returns false.
func (p *Process) Ended() bool { return false }

// Close has no effect.
func (p *Process) Close() {}
