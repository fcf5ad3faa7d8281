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

// observations holds what the callers and the operator of the demo observe.
type observations struct {
	mu        sync.Mutex
	sent      int
	answered  int
	wrong     int
	refused   int
	latencies []time.Duration
	submitted map[string]bool // accepted task ids
	jobState  string          // last state reported to its caller
	zoneOut   time.Time       // when the change was accepted
	zoneIn    time.Time       // when the operator requested the return
}

// runLoad acts as the callers, the tenants and an operator, and returns the summary.
func (d *Demonstrator) runLoad(ctx context.Context) (Summary, error) {
	if err := d.waitUntilReady(ctx); err != nil {
		return Summary{}, err
	}
	obs := &observations{submitted: make(map[string]bool)}
	loadContext, stopLoad := context.WithTimeout(ctx, d.config.Duration)
	defer stopLoad()
	operator := make(chan error, 1)
	tenant := make(chan error, 1)
	job := make(chan error, 1)
	go func() { job <- d.runJob(ctx, obs) }()
	go func() { operator <- d.operateZone(loadContext, obs) }()
	go func() { tenant <- d.submitTasks(loadContext, obs) }()
	d.sendRequests(loadContext, obs)
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
	d.waitForTasks(ctx, obs)
	return d.summarize(obs), nil
}

// waitUntilReady applies the fleet text and waits until all VMs are reachable.
func (d *Demonstrator) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		if lastErr = d.call(ctx, http.MethodPut, d.entries[0]+"/v1/fleet?base=0", []byte(fleetText), nil); lastErr == nil {
			break
		}
		sleep(ctx, 100*time.Millisecond)
	}
	d.progress("fleet text applied")
	for ctx.Err() == nil {
		var status messenger.Status
		lastErr = d.call(ctx, http.MethodGet, d.entries[0]+"/v1/status", nil, &status)
		if lastErr == nil && countReachable(status) == vmCount {
			d.progress("cell owned by %s in epoch %d, %d VMs in session", status.Owner, status.Epoch, vmCount)
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("the system was not ready within %s: %w", readyLimit, lastErr)
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

// operateZone takes a zone out of service after a third of the duration and back in after
// two thirds.
func (d *Demonstrator) operateZone(ctx context.Context, obs *observations) error {
	sleep(ctx, d.config.Duration/3)
	url := d.entries[1] + "/v1/zones/" + zoneOutName
	if err := d.call(ctx, http.MethodPost, url, []byte(`{"state":"out"}`), nil); err != nil {
		return fmt.Errorf("take %s out: %w", zoneOutName, err)
	}
	obs.mu.Lock()
	obs.zoneOut = time.Now()
	obs.mu.Unlock()
	d.progress("%s taken out", zoneOutName)
	sleep(ctx, d.config.Duration/3)
	obs.mu.Lock()
	obs.zoneIn = time.Now()
	obs.mu.Unlock()
	if err := d.call(ctx, http.MethodPost, url, []byte(`{"state":"in"}`), nil); err != nil {
		return fmt.Errorf("take %s back in: %w", zoneOutName, err)
	}
	d.progress("%s taken back in", zoneOutName)
	return nil
}

// submitTasks submits small batches of tasks. It repeats a batch with the same ids
// after a lost answer or a refusal, which is safe.
func (d *Demonstrator) submitTasks(ctx context.Context, obs *observations) error {
	payload := fmt.Sprintf(`{"run-ms":%d}`, taskTime.Milliseconds())
	classes := []string{"label-batch", "label-batch", "sorting-run"}
	tenants := []string{"packhouse", "office"}
	for batch := 0; ctx.Err() == nil; batch++ {
		request := messenger.SubmitRequest{Cell: "main"}
		for i := range tasksPerSecond / 2 {
			request.Tasks = append(request.Tasks, messenger.TaskSpec{
				ID: fmt.Sprintf("task-%03d-%02d", batch, i), Tenant: tenants[i%len(tenants)],
				Class: classes[i%len(classes)], Payload: payload,
			})
		}
		body, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode tasks: %w", err)
		}
		var reply messenger.SubmitReply
		for ctx.Err() == nil {
			if err := d.call(ctx, http.MethodPost, d.entries[batch%entryCount]+"/v1/tasks", body, &reply); err == nil {
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
		obs.accept(reply)
		sleep(ctx, 500*time.Millisecond)
	}
	return nil
}

func (o *observations) accept(reply messenger.SubmitReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range reply.Results {
		if v.Accepted {
			o.submitted[v.ID] = true
		}
	}
}

// sendRequests sends requests at a fixed rate, independently of their answers.
func (d *Demonstrator) sendRequests(ctx context.Context, obs *observations) {
	var callers sync.WaitGroup
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		callers.Add(1)
		go func() {
			defer callers.Done()
			d.sendRequest(context.WithoutCancel(ctx), obs, n)
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

// sendRequest sends one request with a unique body and checks that the answer is its
// own and complete: the upstreams echo the body.
func (d *Demonstrator) sendRequest(ctx context.Context, obs *observations, n int) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	own := bytes.Repeat([]byte(fmt.Sprintf("lot-%06d;", n)), 20)
	url := fmt.Sprintf("%s/v1/services/%s/labels", d.entries[n%entryCount], serviceName)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(own))
	if err != nil {
		return
	}
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	status, body := 0, []byte(nil)
	if err == nil {
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		status = response.StatusCode
	}
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.sent++
	switch {
	case err != nil:
	case status != http.StatusOK:
		obs.refused++
	case !bytes.Equal(body, own):
		obs.wrong++
	default:
		obs.answered++
		obs.latencies = append(obs.latencies, time.Since(startedAt))
	}
}

// waitForTasks waits until the workers have completed all accepted tasks.
func (d *Demonstrator) waitForTasks(ctx context.Context, obs *observations) {
	ctx, cancel := context.WithTimeout(ctx, lastTasksLimit)
	defer cancel()
	for ctx.Err() == nil {
		if w := d.countTasks(obs); w.completed >= len(obs.submitted) {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// call sends an operator's request and decodes the JSON answer into result, unless
// result is nil.
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

func sleep(ctx context.Context, d time.Duration) {
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
