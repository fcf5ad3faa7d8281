package gatekeeper

import (
	"hash/maphash"
	"time"
)

// attemptRetention is how long attempts are remembered at least: twice the longest
// deadline.
const attemptRetention = 2 * time.Minute

type attemptKey struct {
	requestID string
	attempt   int
}

// attemptLog records which attempts were received, in two generations: dropping
// the older one as a whole costs nothing per attempt. A generation is dropped by its
// age alone, however many attempts it has: one that is forgotten early could run
// twice. It has a digest for each attempt, so that many take little memory; two
// that have the same digest, about one in 10^13 at a million attempts, make the
// later one fail with an unknown outcome. The Gatekeeper's lock guards it.
type attemptLog struct {
	seed              maphash.Seed
	current, previous map[uint64]struct{}
	rotated           time.Time
}

func newAttemptLog() *attemptLog {
	return &attemptLog{seed: maphash.MakeSeed(), current: make(map[uint64]struct{})}
}

// add returns false if the attempt was received before.
func (l *attemptLog) add(requestID string, attempt int, now time.Time) bool {
	if now.Sub(l.rotated) > attemptRetention {
		l.previous, l.current, l.rotated = l.current, make(map[uint64]struct{}), now
	}
	digest := maphash.Comparable(l.seed, attemptKey{requestID, attempt})
	if _, ok := l.current[digest]; ok {
		return false
	}
	if _, ok := l.previous[digest]; ok {
		return false
	}
	l.current[digest] = struct{}{}
	return true
}
