package admitter

import (
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
)

// Limits of the times after which refused callers return.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute // the longest that callers are told
	// returnGrace is how long the room of a caller that is due is kept: callers round the time up to
	// seconds, and may return at another entry.
	returnGrace = 3 * time.Second
	// maxReturns bounds the memory for callers that are expected back.
	maxReturns = 4096
)

type rowKey struct{ queue, account string }

// expected is a caller that is expected back.
type expected struct {
	key   rowKey
	first int64 // Unix ms, as in the record of the refusal
	at    time.Time
	work  float64
}

// returns spreads the returns of refused callers: in the order of their refusals, and no faster than
// room appears.
type returns struct {
	next     map[rowKey]time.Time // earliest time for the next refused caller
	expected []expected
}

func newReturns() returns { return returns{next: make(map[rowKey]time.Time)} }

// schedule returns the time after which a refused caller is to return. excess is by how much the wait
// exceeds that of a job that would be let in; seconds is the time that its work takes of what this entry
// may hand out.
func (r *returns) schedule(k rowKey, excess time.Duration, seconds float64, q Request, now time.Time) time.Duration {
	at := now.Add(max(excess, minRetryAfter))
	if next := r.next[k]; next.After(at) {
		at = next
	}
	r.next[k] = at.Add(specifier.Span(seconds * float64(time.Second)))
	if r.next[k].Sub(now) > maxRetryAfter {
		r.next[k] = now.Add(maxRetryAfter)
	}
	after := min(at.Sub(now), maxRetryAfter)
	r.settle(k, q.FirstAt)
	r.expected = slices.DeleteFunc(r.expected, func(e expected) bool { return now.Sub(e.at) > returnGrace })
	if len(r.expected) < maxReturns {
		r.expected = append(r.expected, expected{k, q.FirstAt.UnixMilli(), now.Add(after), q.Work})
	}
	return after
}

// settle forgets a caller that has come back.
func (r *returns) settle(k rowKey, firstAt time.Time) {
	for i, e := range r.expected {
		if e.key == k && e.first == firstAt.UnixMilli() {
			r.expected = slices.Delete(r.expected, i, i+1)
			return
		}
	}
}

// due returns the work of the callers that are due to return now.
func (r *returns) due(k rowKey, now time.Time) (work float64) {
	for _, e := range r.expected {
		if since := now.Sub(e.at); e.key == k && since >= 0 && since <= returnGrace {
			work += e.work
		}
	}
	return work
}
