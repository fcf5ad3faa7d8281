// Package inspector identifies processes of this VM and tells whether they have ended. It asks the
// kernel: a closed connection or a refused one says nothing about the process behind it.
package inspector

import "fmt"

// Identity identifies a process. No two processes of a VM have the same one, unless one begins in the
// 10 ms in which another with its number has begun and ended.
type Identity struct {
	Boot         string `json:"boot"`          // of the kernel
	PIDNamespace string `json:"pid-namespace"` // in which PID is the process's number
	PID          int    `json:"pid"`
	StartTicks   int64  `json:"start-ticks"` // when it began, in clock ticks since the boot
}

// ErrUnknownProcess is returned if no process of this VM that can be seen from here has an identity.
type ErrUnknownProcess struct {
	Identity Identity
	Reason   string
}

func (e ErrUnknownProcess) Error() string {
	return fmt.Sprintf("process %d is not known here: %s", e.Identity.PID, e.Reason)
}
