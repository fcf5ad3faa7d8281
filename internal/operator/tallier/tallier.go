// Package tallier tells from the logs of entries and agents where the time of jobs went:
// waiting for their first start, for room, for earlier steps, running, or run again.
package tallier

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"bamboospread/internal/kernel/reporter"
)

// maxLineBytes bounds a line of a log; longer ones are counted as unreadable.
const maxLineBytes = 64 << 10

// Tallier adds lines up. It is not safe for concurrent use.
type Tallier struct {
	jobs       map[string]*job
	causes     map[string]int // of stops
	waits      map[string]int // told causes of steps that wait
	refusals   map[string]int
	ends       map[string]int // of runs, by how they ended
	ownerless  time.Duration
	lostAt     time.Time // since when no entry owns the cell; zero: one does
	events     int
	unreadable int
}

// job is what the log tells of a job.
type job struct {
	queue    string
	accepted time.Time
	started  time.Time
	ended    time.Time
	state    string
	waited   time.Duration // of its tasks, all together
	starts   int
	runs     map[string]time.Time // by task and run: when the start was decided
	working  time.Duration        // of its runs, all together
	redone   int                  // runs that did not end done
}

// New returns an empty Tallier.
func New() *Tallier {
	return &Tallier{jobs: make(map[string]*job), causes: make(map[string]int), waits: make(map[string]int), refusals: make(map[string]int), ends: make(map[string]int)}
}

// Read adds the lines of a log in logfmt. What stands before the first field of a line,
// such as the name of a process, is passed over. Lines that are no events are counted.
func (t *Tallier) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		i := strings.Index(line, "timestamp=")
		if i < 0 {
			t.unreadable++
			continue
		}
		if !t.add(line[i:]) {
			t.unreadable++
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if t.events == 0 {
		return errors.New("the log has no events: want lines with timestamp= and event=")
	}
	return nil
}

// fields are the fields of a line.
type fields map[string]string

func parse(line string) (fields, error) {
	d := logfmt.NewDecoder(strings.NewReader(line))
	f := make(fields)
	for d.ScanRecord() {
		for d.ScanKeyval() {
			f[string(d.Key())] = string(d.Value())
		}
	}
	return f, d.Err()
}

func (t *Tallier) add(line string) bool {
	f, err := parse(line)
	if err != nil {
		return false
	}
	code, err := strconv.Atoi(f["event"])
	if err != nil {
		return false
	}
	at, err := time.Parse(time.RFC3339Nano, f["timestamp"])
	if err != nil {
		return false
	}
	t.events++
	t.apply(reporter.Code(code), at, f)
	return true
}

func (t *Tallier) apply(code reporter.Code, at time.Time, f fields) {
	switch code {
	case reporter.JobAccepted:
		j := t.job(f["job"])
		j.queue, j.accepted = f["queue"], at
	case reporter.JobRefused:
		t.refusals[f["reason"]]++
	case reporter.JobStartDecided:
		t.start(at, f)
	case reporter.JobRunEnded:
		t.end(at, f, f["how"])
	case reporter.JobRunLost:
		t.end(at, f, "lost")
	case reporter.JobStopDecided:
		t.causes[f["cause"]]++
	case reporter.JobStepWaits:
		t.waits[f["cause"]]++
	case reporter.JobEnded:
		j := t.job(f["job"])
		j.ended, j.state, j.queue = at, f["state"], f["queue"]
	case reporter.CellLost:
		t.lostAt = at
	case reporter.CellTaken:
		if !t.lostAt.IsZero() {
			t.ownerless += at.Sub(t.lostAt)
			t.lostAt = time.Time{}
		}
	}
}

func (t *Tallier) job(id string) *job {
	j := t.jobs[id]
	if j == nil {
		j = &job{runs: make(map[string]time.Time)}
		t.jobs[id] = j
	}
	return j
}

func (t *Tallier) start(at time.Time, f fields) {
	id, _, _ := strings.Cut(f["task"], ".")
	j := t.job(id)
	if j.started.IsZero() {
		j.started = at
	}
	if waited, err := time.ParseDuration(f["waited"]); err == nil {
		j.waited += waited
	}
	j.starts++
	j.runs[f["task"]+" "+f["run"]] = at
}

func (t *Tallier) end(at time.Time, f fields, how string) {
	t.ends[how]++
	id, _, _ := strings.Cut(f["task"], ".")
	j := t.job(id)
	run := f["task"] + " " + f["run"]
	if from, ok := j.runs[run]; ok {
		j.working += at.Sub(from)
		delete(j.runs, run)
	}
	if how != "done" {
		j.redone++
	}
}
