package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

type startSeen struct {
	at     time.Time
	runner string
	task   string
	run    int64
}

type endSeen struct {
	startSeen
	n   int64
	how string
}

type ackSeen struct {
	at     time.Time
	runner string
	n      int64
}

// recorder keeps what was sent, answered and run, as clients, runners and the platform saw it.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	lines  []string
	starts []startSeen
	ends   []endSeen
	acks   []ackSeen
	lapses []startSeen
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) started(runner, task string, run int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, startSeen{time.Now(), runner, task, run})
}

func (r *recorder) ended(runner string, n int64, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, endSeen{startSeen{time.Now(), runner, task, run}, n, how})
}

func (r *recorder) seen(runner string, n int64) {
	r.add("seen   ends up to %d at %s", n, runner)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks = append(r.acks, ackSeen{time.Now(), runner, n})
}

// lapsed notes that the lease of a runner has lapsed, whether something ran there or not.
func (r *recorder) lapsed(runner string) {
	r.add("lapse  of the lease at %s", runner)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses = append(r.lapses, startSeen{at: time.Now(), runner: runner})
}

// lapsedBetween reports whether the lease of a runner lapsed between two times.
func (r *recorder) lapsedBetween(runner string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lapses {
		if l.runner == runner && !l.at.Before(from) && !l.at.After(to) {
			return true
		}
	}
	return false
}

// at returns a time as seconds since the beginning.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds()) }

// startsOf returns the starts of the tasks that match.
func (r *recorder) startsOf(match func(task string) bool) (found []startSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if match(s.task) {
			found = append(found, s)
		}
	}
	return found
}

// endsOf returns the ends of the tasks that match.
func (r *recorder) endsOf(match func(task string) bool) (found []endSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.ends {
		if match(e.task) {
			found = append(found, e)
		}
	}
	return found
}

// takenNote returns when an end was taken note of.
func (r *recorder) takenNote(e endSeen) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.acks {
		if a.runner == e.runner && a.n >= e.n {
			return a.at, true
		}
	}
	return at, false
}

func (r *recorder) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		if _, err := fmt.Fprintln(f, l); err != nil {
			return err
		}
	}
	return f.Close()
}
