package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the project's own program, as the deploy file builds it.
const program = "target/bamboospread"

// zones are those of the deployment, with one entry each.
var zones = []string{"west-eu-a", "west-eu-b", "west-eu-c"}

// Names on the wire.
const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
)

// process is a process of the project.
type process struct {
	name, settings, log string
	args                []string
	cmd                 *exec.Cmd
	ended               chan struct{}
	startedAt           time.Time
}

// deployment is a small deployment: the stand-ins, which run in this process, and the project's own
// programs, which run in processes of their own. Each machine has a loopback address.
type deployment struct {
	folder  string
	network string // first two numbers of all addresses
	next    int
	record  *record
	store   *store
	entries []*process
	agents  []*process
	callers map[string]string // address of the frontend, by entry
	ready   map[string]string // address of the readiness check, by entry
	runners []*runner
	done    chan struct{}
	mu      sync.Mutex
	started []*process
}

// newDeployment starts the stand-ins and writes the settings of an entry in each zone and of an agent for
// each runner.
func newDeployment(folder string, runnersPerZone int, rec *record) (*deployment, error) {
	d := &deployment{
		folder: folder, network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)), record: rec, store: newStore(),
		callers: make(map[string]string), ready: make(map[string]string), done: make(chan struct{}),
	}
	d.store.put("op/config", config(1))
	storeAddress, err := d.serve(d.store.handler())
	if err != nil {
		return nil, err
	}
	for _, zone := range zones {
		name := "frontend-" + zone + "-1"
		ip := d.address()
		frontend, readiness, internal := d.port(ip), d.port(ip), d.port(ip)
		d.callers[name], d.ready[name] = frontend, readiness
		p := &process{name: name, args: []string{"hosted", "entry", "--load-control", "estimates"}}
		settings := []string{
			"machine_class=frontend", "serves=frontend", "listen.frontend=" + frontend, "listen.readiness=" + readiness,
			"limits.cpu_share=0.4", "limits.memory_mb=284", "limits.max_fds=4100",
		}
		if err := d.writeSettings(p, zone, ip, internal, storeAddress, settings); err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	for z, zone := range zones {
		for n := range runnersPerZone {
			name := fmt.Sprintf("side-%s-%d", zone, n+1)
			ip := d.address()
			control, internal := d.port(ip), d.port(ip)
			r := newRunner(&runner{
				id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, rack: fmt.Sprintf("r%d-%d", z+1, n/3), service: service,
				cpu: 64_000, memory: 256_000, beatTo: control, holdMax: 6 * time.Second, record: rec,
			})
			if r.address, err = d.serve(r.handler()); err != nil {
				return nil, err
			}
			d.runners = append(d.runners, r)
			p := &process{name: name, args: []string{"hosted", "agent"}}
			settings := []string{
				"machine_class=side", "serves=side", "listen.control=" + control, "app=" + r.address,
				"limits.cpu_share=0.24", "limits.memory_mb=152", "limits.max_fds=4096",
			}
			if err := d.writeSettings(p, zone, ip, internal, storeAddress, settings); err != nil {
				return nil, err
			}
			d.agents = append(d.agents, p)
		}
	}
	for _, r := range d.runners {
		go r.beat(d.done)
		go r.expire(d.done)
	}
	return d, nil
}

// config is a config of the operator.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 1000,
			"priority": 0, "service": service, "max_attempts": 4, "slack_factor": 2.0,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// address returns a loopback address that nothing else here uses.
func (d *deployment) address() string {
	d.next++
	return fmt.Sprintf("%s.%d", d.network, d.next)
}

// port returns a free port of an address.
func (d *deployment) port(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve serves a stand-in on an address of its own.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", d.address()+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *deployment) writeSettings(p *process, zone, ip, internal, storeAddress string, more []string) error {
	_, port, err := net.SplitHostPort(internal)
	if err != nil {
		return err
	}
	lines := append([]string{
		"node_name=" + p.name, "role=" + p.args[1], "ip=" + ip, "zone=" + zone, "region=west-eu", "internal_ports=" + port + "," + port,
		"bootstrap=true", "fault_counted=false", "limits.cores=1", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=local", "entry=vip",
		"heartbeat_interval_ms=1500", "contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.config_apply_ms=2000", "bounds.max_skew_ms=5000", "bounds.evacuate_ms=5000",
		"bounds.recover_s=12", "bounds.hold_max_ms=6000", "bounds.stop_timeout_ms=400", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.fencing_enforced=false",
		"bounds.lease_ms=3000", "orders=call", "platform.address=" + storeAddress, "platform.form=kv", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}, more...)
	p.settings, p.log = filepath.Join(d.folder, p.name+".conf"), filepath.Join(d.folder, p.name+".log")
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts a process.
func (d *deployment) start(p *process) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Env = append(os.Environ(), "BAMBOOSPREAD_CONFIG="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.startedAt = time.Now()
	d.record.note("process %s starts", p.name)
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() { _ = cmd.Wait(); close(ended) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.done: // too late: all processes are being ended
		return p.cmd.Process.Kill()
	default:
	}
	d.started = append(d.started, p)
	return nil
}

// startAll starts all processes and waits until the entries are ready.
func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if err := d.start(p); err != nil {
			return err
		}
	}
	for _, p := range d.entries {
		if err := d.awaitReady(p); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // until the first owner has taken over and all runners are known
	return nil
}

func (d *deployment) awaitReady(p *process) error {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		a, err := http.Get("http://" + d.ready[p.name] + "/readyz")
		if err != nil {
			continue
		}
		a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	close(d.done)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.started {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
	}
}

// call makes a client's request to an entry. status is 0 without an answer.
func (d *deployment) call(entry, method, path string, body any) (status int, answered []byte, err error) {
	var text io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		text = strings.NewReader(string(b))
	}
	q, err := http.NewRequest(method, "http://"+d.callers[entry]+path, text)
	if err != nil {
		return 0, nil, err
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		d.record.note("%s %s at %s: %v", method, path, entry, err)
		return 0, nil, nil // no answer
	}
	defer a.Body.Close()
	answered, err = io.ReadAll(a.Body)
	if err != nil {
		return 0, nil, err
	}
	d.record.note("%s %s at %s: %d %s", method, path, entry, a.StatusCode, strings.TrimSpace(string(answered)))
	return a.StatusCode, answered, nil
}

// submit hands a submission in until it is accepted, at one entry after the other as a client does.
func (d *deployment) submit(id string, submission any) error {
	for n := range 10 {
		status, _, err := d.call(d.entries[n%len(d.entries)].name, http.MethodPost, prefix+id, submission)
		if err != nil {
			return err
		}
		if status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}
