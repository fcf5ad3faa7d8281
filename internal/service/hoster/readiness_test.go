package hoster

import (
	"testing"
	"time"

	"bamboospread/platform"
)

// Guards against callers that are sent to an entry that refuses them all because its configuration may be
// old, and against entries that leave the balancer at once when nobody reaches the store.
func TestNotReady(t *testing.T) {
	tests := []struct {
		name     string
		draining bool
		version  int64
		age      time.Duration
		answers  bool
		want     string
	}{
		{"ready", false, 2, platform.MaxPolicyAge, true, ""},
		{"leaving", true, 2, 0, true, "leaving"},
		{"no configuration", false, 0, 0, true, "no configuration yet"},
		{"old, the store answers", false, 2, platform.MaxPolicyAge + 1, true, "configuration may be old"},
		{"old, the store does not answer", false, 2, maxReadyPolicyAge, false, ""},
		{"older, the store does not answer", false, 2, maxReadyPolicyAge + 1, false, "store not reached"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := notReady(tt.draining, tt.version, tt.age, tt.answers); got != tt.want {
				t.Errorf("%q, want %q", got, tt.want)
			}
		})
	}
}
