package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and ports of the deployment.
const (
	service      = "labeldesk"
	host         = "nony24.example"
	clientPort   = 8161
	readyPort    = 8167
	controlPort  = 8166
	internalPort = 7720
	appPort      = 8360
	storePort    = 8169
	program      = "target/bamboospread"
)

// event is what a runner has seen.
type event struct {
	at     time.Duration
	kind   string
	runner string
	task   string
	run    int64
	detail string
}

// spawned is a process of the project and what it was started with.
type spawned struct {
	cmd      *exec.Cmd
	machine  int
	settings string
	args     []string
}

// lab is a small deployment: the project's processes, and stand-ins for all others.
type lab struct {
	net     string // the first three numbers of all addresses
	zone    string
	dir     string
	store   *store
	trouble bool
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	events    []event
	processes []*exec.Cmd
	named     map[string]spawned
	runners   []*runner
	entries   []string
}

func newLab(record string) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	l := &lab{net: fmt.Sprintf("127.%d.%d", 10+pid/250%200, 1+pid%250), zone: "chaguanas", dir: dir, store: newStore(), named: make(map[string]spawned), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f}
	listener, err := net.Listen("tcp", l.address(2, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, l.store.handler()) }()
	l.note("trouble: %t", l.trouble)
	return l, nil
}

func (l *lab) address(machine, port int) string {
	return net.JoinHostPort(l.net+"."+strconv.Itoa(machine), strconv.Itoa(port))
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteLocked(time.Since(l.began), fmt.Sprintf(format, args...))
}

func (l *lab) noteLocked(at time.Duration, text string) {
	fmt.Fprintf(l.record, "%8.3f %s\n", at.Seconds(), strings.ReplaceAll(text, l.net+".", "machine-"))
}

func (l *lab) event(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.at = time.Since(l.began)
	l.events = append(l.events, e)
	l.noteLocked(e.at, fmt.Sprintf("runner %s: %s %s run %d %s", e.runner, e.kind, e.task, e.run, e.detail))
}

// seen returns the events of a kind whose task begins with a prefix.
func (l *lab) seen(kind, prefix string) (found []event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e.kind == kind && strings.HasPrefix(e.task, prefix) {
			found = append(found, e)
		}
	}
	return found
}

func (l *lab) now() time.Duration { return time.Since(l.began) }

