package demonstrator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"bamboospread/internal/wire/messenger"
)

// tally is what the callers and the operator of the demo count.
type tally struct {
	mu        sync.Mutex
	sent      int
	answered  int
	wrong     int
	refused   int
	latencies []time.Duration
	submitted map[string]bool // accepted task ids
	jobState  string          // as its caller was told last
	zoneOut   time.Time       // when the change was accepted
	zoneIn    time.Time       // when the operator asked for the return
}

// drive plays the callers, a tenant and an operator, and returns the summary.
func (d *Demonstrator) drive(ctx context.Context) (Summary, error) {
	if err := d.waitForPath(ctx); err != nil {
		return Summary{}, err
	}
	t := &tally{submitted: make(map[string]bool)}
	loadContext, stopLoad := context.WithTimeout(ctx, d.config.Duration)
	defer stopLoad()
	operator := make(chan error, 1)
	tenant := make(chan error, 1)
	job := make(chan error, 1)
	go func() { job <- d.runJob(ctx, t) }()
	go func() { operator <- d.operate(loadContext, t) }()
	go func() { tenant <- d.submitTasks(loadContext, t) }()
	d.sendRequests(loadContext, t)
	if err := <-operator; err != nil {
		return Summary{}, err
	}
	if err := <-tenant; err != nil {
		return Summary{}, err
	}
	if err := <-job; err != nil {
		return Summary{}, err
	}
	d.progress("load ended; waiting for the last tasks")
	d.waitForTasks(ctx, t)
	return d.summarize(t), nil
}

// waitForPath applies the fleet text and waits until a first request is answered.
func (d *Demonstrator) waitForPath(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		if last = d.call(ctx, http.MethodPut, d.entries[0]+"/v1/fleet?base=0", []byte(fleetText), nil); last == nil {
			break
		}
		pause(ctx, 100*time.Millisecond)
	}
	d.progress("fleet text applied")
	for ctx.Err() == nil {
		var status messenger.Status
		last = d.call(ctx, http.MethodGet, d.entries[0]+"/v1/status", nil, &status)
		if last == nil && countReachable(status) == vmCount {
			d.progress("cell owned by %s in epoch %d, %d VMs in session", status.Owner, status.Epoch, vmCount)
			return nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("the path did not come up in %s: %w", startLimit, last)
}

func countReachable(s messenger.Status) int {
	n := 0
	for _, vm := range s.VMs {
		if vm.Reachable {
			n++
		}
	}
	return n
}

// operate takes a zone out after a third of the time and back after two thirds.
func (d *Demonstrator) operate(ctx context.Context, t *tally) error {
	pause(ctx, d.config.Duration/3)
	url := d.entries[1] + "/v1/zones/" + zoneOutName
	if err := d.call(ctx, http.MethodPost, url, []byte(`{"state":"out"}`), nil); err != nil {
		return fmt.Errorf("take %s out: %w", zoneOutName, err)
	}
	t.mu.Lock()
	t.zoneOut = time.Now()
	t.mu.Unlock()
	d.progress("%s taken out", zoneOutName)
	pause(ctx, d.config.Duration/3)
	t.mu.Lock()
	t.zoneIn = time.Now()
	t.mu.Unlock()
	if err := d.call(ctx, http.MethodPost, url, []byte(`{"state":"in"}`), nil); err != nil {
		return fmt.Errorf("take %s back: %w", zoneOutName, err)
	}
	d.progress("%s taken back", zoneOutName)
	return nil
}

// submitTasks submits small waves of tasks; the same id is used again after an
// answer that was lost or a refusal, which is harmless.
func (d *Demonstrator) submitTasks(ctx context.Context, t *tally) error {
	payload := fmt.Sprintf(`{"run-ms":%d}`, taskTime.Milliseconds())
	classes := []string{"label-batch", "label-batch", "sorting-run"}
	tenants := []string{"packhouse", "office"}
	for wave := 0; ctx.Err() == nil; wave++ {
		request := messenger.SubmitRequest{Cell: "main"}
		for i := range tasksPerSecond / 2 {
			request.Tasks = append(request.Tasks, messenger.TaskSpec{
				ID: fmt.Sprintf("task-%03d-%02d", wave, i), Tenant: tenants[i%len(tenants)],
				Class: classes[i%len(classes)], Payload: payload,
			})
		}
		body, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode tasks: %w", err)
		}
		var reply messenger.SubmitReply
		for ctx.Err() == nil {
			if err := d.call(ctx, http.MethodPost, d.entries[wave%entryCount]+"/v1/tasks", body, &reply); err == nil {
				break
			}
			pause(ctx, 100*time.Millisecond)
		}
		t.accept(reply)
		pause(ctx, 500*time.Millisecond)
	}
	return nil
}

func (t *tally) accept(reply messenger.SubmitReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range reply.Verdicts {
		if v.Accepted {
			t.submitted[v.ID] = true
		}
	}
}

// sendRequests sends requests at a fixed pace, whether answers come or not.
func (d *Demonstrator) sendRequests(ctx context.Context, t *tally) {
	var callers sync.WaitGroup
	ticker := time.NewTicker(requestsEach)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		callers.Add(1)
		go func() {
			defer callers.Done()
			d.sendRequest(context.WithoutCancel(ctx), t, n)
		}()
		if n > 0 && n%500 == 0 {
			d.progress("%d requests sent", n)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	callers.Wait()
}

// sendRequest sends one request whose body no other has, and checks that the
// answer is its own and whole: the upstreams answer with the body they got.
func (d *Demonstrator) sendRequest(ctx context.Context, t *tally, n int) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	own := bytes.Repeat([]byte(fmt.Sprintf("lot-%06d;", n)), 20)
	url := fmt.Sprintf("%s/v1/services/%s/labels", d.entries[n%entryCount], serviceName)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(own))
	if err != nil {
		return
	}
	begin := time.Now()
	response, err := http.DefaultClient.Do(request)
	status, body := 0, []byte(nil)
	if err == nil {
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		status = response.StatusCode
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case err != nil:
	case status != http.StatusOK:
		t.refused++
	case !bytes.Equal(body, own):
		t.wrong++
	default:
		t.answered++
		t.latencies = append(t.latencies, time.Since(begin))
	}
}

// waitForTasks waits until the workers have seen the end of all accepted tasks.
func (d *Demonstrator) waitForTasks(ctx context.Context, t *tally) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for ctx.Err() == nil {
		if w := d.countWork(t); w.completed >= len(t.submitted) {
			return
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// call sends an operator's request and decodes a JSON answer into result.
func (d *Demonstrator) call(ctx context.Context, method, url string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Bamboospread-Change-Id", rand.Text())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s: %s", method, url, response.Status, bytes.TrimSpace(answer))
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(answer, result)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p))]
}

func sortDurations(d []time.Duration) {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
}
