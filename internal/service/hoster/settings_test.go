package hoster

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/platform"
)

const settingsText = `node_name=n
ip=127.0.0.1
zone=a
listen.frontend=127.0.0.1:1
listen.readiness=127.0.0.1:2
internal_ports=3,4
bounds.grace_s=6
bounds.stop_timeout_ms=900
bounds.hold_max_ms=10000
platform.ttl_min_ms=1000
platform.address=10.200.1.7:8169
`

// TestSettingsFileIsReadWhileItIsWritten reads a file that is truncated before or within the
// address of the store because it is still being written. The next poll must apply the
// complete file without a signal.
func TestSettingsFileIsReadWhileItIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText)
	first, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	applied := make(chan string, 8)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		c := Config{Settings: first, SettingsPath: path, Reporter: reporter.Discard()}
		ended <- followSettings(ctx, c, func(s *platform.Settings) { applied <- s.StoreAddress })
	}()
	defer func() { cancel(); <-ended }()
	newText := strings.Replace(settingsText, "10.200.1.7:8169", "10.200.1.8:8169", 1)
	steps := []struct {
		text, want string // empty: nothing is applied
	}{
		{newText[:strings.Index(newText, "platform.address")], ""},
		{newText[:len(newText)-3], "10.200.1.8:81"},
		{newText, "10.200.1.8:8169"},
	}
	for _, step := range steps {
		write(step.text)
		got := ""
		select {
		case got = <-applied:
		case <-time.After(settingsPollInterval + time.Second):
		}
		if got != step.want {
			t.Errorf("applied address %q, want %q", got, step.want)
		}
	}
}
