package gatekeeper

import "time"

const (
	attemptRetention  = 2 * time.Minute // twice the longest deadline
	maxRecentAttempts = 200_000
)

type attemptKey struct {
	requestID string
	attempt   int
}

// attemptLog records which attempts were received, in two generations: dropping
// the older one as a whole costs nothing per attempt. The Gatekeeper's lock
// guards it.
type attemptLog struct {
	current, previous map[attemptKey]struct{}
	rotated           time.Time
}

func newAttemptLog() *attemptLog {
	return &attemptLog{current: make(map[attemptKey]struct{})}
}

// add returns false if the attempt was received before.
func (l *attemptLog) add(requestID string, attempt int, now time.Time) bool {
	if now.Sub(l.rotated) > attemptRetention || len(l.current) >= maxRecentAttempts {
		l.previous, l.current, l.rotated = l.current, make(map[attemptKey]struct{}), now
	}
	key := attemptKey{requestID, attempt}
	if _, ok := l.current[key]; ok {
		return false
	}
	if _, ok := l.previous[key]; ok {
		return false
	}
	l.current[key] = struct{}{}
	return true
}
