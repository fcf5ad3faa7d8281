package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/cli/commander"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/standin/responder"
	"bamboospread/platform"
	"bamboospread/tests/harness"
)

const (
	signalPause = 200 * time.Millisecond // between two signals, as from an operator
	hostedPause = 60 * time.Millisecond  // signals that follow more closely count as one
	hostedTries = 5
	// endLimit limits the end of a process after a second signal; its graceful stop takes
	// as long as the request that it waits for.
	endLimit    = 2 * time.Second
	lateRequest = 15 * time.Second
	// hostedStopLimit limits the planned stop of a hosted process.
	hostedStopLimit = 6 * time.Second
)

// loggedEvent returns whether the log of a process has a line of the event.
func loggedEvent(p *harness.Process, code reporter.Code) bool {
	for _, line := range p.LogLines() {
		if strings.Contains(line, fmt.Sprintf("event=%d ", code)) || strings.HasSuffix(line, fmt.Sprintf("event=%d", code)) {
			return true
		}
	}
	return false
}

// awaitEvent waits until the log of a process has a line of the event.
func awaitEvent(p *harness.Process, code reporter.Code, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if loggedEvent(p, code) {
			return true
		}
	}
	return false
}

// TestSecondSignalEndsProcessAtOnce guards against a process that operators can end only with
// SIGKILL: its graceful stop waits for a request that takes long.
func TestSecondSignalEndsProcessAtOnce(t *testing.T) {
	t.Parallel()
	b := newRequestTestbed(t)
	b.setModes(responder.Modes{LateMillis: lateRequest.Milliseconds(), Share: 1})
	cases := []struct {
		name    string
		entry   *harness.Entry
		process func(upstream string) *harness.Process
	}{
		{"entry", b.Entries[0], func(string) *harness.Process { return b.Entries[0].Process }},
		{"agent", b.Entries[1], b.agentOf},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := "/late/" + c.name
			answered := make(chan response, 1)
			go func() {
				answered <- b.send(c.entry, request{method: http.MethodPost, path: path, timeout: lateRequest})
			}()
			defer func() { <-answered }()
			p := c.process(b.awaitRun(path))
			p.RequestStop()
			if !awaitEvent(p, reporter.StopBegan, recoveryLimit) {
				t.Fatal("the graceful stop has not begun")
			}
			time.Sleep(signalPause)
			if code, ended := p.AwaitEnd(0); ended {
				t.Fatalf("the graceful stop has ended with exit code %d before the request", code)
			}
			p.RequestStop()
			code, ended := p.AwaitEnd(endLimit)
			if !ended || code != commander.ExitStopped {
				t.Errorf("exit code %d, ended=%v within %s; want exit code %d", code, ended, endLimit, commander.ExitStopped)
			}
			if !loggedEvent(p, reporter.StopCutShort) {
				t.Errorf("event %d is not in the log", reporter.StopCutShort)
			}
			p.Kill()
		})
	}
}

// awaitRun waits until an upstream runs a request with the given path, and returns its name.
func (b *requestTestbed) awaitRun(path string) (upstream string) {
	b.t.Helper()
	harness.WaitFor(b.t, recoveryLimit, path+" to run", func(context.Context) error {
		for _, run := range b.Runs() {
			if strings.HasSuffix(run.Path, path) {
				upstream = run.Upstream
				return nil
			}
		}
		return fmt.Errorf("no upstream has recorded it")
	})
	return upstream
}

func (b *requestTestbed) agentOf(upstream string) *harness.Process {
	for _, vm := range b.VMs {
		if vm.Upstream.Name == upstream {
			return vm.Agent
		}
	}
	b.t.Fatalf("no VM has the upstream %q", upstream)
	return nil
}

// hostedCase is a role on the users' platform with a request that is sent in two parts.
type hostedCase struct {
	role        string
	address     func(*platform.Settings) string
	begin, rest string
	limit       time.Duration // the process waits this long for requests in flight
}

