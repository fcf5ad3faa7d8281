package commander

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
)

const (
	queuedSignals = 8
	// oneRequest is the time within which signals count as one request to stop: timeout(1)
	// and some supervisors signal a process and then the group that it is in.
	oneRequest = 50 * time.Millisecond
	// lastLinesLimit limits how long a process that ends at once waits for the reader of its log.
	lastLinesLimit = time.Second
)

// stops handles the signals that ask the process to stop.
type stops struct {
	stderr io.Writer
	now    func() time.Time

	mu        sync.Mutex
	report    func(code reporter.Code, fields reporter.Fields) // nil: the command has no log
	flush     func()                                           // writes the queued log lines
	completes bool                                             // the command completes its stop
}

func newStops(stderr io.Writer) *stops { return &stops{stderr: stderr, now: time.Now} }

// logTo sets the log of the command; flush writes its queued lines.
func (s *stops) logTo(r *reporter.Reporter, flush func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.flush = r.Report, flush
}

// completeStop makes the command complete its graceful stop whatever is signalled. The users'
// platform ends a process itself, by SIGKILL after the grace that it states, and expects no
// request to be cut before.
func (s *stops) completeStop(r *reporter.Reporter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.completes = r.Report, true
}

// follow calls cancel at the first signal. It returns the exit code once the command has
// ended, or at a second signal.
func (s *stops) follow(signals <-chan os.Signal, ended <-chan int, cancel func()) int {
	var first time.Time
	for {
		select {
		case code := <-ended:
			return code
		case got := <-signals:
			now := s.now()
			since := now.Sub(first)
			switch {
			case first.IsZero():
				first = now
				s.began(got)
				cancel()
			case since < oneRequest:
			case s.repeated(got, since):
				return ExitStopped
			}
		}
	}
}

// began reports the first signal, unless the command itself reports its stop.
func (s *stops) began(got os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.completes {
		s.report(reporter.StopBegan, reporter.Fields{"signal": got.String()})
	}
}

// repeated reports a signal that arrived during the graceful stop, and returns whether it
// ends the process.
func (s *stops) repeated(got os.Signal, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := reporter.Fields{"signal": got.String(), "after": since.Round(time.Millisecond).String()}
	if s.completes {
		s.report(reporter.StopSignalRepeated, fields)
		return false
	}
	reported := make(chan struct{})
	report, flush := s.report, s.flush
	go func() {
		defer close(reported)
		if report != nil {
			report(reporter.StopCutShort, fields)
			flush()
		}
		fmt.Fprintf(s.stderr, "bamboospread: %s: ended at once by a second signal, %s after the first\n", got, since.Round(time.Millisecond))
	}()
	select {
	case <-reported:
	case <-time.After(lastLinesLimit): // nobody reads the log
	}
	return true
}