// spawn starts a process of the project with a settings file.
func (l *lab) spawn(name string, machine int, settings string, args ...string) (*exec.Cmd, error) {
	path := filepath.Join(l.dir, name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAMBOOSPREAD_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	l.processes = append(l.processes, cmd)
	l.named[name] = spawned{cmd, machine, settings, args}
	l.note("started %s (%s) on machine-%d", name, strings.Join(args, " "), machine)
	return cmd, nil
}

func (l *lab) settings(name, class string, machine int) string {
	var b strings.Builder
	set := func(key, format string, args ...any) { fmt.Fprintf(&b, key+"="+format+"\n", args...) }
	set("node_name", "%s", name)
	set("role", "%s", class)
	set("machine_class", "%s", class)
	set("serves", "%s", class)
	set("ip", "%s.%d", l.net, machine)
	set("zone", "%s", l.zone)
	set("region", "tt-central")
	set("zones."+l.zone, "tt-central")
	if class == "frontend" {
		set("listen.frontend", "%s", l.address(machine, clientPort))
		set("listen.readiness", "%s", l.address(machine, readyPort))
		set("limits.cpu_share", "0.4")
		set("limits.memory_mb", "284")
	} else {
		set("listen.control", "%s", l.address(machine, controlPort))
		set("app", "%s", l.address(machine, appPort))
		set("limits.cpu_share", "0.24")
		set("limits.memory_mb", "152")
	}
	set("limits.link_mbps", "1000.0")
	set("internal_ports", "%d,%d", internalPort, internalPort+15)
	set("heartbeat_interval_ms", "1100")
	set("platform.address", "%s", l.address(2, storePort))
	set("platform.form", "kv")
	set("platform.writes_per_s", "400")
	set("platform.reads_per_s", "2000")
	set("platform.history_s", "20")
	set("platform.value_bytes", "1048576")
	set("platform.ttl_min_ms", "1000")
	set("orders", "call")
	for key, value := range map[string]string{
		"contact_ms": "3000", "ack_timeout_ms": "4000", "grace_s": "6", "config_apply_ms": "2000", "hold_max_ms": "10000", "stop_timeout_ms": "900",
		"gang_timeout_ms": "3000", "cancel_ms": "3000", "visible_ms": "3000", "early_ms": "250", "finish_s": "14", "notice_ms": "4500", "lease_ms": "3000", "impact_ms": "4000",
	} {
		set("bounds."+key, "%s", value)
	}
	return b.String()
}

// route is a queue of the config.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	Timeout     int     `json:"timeout_ms"`
	Target      int     `json:"target_duration_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Slack       float64 `json:"slack_factor"`
}

func (l *lab) putConfig(version int, routes ...route) {
	for i := range routes {
		r := &routes[i]
		r.Host, r.Kind, r.Timeout, r.Service = host, "non_idempotent", 3000, service
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_connections": 64, "enforces_capacity": false}},
	})
	l.store.put("op/config", value)
	l.note("the operator writes config %d", version)
}

// addEntry starts an entry.
func (l *lab) addEntry() error {
	machine := 10 + len(l.entries)
	name := fmt.Sprintf("frontend-%d", len(l.entries)+1)
	l.entries = append(l.entries, l.address(machine, clientPort))
	_, err := l.spawn(name, machine, l.settings(name, "frontend", machine), "hosted", "entry", "--load-control", "estimates")
	return err
}

// addRunner starts a runner and its agent.
func (l *lab) addRunner(labels ...string) (*runner, error) {
	n := len(l.runners) + 1
	machine := 50 + n
	name := fmt.Sprintf("side-%d", n)
	r := &runner{
		lab: l, name: name, address: l.address(machine, appPort), control: l.address(machine, controlPort), id: fmt.Sprintf("i-%010x", 0x5a17+n*7919),
		cpu: 32000, mem: 128000, labels: labels, restartAfter: 3 * time.Second, tail: 1,
	}
	l.runners = append(l.runners, r)
	if _, err := l.spawn(name, machine, l.settings(name, "side", machine), "hosted", "agent"); err != nil {
		return nil, err
	}
	return r, r.boot()
}

// awaitReady waits until all entries are ready.
func (l *lab) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range l.entries {
			a, err := http.Get("http://" + strings.Replace(e, strconv.Itoa(clientPort), strconv.Itoa(readyPort), 1) + "/readyz")
			if err != nil {
				continue
			}
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(l.entries) {
			time.Sleep(3 * time.Second) // the runners have registered by then
			l.note("all entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after 15 s")
}

// roll stops a process with SIGTERM, waits until it has ended and starts it again.
func (l *lab) roll(name string) error {
	p := l.named[name]
	l.note("%s gets SIGTERM", name)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	_ = p.cmd.Wait()
	l.note("%s has ended", name)
	_, err := l.spawn(name, p.machine, p.settings, p.args...)
	return err
}

// loseMachine ends a runner and its agent for good.
func (l *lab) loseMachine(n int) {
	r := l.runners[n]
	r.restartAfter = time.Hour
	_ = l.named[r.name].cmd.Process.Kill()
	r.crash("machine lost")
	l.note("machine %s is lost for good", r.name)
}

// step is a step of a submission.
type step struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	Mem            int64  `json:"mem_mb"`
	Estimate       int64  `json:"estimate_ms"`
	Requirements   string `json:"requirements,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
	Image          string `json:"image,omitempty"`
	Target         int64  `json:"target_ms,omitempty"`
	MaxPerServer   int    `json:"max_per_server,omitempty"`
}

// request sends a client's request to an entry and returns the status, 0 without an answer, and
// the answer.
func (l *lab) request(entry int, method, path string, body any) (int, string) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	q, _ := http.NewRequest(method, "http://"+l.entries[entry]+path, bytes.NewReader(b))
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", "3000")
	sent := l.now()
	client := http.Client{Timeout: 3500 * time.Millisecond}
	a, err := client.Do(q)
	if err != nil {
		l.note("client: %s %s sent at %.3f: no answer: %v", method, path, sent.Seconds(), err)
		return 0, ""
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	answered := strings.TrimSpace(string(text))
	l.note("client: %s %s to frontend-%d sent at %.3f: %d %s", method, path, entry+1, sent.Seconds(), a.StatusCode, answered)
	return a.StatusCode, answered
}

func (l *lab) submit(entry int, prefix, id string, w work, steps ...step) int {
	spec, _ := json.Marshal(w)
	status, _ := l.request(entry, http.MethodPost, prefix+id, map[string]any{"spec": string(spec), "steps": steps})
	return status
}

// state returns the state that a submission is shown with.
func (l *lab) state(entry int, prefix, id string) string {
	_, text := l.request(entry, http.MethodGet, prefix+id, nil)
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &a)
	return a.State
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	for _, p := range l.processes {
		_ = p.Process.Kill()
	}
	for _, p := range l.processes {
		_ = p.Wait()
	}
	l.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", l.dir)
	}
}
