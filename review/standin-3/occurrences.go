package main

import "time"

// The submission of the case: its step runs often, and all its occurrences are due at once. The work of
// the occurrences differs, by turns.
const (
	repeats    = 6000
	occurrence = "work-ms 6000 2000"
	untilDown  = 10 * time.Second
	// downTime is how long the store is down. The largest dose in the site file is 4.5 s.
	downTime  = 3 * time.Second
	afterDown = 20 * time.Second
)

// occurrences takes the store down while a submission with many occurrences is under way.
func occurrences(d *deployment, disturbed bool) ([]string, error) {
	err := d.submit("5c0e7a21d94b36f8", map[string]any{
		"spec": occurrence, "repeat_count": repeats, "start_ms": time.Now().UnixMilli(), "interval_ms": 1,
		"steps": []map[string]any{{"count": 1, "cpu": 200, "mem_mb": 100, "estimate_ms": 4000}},
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(untilDown)
	if disturbed {
		d.record.note("the store is down")
		d.store.setDown(true)
		time.Sleep(downTime)
		d.store.setDown(false)
		d.record.note("the store is up")
	}
	time.Sleep(afterDown)
	return d.record.twice(), nil
}
