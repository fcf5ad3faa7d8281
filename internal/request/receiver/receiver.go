// Package receiver serves callers over HTTP: it admits each request, routes it to an
// upstream, and returns either the complete answer or an error that states whether the
// request ran.
package receiver

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/request/admitter"
	"bamboospread/internal/request/balancer"
	"bamboospread/internal/request/claimer"
	"bamboospread/internal/request/retrier"
	"bamboospread/internal/request/tracker"
)

// claimDrainTimeout bounds the wait for the outcomes of keyed requests to be recorded
// during shutdown.
const claimDrainTimeout = 3 * time.Second

// Config holds the settings of a Receiver.
type Config struct {
	EntryID  string
	Zone     string // availability zone of the entry, if it has one
	Tracker  *tracker.Tracker
	Fleet    func() *describer.Fleet
	CallCell func(ctx context.Context, cell, method string, params, result any) error
	Cell     string
	Reporter *reporter.Reporter
	Metrics  *metrics.Set
	Now      func() time.Time
	NewID    func() string // returns a request id; nil: random ids
	// Balancer, Retrier and Admitter replace the defaults if they are set.
	Balancer *balancer.Balancer
	Retrier  *retrier.Retrier
	Admitter *admitter.Admitter
}

// Receiver is the http.Handler for callers' requests.
type Receiver struct {
	config   Config
	mux      *http.ServeMux
	balancer *balancer.Balancer
	retrier  *retrier.Retrier
	admitter *admitter.Admitter
	claimer  *claimer.Claimer

	bodyBytes atomic.Int64 // of requests in flight

	mu       sync.Mutex
	draining bool
	inFlight int
	idle     chan struct{}
}

// New returns a Receiver.
func New(c Config) *Receiver {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.NewID == nil {
		c.NewID = randomID
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	r := &Receiver{
		config: c, mux: http.NewServeMux(), idle: make(chan struct{}),
		balancer: c.Balancer, retrier: c.Retrier, admitter: c.Admitter,
		claimer: claimer.New(claimer.Config{Cell: c.Cell, CallCell: c.CallCell, Reporter: c.Reporter}),
	}
	if r.balancer == nil {
		r.balancer = balancer.New(balancer.Config{Zone: c.Zone})
	}
	if r.retrier == nil {
		r.retrier = retrier.New(retrier.Config{Now: c.Now})
	}
	if r.admitter == nil {
		r.admitter = admitter.New(admitter.Config{Capacity: r.capacity, Now: c.Now})
	}
	r.mux.HandleFunc("/v1/services/{service}/{path...}", r.serve)
	r.mux.HandleFunc("/v1/services/{service}", r.serve) // otherwise redirected, which turns a POST into a GET
	return r
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

// capacity returns how many requests of the service this entry may have running: the
// slots that other entries leave free, but at least an equal share of all slots. Without
// that share, an entry whose queue is never empty would take every slot that becomes
// free, and the callers of the other entries would starve.
func (r *Receiver) capacity(service string) int {
	now := r.config.Now()
	slots, others := 0, 0
	for _, u := range r.config.Tracker.Snapshot().Upstreams(service) {
		if u.Ready(now) {
			slots += u.Slots()
			others += min(u.OtherEntriesInFlight(), u.Slots())
		}
	}
	entries := r.config.Tracker.CountEntries()
	return max(slots-others, (slots+entries-1)/entries)
}

// begin counts a request in flight. It returns false while draining.
func (r *Receiver) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.inFlight++
	return true
}

func (r *Receiver) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.draining && r.inFlight == 0 {
		close(r.idle)
	}
}

// Drain refuses new requests and waits until those in flight are answered and the
// outcomes of keyed ones are recorded.
func (r *Receiver) Drain(ctx context.Context) error {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		r.config.Reporter.Report(reporter.ReceiverDraining, reporter.Fields{"in-flight": r.inFlight})
		if r.inFlight == 0 {
			close(r.idle)
		}
	}
	r.mu.Unlock()
	select {
	case <-r.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, claimDrainTimeout)
	defer cancel()
	// While the owner is unavailable, outcomes can't be recorded, and a longer wait
	// would only delay the shutdown. Repeats of their keys stay refused, which is safe.
	if err := r.claimer.Drain(ctx); err != nil {
		r.config.Reporter.Report(reporter.ClaimOutcomeNotRecorded, reporter.Fields{"error": err.Error()})
	}
	return nil
}
