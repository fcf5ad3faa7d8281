// Package responder is a stand-in for an upstream: an HTTP server with a number
// of slots and connections, which answers late, crossed or broken on demand. It
// records every request that it ran: tests use that as the witness.
package responder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/server"
)

// Defaults of a Config.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultAnswerBytes = 64
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 8 << 20

// RequestIDHeader names a request; the answer echoes it.
const RequestIDHeader = "X-Request-Id"

// Distribution tells how service times spread around their mean.
type Distribution string

// Distributions of service times.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
)

// Config holds the settings of an Upstream.
type Config struct {
	ID           string
	Service      string
	Slots        int
	Connections  int
	ServiceTime  time.Duration // mean
	Distribution Distribution
	Seed         uint64
	Agent        string        // URL of the agent to announce to; empty: none
	Announce     time.Duration // between announcements; default 1 s
	Recorder     *recorder.Recorder
	Now          func() time.Time
}

// Upstream is the server. It is safe for concurrent use.
type Upstream struct {
	config Config
	mux    *http.ServeMux
	http   *http.Client

	mu          sync.Mutex
	random      *rand.Rand
	modes       Modes
	running     int
	connections int
	counts      Counts
	previous    answer // of another request, for crossed answers
	runs        []Run
	leaving     bool
}

// Counts tells what the upstream met.
type Counts struct {
	Requests        int64 `json:"requests"`
	MostRunning     int   `json:"most-running"`
	Overloads       int64 `json:"overloads"` // requests that came while all slots ran
	MostConnections int   `json:"most-connections"`
	TooMany         int64 `json:"too-many-connections"`
}

// Run is one request that the upstream ran, written at its begin and its end.
type Run struct {
	Time           time.Time `json:"time"`
	Upstream       string    `json:"upstream"`
	Service        string    `json:"service"`
	RequestID      string    `json:"request-id"`
	IdempotencyKey string    `json:"idempotency-key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Phase          string    `json:"phase"` // begin or end
	Running        int       `json:"running"`
	Overload       bool      `json:"overload,omitempty"`
	Leaving        bool      `json:"leaving,omitempty"` // it came after leaving began
}

type answer struct {
	id   string
	body []byte
}

// New returns an Upstream.
func New(c Config) *Upstream {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Connections <= 0 {
		c.Connections = defaultConnections
	}
	if c.Announce <= 0 {
		c.Announce = time.Second
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	u := &Upstream{
		config: c, mux: http.NewServeMux(), random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		http: &http.Client{Timeout: 2 * time.Second},
	}
	u.mux.HandleFunc("POST /control/modes", u.setModes)
	u.mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, u.Counts())
	})
	u.mux.HandleFunc("/", u.serve)
	return u
}

// Handler returns the upstream's HTTP interface.
func (u *Upstream) Handler() http.Handler { return u.mux }

// Counts returns what the upstream met so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// Runs returns what was recorded, oldest first.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Run announces the upstream and serves on l until ctx ends. It then tells the
// agent that it leaves, finishes what runs and returns.
func (u *Upstream) Run(ctx context.Context, l net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		u.announce(ctx, l.Addr().String())
		stop() // only after the agent knows: it sends nothing new any more
	}()
	err := server.Serve(serving, &countingListener{Listener: l, u: u}, u.mux)
	<-announced
	return err
}

// serve runs one request.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return // the request did not come whole and does not run
	}
	m, took := u.begin(r)
	time.Sleep(took) // also if the caller has gone: the work goes on
	a := answer{id: r.Header.Get(RequestIDHeader), body: u.answerBody(r, body)}
	other := u.end(r, a)
	if m.CutAfterEffect {
		panic(http.ErrAbortHandler)
	}
	if m.Crossed && other.id != "" {
		a = other
	}
	u.write(w, m, a)
}

// answerBody echoes a body, or makes one that names the request, so that the
// caller can tell its own answer.
func (u *Upstream) answerBody(r *http.Request, body []byte) []byte {
	if len(body) > 0 {
		return body
	}
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > maxBodyBytes {
		size = defaultAnswerBytes
	}
	text := fmt.Sprintf("%s %s ", r.Method, r.URL.RequestURI())
	for len(text) < size {
		text += text
	}
	return []byte(text[:max(size, min(len(text), defaultAnswerBytes))])
}

func (u *Upstream) write(w http.ResponseWriter, m Modes, a answer) {
	h := w.Header()
	h.Set(RequestIDHeader, a.id)
	h.Set("X-Upstream-Id", u.config.ID)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	status := http.StatusOK
	if m.Status != 0 {
		status = m.Status
	}
	w.WriteHeader(status)
	if m.Truncated {
		_, _ = w.Write(a.body[:len(a.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // the length promised more
	}
	_, _ = w.Write(a.body)
}

// begin records the start of a request and returns the modes in force for it and
// how long it runs.
func (u *Upstream) begin(r *http.Request) (Modes, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.counts.Requests++
	u.counts.MostRunning = max(u.counts.MostRunning, u.running)
	overload := u.running > u.config.Slots
	if overload {
		u.counts.Overloads++
	}
	u.recordLocked(r, "begin", overload)
	m := u.modes
	if m.Share > 0 && u.random.Float64() >= m.Share {
		m = Modes{Slow: m.Slow}
	}
	took := float64(u.config.ServiceTime)
	if u.config.Distribution == Exponential {
		took *= u.random.ExpFloat64()
	}
	if m.Slow > 0 {
		took *= m.Slow
	}
	return m, time.Duration(took) + time.Duration(m.LateMillis)*time.Millisecond
}

// end records the end of a request and returns the answer of the one before.
func (u *Upstream) end(r *http.Request, a answer) answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.recordLocked(r, "end", false)
	other := u.previous
	u.previous = a
	return other
}

func (u *Upstream) recordLocked(r *http.Request, phase string, overload bool) {
	run := Run{
		Time: u.config.Now(), Upstream: u.config.ID, Service: u.config.Service,
		RequestID: r.Header.Get(RequestIDHeader), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Phase: phase, Running: u.running,
		Overload: overload, Leaving: u.leaving,
	}
	if !u.modes.NoRecord {
		u.runs = append(u.runs, run)
		u.config.Recorder.Append(run)
	}
}
