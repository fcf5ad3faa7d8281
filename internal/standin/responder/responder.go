// Package responder is a stand-in for an upstream: an HTTP server with a number of
// slots and connections. On demand it answers late, with the answer of another
// request or with a broken answer. It records every request that it ran, for tests.
package responder

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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

// RequestIDHeader identifies a request; the answer echoes it.
const RequestIDHeader = "X-Request-Id"

// Distribution is the probability distribution of service times.
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
	Advertise    string        // address that is announced; empty: that of the listener
	Announce     time.Duration // interval between announcements; default 1 s
	Recorder     *recorder.Recorder
	Now          func() time.Time
}

// Upstream is the server. It is safe for concurrent use.
type Upstream struct {
	config Config
	mux    *http.ServeMux
	http   *http.Client
	// lostEnded is signalled when a request has ended whose connection was lost: its agent keeps the
	// slot until it is announced.
	lostEnded chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	modes       Modes
	running     int
	requests    map[*http.Request]string // ids of the running ones
	connections int
	counts      Counts
	previous    answer // to the request before, for crossed answers
	runs        []Run
	leaving     bool
}

// Counts are the totals and maxima of an upstream.
type Counts struct {
	Requests           int64 `json:"requests"`
	MostRunning        int   `json:"most-running"`
	Overloads          int64 `json:"overloads"` // requests that arrived while all slots were in use
	MostConnections    int   `json:"most-connections"`
	RefusedConnections int64 `json:"too-many-connections"`
}

// Run records the start or the end of a request that the upstream ran.
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
	Leaving        bool      `json:"leaving,omitempty"` // recorded after the upstream began to leave
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
		http: &http.Client{Timeout: 2 * time.Second}, requests: make(map[*http.Request]string),
		lostEnded: make(chan struct{}, 1),
	}
	u.mux.HandleFunc("POST /control/modes", u.handleSetModes)
	u.mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, u.Counts())
	})
	u.mux.HandleFunc("/", u.serve)
	return u
}

// Handler returns the upstream's HTTP interface.
func (u *Upstream) Handler() http.Handler { return u.mux }

// Counts returns the counts so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// Runs returns the recorded starts and ends of requests, oldest first.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// runningIDs returns the ids of the requests that run; it is never nil.
func (u *Upstream) runningIDs() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.AppendSeq([]string{}, maps.Values(u.requests))
}

// Run announces the upstream and serves on l until ctx ends. It then deregisters at
// the agent, finishes the running requests and returns.
func (u *Upstream) Run(ctx context.Context, l net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		u.announce(ctx, cmp.Or(u.config.Advertise, l.Addr().String()))
		stop() // only now, since the agent sends no new requests once it was notified
	}()
	err := server.Serve(serving, &countingListener{Listener: l, u: u}, u.mux)
	<-announced
	return err
}

// serve runs one request.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return // an incomplete request is not run
	}
	m, serviceTime := u.begin(r)
	time.Sleep(serviceTime) // continues even if the caller has disconnected
	a := answer{id: r.Header.Get(RequestIDHeader), body: u.answerBody(r, body)}
	other := u.end(r, a)
	if r.Context().Err() != nil {
		select {
		case u.lostEnded <- struct{}{}:
		default: // an announcement is due already
		}
	}
	if m.CutAfterEffect {
		panic(http.ErrAbortHandler)
	}
	if m.Crossed && other.id != "" {
		a = other
	}
	u.write(w, m, a)
}

// answerBody echoes the body of the request. Without one it returns a text that
// identifies the request, so that the caller can check that the answer is its own.
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
		panic(http.ErrAbortHandler) // the body is shorter than Content-Length
	}
	_, _ = w.Write(a.body)
}

// begin records the start of a request and returns the modes that apply to it and its
// service time.
func (u *Upstream) begin(r *http.Request) (Modes, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.requests[r] = r.Header.Get(RequestIDHeader)
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
	serviceTime := float64(u.config.ServiceTime)
	if u.config.Distribution == Exponential {
		serviceTime *= u.random.ExpFloat64()
	}
	if m.Slow > 0 {
		serviceTime *= m.Slow
	}
	return m, time.Duration(serviceTime) + time.Duration(m.LateMillis)*time.Millisecond
}

// end records the end of a request and returns the answer to the one that ended before.
func (u *Upstream) end(r *http.Request, a answer) answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	delete(u.requests, r)
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