// TestHostedProcessCompletesItsStop guards against requests that are cut within the grace of
// a planned stop because the users' platform signals again, for instance when it removes a
// VM whose processes are stopping. The platform itself ends the process after the grace.
func TestHostedProcessCompletesItsStop(t *testing.T) {
	t.Parallel()
	for _, c := range []hostedCase{
		{"entry", func(s *platform.Settings) string { return s.ListenCallers }, "GET /in-flight HTTP/1.1\r\nHost: entry\r\n", "\r\n", 2500 * time.Millisecond},
		{"agent", func(s *platform.Settings) string { return s.ListenWorker }, "PUT /instances/w-1 HTTP/1.1\r\nHost: agent\r\nContent-Length: 2\r\n\r\n", "{}", 500 * time.Millisecond},
	} {
		t.Run(c.role, func(t *testing.T) {
			t.Parallel()
			for range hostedTries {
				if c.signalTwice(t) {
					return
				}
			}
			t.Errorf("in %d tries the request took longer than the process waits for it", hostedTries)
		})
	}
}

// signalTwice signals a process twice while it serves a request. It returns false if that
// took so long that the process may end before the request: the test proves nothing then.
func (c hostedCase) signalTwice(t *testing.T) bool {
	t.Helper()
	path, s := hostedSettings(t, c.role)
	p := harness.StartProcessWith(t, "hosted-"+c.role, []string{platform.SettingsVariable + "=" + path}, "hosted", c.role)
	conn := awaitConnection(t, c.address(s))
	defer conn.Close()
	fmt.Fprint(conn, c.begin)
	time.Sleep(hostedPause)
	began := time.Now()
	p.RequestStop()
	awaitEvent(p, reporter.StopBegan, c.limit)
	time.Sleep(hostedPause)
	p.RequestStop()
	awaitEvent(p, reporter.StopSignalRepeated, c.limit/2)
	fmt.Fprint(conn, c.rest)
	err := readAnswer(conn)
	if took := time.Since(began); took > c.limit*9/10 {
		t.Logf("the answer arrived %s after the first signal", took)
		return false
	}
	if err != nil {
		t.Errorf("the request in flight was cut: %v", err)
	}
	if code, ended := p.AwaitEnd(hostedStopLimit); !ended || code != commander.ExitOK {
		t.Errorf("exit code %d, ended=%v within %s; want exit code %d", code, ended, hostedStopLimit, commander.ExitOK)
	}
	for _, want := range []reporter.Code{reporter.StopBegan, reporter.StopSignalRepeated, reporter.ProcessStopped} {
		if !loggedEvent(p, want) {
			t.Errorf("event %d is not in the log", want)
		}
	}
	return true
}

// hostedSettings writes the settings of a hosted process on a loopback address of its own,
// since the port of its metrics is fixed. Its store does not answer.
func hostedSettings(t *testing.T, role string) (path string, s *platform.Settings) {
	t.Helper()
	ip := fmt.Sprintf("127.77.%d.%d", rand.IntN(250), 1+rand.IntN(250))
	class, listen := "frontend", "listen.frontend=%[1]s:8161\nlisten.readiness=%[1]s:8167\n"
	if role == "agent" {
		class, listen = "side", "listen.control=%[1]s:8166\napp=%[1]s:8165\n"
	}
	text := fmt.Sprintf("node_name=%[2]s-1\nmachine_class=%[3]s\nip=%[1]s\nzone=a\ninternal_ports=7720,7735\n"+
		"bounds.grace_s=6\nbounds.stop_timeout_ms=900\nbounds.hold_max_ms=10000\nplatform.address=%[1]s:8169\nplatform.ttl_min_ms=1000\n"+listen, ip, role, class)
	path = filepath.Join(t.TempDir(), "settings.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, s
}

func awaitConnection(t *testing.T, address string) (conn net.Conn) {
	t.Helper()
	harness.WaitFor(t, recoveryLimit, address+" to listen", func(context.Context) (err error) {
		conn, err = net.Dial("tcp", address)
		return err
	})
	return conn
}

// readAnswer returns nil if a complete HTTP answer arrives.
func readAnswer(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(hostedStopLimit)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
