package gatekeeper

import "time"

const (
	attemptMemoryTime = 2 * time.Minute // above twice the longest deadline
	maxAttemptsKept   = 200_000
)

type attemptKey struct {
	requestID string
	attempt   int
}

// attemptMemory remembers which attempts came, in two generations, so that
// forgetting costs nothing per attempt. The Gatekeeper's lock guards it.
type attemptMemory struct {
	current, previous map[attemptKey]struct{}
	turned            time.Time
}

func newAttemptMemory() *attemptMemory {
	return &attemptMemory{current: make(map[attemptKey]struct{})}
}

// add returns false if the attempt came before.
func (m *attemptMemory) add(requestID string, attempt int, now time.Time) bool {
	if now.Sub(m.turned) > attemptMemoryTime || len(m.current) >= maxAttemptsKept {
		m.previous, m.current, m.turned = m.current, make(map[attemptKey]struct{}), now
	}
	key := attemptKey{requestID, attempt}
	if _, ok := m.current[key]; ok {
		return false
	}
	if _, ok := m.previous[key]; ok {
		return false
	}
	m.current[key] = struct{}{}
	return true
}
