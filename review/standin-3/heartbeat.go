package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Times of the case.
const (
	evacuateTime = 5 * time.Second // evacuate_ms
	calmBefore   = 3 * time.Second // after evacuateTime, in which nothing starts in the zone
	watchTime    = 8 * time.Second
	jobPause     = 250 * time.Millisecond
	shortWork    = "work-ms 400"
)

// heartbeat evacuates a zone while small submissions come. Later, another writer sends one heartbeat about a
// runner of the zone that lacks a field.
func heartbeat(d *deployment, disturbed bool) ([]string, error) {
	zone := zones[0]
	stop, failed := make(chan struct{}), make(chan error, 1)
	go func() { failed <- d.submitUntil(stop) }()
	time.Sleep(2 * time.Second)
	d.store.put("op/evacuate/"+zone, map[string]any{})
	acknowledged := time.Now()
	d.record.note("the evacuation of %s is acknowledged", zone)
	time.Sleep(evacuateTime + calmBefore)
	if disturbed {
		if err := d.runners[0].strayHeartbeat(); err != nil {
			return nil, err
		}
	}
	time.Sleep(watchTime)
	close(stop)
	if err := <-failed; err != nil {
		return nil, err
	}
	inZone := make(map[string]bool)
	for _, r := range d.runners {
		inZone[r.id] = r.zone == zone
	}
	return d.record.startsAfter(acknowledged.Add(evacuateTime), func(runner string) bool { return inZone[runner] }, "in the zone that is evacuated"), nil
}

// submitUntil hands small submissions in until stop is closed.
func (d *deployment) submitUntil(stop <-chan struct{}) error {
	for n := 1; ; n++ {
		select {
		case <-stop:
			return nil
		case <-time.After(jobPause):
		}
		err := d.submit(fmt.Sprintf("%016x", n), map[string]any{
			"spec": shortWork, "steps": []map[string]any{{"count": 4, "cpu": 1000, "mem_mb": 100, "estimate_ms": 400}},
		})
		if err != nil {
			return err
		}
	}
}

// strayHeartbeat sends a heartbeat that another writer made about the runner: it has no zone.
func (r *runner) strayHeartbeat() error {
	r.mu.Lock()
	body, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.memory, "gpu": 0}, "labels": []string{"a", r.rack},
		"clock_ms": r.clock(), "sequence": r.sequence + 1, "born": r.born.UnixMilli(),
	})
	r.mu.Unlock()
	if err != nil {
		return err
	}
	q, err := http.NewRequest(http.MethodPut, "http://"+r.beatTo+"/instances/"+r.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := (&http.Client{Timeout: time.Second}).Do(q)
	if err != nil {
		return errors.Join(errors.New("the heartbeat was not answered"), err)
	}
	defer a.Body.Close()
	r.record.note("another writer sends a heartbeat about runner %s: %s: %d", r.id, body, a.StatusCode)
	return nil
}
