package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/operator/requester"
)

const (
	callEvery     = 300 * time.Millisecond // of each caller, on average
	retryPause    = 100 * time.Millisecond
	mostLasting   = 14 // lasting jobs at a time, so that they fit
	stateDone     = "done"
	stateCanceled = "cancelled"
)

// record is what callers know of a job.
type record struct {
	spec     *specifier.Job
	accepted time.Time // zero: no submission was answered with 2xx
	refused  bool      // every attempt was answered with a refusal
	open     bool      // a submission is being tried
	cancel   bool      // somebody wants it cancelled
	acked    time.Time // of the cancellation
	done     time.Time // when it was first shown as done
	state    string    // shown last
}

// book is what all callers know.
type book struct {
	mu       sync.Mutex
	jobs     map[string]*record
	findings []string
}

func newBook() *book { return &book{jobs: make(map[string]*record)} }

func (k *book) update(id string, f func(*record)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.jobs[id])
}

func (k *book) find(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.findings = append(k.findings, fmt.Sprintf(format, args...))
}

func (k *book) copy() map[string]record {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make(map[string]record)
	for id, r := range k.jobs {
		all[id] = *r
	}
	return all
}

func (k *book) lines() []string {
	var lines []string
	for id, r := range k.copy() {
		lines = append(lines, fmt.Sprintf("%s accepted %s refused %v cancel acked %s done %s state %s payload %s steps %+v", id, clock(r.accepted), r.refused, clock(r.acked), clock(r.done), r.state, r.spec.Payload, r.spec.Steps))
	}
	slices.Sort(lines)
	return lines
}

// list returns the ids of the jobs that are of interest, in order.
func (k *book) list(want func(*record) bool) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ids []string
	for id, r := range k.jobs {
		if want(r) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pending tells of a job that was accepted, may run and that nobody cancels.
func (r *record) pending() bool { return !r.accepted.IsZero() && !r.cancel && r.done.IsZero() }

// caller submits jobs, asks for them and cancels them.
type caller struct {
	number int
	client *requester.Requester
	hasty  *requester.Requester
	book   *book
	mu     sync.Mutex // of random
	random *rand.Rand
	count  int
}

// run calls until ctx ends. Requests go on until they are settled or limit ends.
func (c *caller) run(ctx, limit context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		c.mu.Lock()
		kind, pause := c.random.IntN(10), time.Duration(c.random.Int64N(int64(2*callEvery)))
		c.mu.Unlock()
		switch {
		case kind < 6:
			j, stubborn := c.draw()
			calls.Go(func() { c.submit(limit, j, stubborn) })
		case kind < 9:
			calls.Go(func() { c.askSome(limit) })
		default:
			calls.Go(func() { c.cancelSome(limit, 1) })
		}
		wait(ctx, pause)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// draw returns the next job and whether its caller repeats it after a refusal.
func (c *caller) draw() (j *specifier.Job, stubborn bool) {
	lasting := len(c.book.list(func(r *record) bool { return r.spec.Lasts() && !r.refused && r.acked.IsZero() }))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	j = &specifier.Job{ID: fmt.Sprintf("%08x%08x", 1+c.number, c.count), Queue: []string{"labels", "sorting"}[c.random.IntN(2)]}
	if lasting < mostLasting && c.random.IntN(3) > 0 {
		j.Payload = `{"run-ms":-1,"checkpointed":true}`
		j.Steps = []specifier.Step{{Count: 1 + c.random.IntN(2), Lasting: true, Needs: specifier.Resources{CPUMillis: 250 * (1 + c.random.Int64N(2)), MemoryMB: 500}}}
	} else {
		j.Payload = fmt.Sprintf(`{"run-ms":%d,"checkpointed":%v}`, 100+c.random.IntN(900), c.random.IntN(2) == 0)
		for i := range 1 + c.random.IntN(3) {
			j.Steps = append(j.Steps, c.drawStep(i))
		}
	}
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.book.jobs[j.ID] = &record{spec: j, open: true}
	return j, c.random.IntN(2) == 0
}

func (c *caller) drawStep(i int) specifier.Step {
	s := specifier.Step{
		Count: 1 + c.random.IntN(4), EstimateMillis: 500, Checkpoints: true, Fills: c.random.IntN(4) == 0, Copies: c.random.IntN(5) == 0,
		Needs: specifier.Resources{CPUMillis: 500 * (1 + c.random.Int64N(6)), MemoryMB: 100 * (1 + c.random.Int64N(20))},
	}
	if i > 0 {
		s.After = []int{i - 1}
	}
	return s
}

// submit hands a job in until the outcome is known. A caller that is not stubborn
// takes a refusal for the last word as long as no attempt may have counted.
func (c *caller) submit(ctx context.Context, j *specifier.Job, stubborn bool) {
	defer c.book.update(j.ID, func(r *record) { r.open = false })
	client := c.client
	if !stubborn {
		client = c.hasty
	}
	for doubt := false; ctx.Err() == nil; wait(ctx, retryPause) {
		_, err := client.SubmitJob(ctx, j)
		if err == nil {
			c.book.update(j.ID, func(r *record) { r.accepted, r.refused = time.Now(), false })
			return
		}
		refused := requester.IsErrUnavailable(err) || requester.IsErrRefused(err)
		doubt = doubt || !refused
		c.book.update(j.ID, func(r *record) { r.refused = !doubt })
		if !doubt && !stubborn {
			return
		}
	}
	c.book.find("settled: the submission of job %s was not settled", j.ID)
}

// ask asks for the state of a job and notes what changes it should not.
func (c *caller) ask(ctx context.Context, id string) {
	askedAt := time.Now()
	a, err := c.client.GetJob(ctx, id)
	var refused requester.ErrRefused
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		c.book.find("accepted: job %s was accepted and is not known at %s", id, clock(time.Now()))
	}
	if err != nil {
		return // asked again at the end
	}
	var reverted bool
	c.book.update(id, func(r *record) {
		reverted = a.State != stateDone && !r.done.IsZero() && r.done.Before(askedAt)
		if r.state = a.State; a.State == stateDone && r.done.IsZero() {
			r.done = time.Now()
		}
	})
	if reverted {
		c.book.find("accepted: job %s was shown as done and is shown as %s at %s", id, a.State, clock(time.Now()))
	}
}

func (c *caller) askSome(ctx context.Context) {
	for _, id := range c.pick(c.book.list(func(r *record) bool { return !r.accepted.IsZero() && r.done.IsZero() }), 3) {
		c.ask(ctx, id)
	}
}

// pick draws at most n ids.
func (c *caller) pick(ids []string, n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// cancelSome cancels n jobs, more of them lasting than not, until that is acknowledged.
func (c *caller) cancelSome(ctx context.Context, n int) {
	lasting := c.pick(c.book.list(func(r *record) bool { return r.pending() && r.spec.Lasts() }), n)
	others := c.pick(c.book.list(func(r *record) bool { return r.pending() && !r.spec.Lasts() }), max(1, n-len(lasting)))
	each(append(lasting, others...), func(id string) { c.cancel(ctx, id) })
}

// cancel cancels a job until that is acknowledged.
func (c *caller) cancel(ctx context.Context, id string) {
	c.book.update(id, func(r *record) { r.cancel = true })
	for ; ctx.Err() == nil; wait(ctx, retryPause) {
		_, err := c.client.CancelJob(ctx, id)
		if err == nil {
			c.book.update(id, func(r *record) { r.acked = time.Now() })
			return
		}
		var refused requester.ErrRefused
		if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
			c.book.find("accepted: job %s was accepted and its cancellation told that it is not known", id)
		}
	}
}
