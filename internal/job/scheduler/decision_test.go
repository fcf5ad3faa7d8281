package scheduler

import (
	"testing"
	"time"
)

// Guards against an owner that decides all the time and reads no reports: on a fleet that is too
// large for its VM a decision takes longer than its planned interval.
func TestSlowDecisionsAreMadeLessOften(t *testing.T) {
	tests := []struct {
		name  string
		took  time.Duration
		share float64 // of the time, at most
	}{
		{"far below the interval", 100 * time.Microsecond, 0.02},
		{"as long as the interval", 10 * time.Millisecond, 0.25},
		{"ten times the interval", 100 * time.Millisecond, 0.25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const span = 20 * time.Second
			d := decision{planned: 10 * time.Millisecond}
			now, busy := time.Unix(100, 0), time.Duration(0)
			for end := now.Add(span); now.Before(end); now = now.Add(time.Millisecond) {
				if d.due(now) {
					d.record(now, tt.took)
					busy += tt.took
					now = now.Add(tt.took)
				}
			}
			// The first decisions are made as often as planned.
			if got := float64(busy) / float64(span); got > tt.share+0.05 {
				t.Errorf("decisions take %.2f of the time, want %.2f at most", got, tt.share)
			}
		})
	}
}
