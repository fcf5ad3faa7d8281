// Package tallier summarizes from the logs of entries and agents how jobs spent their time:
// waiting for their first start, for free capacity or for earlier steps, running, or
// running again.
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

// maxLineBytes limits a line of a log; Read skips longer ones.
const maxLineBytes = 64 << 10

// Tallier aggregates log lines. It is not safe for concurrent use.
type Tallier struct {
	jobs            map[string]*job
	stopCauses      map[string]int // count of stops by cause
	waits           []waitLine
	refusalReasons  map[string]int
	runEnds         map[string]int // count of runs by how they ended
	ownerless       time.Duration
	ownerlessSince  time.Time // time since which no entry owns the cell; zero: an entry owns it
	events          int
	unreadableLines int
	overlongLines   int
	delays          delays
}

// job holds the logged data of a job.
type job struct {
	queue            string
	accepted         time.Time
	started          time.Time
	ended            time.Time
	state            string
	waitTime         time.Duration        // sum over its tasks
	runs             map[string]time.Time // time of the start decision, by task and run
	runTime          time.Duration        // sum over its runs
	unsuccessfulRuns int                  // runs that did not end as done
}

// New returns an empty Tallier.
func New() *Tallier {
	return &Tallier{jobs: make(map[string]*job), stopCauses: make(map[string]int), refusalReasons: make(map[string]int), runEnds: make(map[string]int), delays: newDelays()}
}

// Read adds the lines of a log in logfmt. Text before the first field of a line, such as
// the name of a process, is skipped. Lines without an event are counted.
func (t *Tallier) Read(r io.Reader) error {
	lines := bufio.NewReaderSize(r, maxLineBytes+len("\r\n"))
	for {
		line, overlong, err := readLine(lines)
		switch {
		case errors.Is(err, io.EOF):
			return t.checkEvents()
		case err != nil:
			return fmt.Errorf("read log: %w", err)
		case overlong:
			t.overlongLines++
		default:
			t.addLine(line)
		}
	}
}

// readLine returns the next line. Of an overlong one, which does not fit into the buffer, it
// returns the beginning.
func readLine(r *bufio.Reader) (line string, overlong bool, err error) {
	begin, more, err := r.ReadLine()
	line = string(begin)
	for more && err == nil {
		overlong = true
		_, more, err = r.ReadLine()
	}
	return line, overlong, err
}

// addLine adds a line, or counts it if it has no event.
func (t *Tallier) addLine(line string) {
	i := strings.Index(line, "timestamp=")
	if i < 0 || !t.add(line[i:]) {
		t.unreadableLines++
	}
}

// checkEvents returns an error if nothing that was read is an event.
func (t *Tallier) checkEvents() error {
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
	t.delays.add(code, at, f)
	switch code {
	case reporter.JobAccepted:
		j := t.job(f["job"])
		j.queue, j.accepted = f["queue"], at
	case reporter.JobRefused:
		t.refusalReasons[f["reason"]]++
	case reporter.JobStartDecided:
		t.start(at, f)
	case reporter.JobRunEnded:
		t.end(at, f, f["how"])
	case reporter.JobRunLost:
		t.end(at, f, "lost")
	case reporter.JobStopDecided:
		t.stopCauses[f["cause"]]++
	case reporter.JobStepWaits:
		t.waits = append(t.waits, waitLine{job: f["job"], at: at, reasons: parseCause(f["cause"])})
	case reporter.JobEnded:
		j := t.job(f["job"])
		j.ended, j.state, j.queue = at, f["state"], f["queue"]
	case reporter.CellOwnershipLost:
		t.ownerlessSince = at
	case reporter.CellOwnershipTaken:
		if !t.ownerlessSince.IsZero() {
			t.ownerless += at.Sub(t.ownerlessSince)
			t.ownerlessSince = time.Time{}
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
	if waitTime, err := time.ParseDuration(f["waited"]); err == nil {
		j.waitTime += waitTime
	}
	j.runs[runKey(f)] = at
}

func (t *Tallier) end(at time.Time, f fields, outcome string) {
	t.runEnds[outcome]++
	id, _, _ := strings.Cut(f["task"], ".")
	j := t.job(id)
	run := runKey(f)
	if from, ok := j.runs[run]; ok {
		j.runTime += at.Sub(from)
		delete(j.runs, run)
	}
	if outcome != "done" {
		j.unsuccessfulRuns++
	}
}
