package main

import (
	"fmt"
	"time"
)

// The submission of the case has one task, which brings down what starts it.
const (
	deadlyID   = "5c0e7a21d94b36f8"
	deadlyWork = "work-ms 3600000" // longer than the test
	// deadlyAge is the age of a run at which it brings down its runner, or its machine.
	deadlyAge = 300 * time.Millisecond
	// machineDown is how long a machine or a runner is down.
	machineDown = 4500 * time.Millisecond
	deadlyTime  = 60 * time.Second
	contactTime = 3 * time.Second // contact_ms
	// startsLeft is how many starts by machines in touch after the third crash break the rule.
	startsLeft = 3
)

// deadly hands a task in that brings down each runner that starts it. With the disruption it brings down the
// whole machine: the agent's process ends with the runner.
func deadly(d *deployment, disturbed bool) ([]string, error) {
	err := d.submit(deadlyID, map[string]any{
		"spec": deadlyWork, "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 5000}},
	})
	if err != nil {
		return nil, err
	}
	var late []string // starts by machines in touch after the third crash
	crashes := 0
	for began := time.Now(); time.Since(began) < deadlyTime; time.Sleep(10 * time.Millisecond) {
		i, startedAt := d.findRun(deadlyID + ".0.0.0")
		if i < 0 || time.Since(startedAt) < deadlyAge {
			continue
		}
		agent, r := d.agents[i], d.runners[i]
		inTouch := startedAt.Sub(agent.startedAt)
		d.record.note("start on %s; its agent had run for %.1f s; crash %d comes", agent.name, inTouch.Seconds(), crashes+1)
		if crashes >= startsLeft && inTouch >= contactTime {
			late = append(late, fmt.Sprintf("started on %s at %s after %d crashes, by an agent that had run for %.1f s", agent.name, d.record.at(startedAt), crashes, inTouch.Seconds()))
		}
		crashes++
		if disturbed {
			d.record.note("the power of %s is lost", agent.name)
			if err := agent.cmd.Process.Kill(); err != nil {
				return nil, err
			}
		}
		r.crash(machineDown)
		if disturbed {
			time.AfterFunc(machineDown, func() {
				if err := d.start(agent); err != nil {
					d.record.note("%s does not start: %v", agent.name, err)
				}
			})
		}
	}
	if _, _, err := d.call(d.entries[0].name, "GET", prefix+deadlyID, nil); err != nil {
		return nil, err
	}
	d.record.note("%d crashes; %d starts by machines in touch after the third", crashes, len(late))
	if len(late) < startsLeft {
		return nil, nil
	}
	return late, nil
}

// findRun returns the index of the runner with a run of a task, and when the run started; -1: none has.
func (d *deployment) findRun(task string) (index int, startedAt time.Time) {
	for i, r := range d.runners {
		r.mu.Lock()
		t := r.running[task]
		r.mu.Unlock()
		if t != nil {
			return i, t.startedAt
		}
	}
	return -1, time.Time{}
}
