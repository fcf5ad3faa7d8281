package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of each process. Each has a loopback address of its own.
const (
	frontendPort  = 8161
	appPort       = 8165
	controlPort   = 8166
	readinessPort = 8167
	storePort     = 8169
	internalPort  = 7720
	metricsPort   = 9464 // as in deploy/system.toml
)

const (
	program      = "target/bamboospread" // as deploy/system.toml builds it
	readyTimeout = 15 * time.Second
	stopTimeout  = 3 * time.Second
	pollPause    = 50 * time.Millisecond
)

// process is a process of the project, started with the command of the deploy file.
type process struct {
	name string
	ip   string
	args []string
	file string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	block    string // first three bytes of all addresses
	rec      *recorder
	store    *store
	world    *world
	entries  []*process
	agents   []*process
	runners  []*runner
	service  string
	rareKind int    // number of the runner, from 1, whose kind is "b"; 0: none
	advice   string // address of the advising service; empty: none
}

var zones = []string{"chaguanas", "couva", "arima", "sangre-grande"}

// newFleet returns a fleet without processes on a free block of loopback addresses.
func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec, store: newStore(), service: "labeldesk", world: &world{behaviours: make(map[string]behaviour), present: make(map[string]int), rec: rec}}
	for n := range 200 {
		f.block = fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+n)%200, 1+(os.Getpid()/200)%250)
		if f.free() {
			return f, listen(f.address(1, storePort), f.store.handler())
		}
	}
	return nil, errors.New("no free block of loopback addresses")
}

// free reports whether the ports of the first addresses of the block are free.
func (f *fleet) free() bool {
	for host := 1; host < 60; host++ {
		for _, port := range []int{frontendPort, appPort, controlPort, readinessPort, storePort, internalPort, metricsPort} {
			l, err := net.Listen("tcp", f.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s%d:%d", f.block, host, port) }

// listen serves a handler until the process ends.
func listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return nil
}

const settings = `region=tt-central
zones.chaguanas=tt-central
zones.couva=tt-central
zones.arima=tt-central
zones.sangre-grande=tt-central
internal_ports=7720,7735
bootstrap=true
fault_counted=false
limits.cores=1
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=local
entry=vip
heartbeat_interval_ms=1100
contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.cold_overage=1.5
bounds.cold_slack=5
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.hold_max_ms=10000
bounds.stop_timeout_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=1.5
bounds.checkpoint_s=0.5
bounds.restore_ms=100
bounds.notice_ms=4500
bounds.migrate_s=1.5
bounds.maintenance_s=2
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.pace_ms=100
bounds.impact_ms=4000
orders=call
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
cloud.rate_per_s=60.0
cloud.duties=
cloud.duty_per_s=60.0
`

// addEntry starts an entry.
func (f *fleet) addEntry() (*process, error) {
	n := len(f.entries)
	ip := fmt.Sprintf("%s%d", f.block, 2+n)
	zone := zones[n%len(zones)]
	p := &process{name: fmt.Sprintf("frontend-%s-%d", zone, n+1), ip: ip, args: []string{"hosted", "entry", "--load-control", "estimates"}}
	own := fmt.Sprintf("node_name=%s\nrole=entry\nmachine_class=frontend\nserves=frontend\nip=%s\nzone=%s\nlisten.frontend=%s:%d\nlisten.readiness=%s:%d\nlimits.cpu_share=0.4\nlimits.memory_mb=284\nlimits.max_fds=4100\n",
		p.name, ip, zone, ip, frontendPort, ip, readinessPort)
	f.entries = append(f.entries, p)
	return p, f.start(p, own)
}

// addAgent starts an agent. Its runner comes with addRunner.
func (f *fleet) addAgent() error {
	n := len(f.agents)
	ip := fmt.Sprintf("%s%d", f.block, 10+n)
	zone := zones[n%len(zones)]
	p := &process{name: fmt.Sprintf("side-%s-%d", zone, n+1), ip: ip, args: []string{"hosted", "agent"}}
	own := fmt.Sprintf("node_name=%s\nrole=agent\nmachine_class=side\nserves=side\nip=%s\nzone=%s\nlisten.control=%s:%d\nlimits.cpu_share=0.24\nlimits.memory_mb=152\nlimits.max_fds=4096\napp=%s:%d\nservice=%s\n",
		p.name, ip, zone, ip, controlPort, ip, appPort, f.service)
	f.agents = append(f.agents, p)
	return f.start(p, own)
}

// addRunner starts the runner beside the agent with the given number.
func (f *fleet) addRunner(n int) error {
	a := f.agents[n]
	kind := "a"
	if n == f.rareKind-1 {
		kind = "b"
	}
	r := newRunner(&runner{
		kind: kind, world: f.world, id: fmt.Sprintf("i-%d", n+1), zone: zones[n%len(zones)], rack: fmt.Sprintf("r%d", 1+n/3), service: f.service,
		address: fmt.Sprintf("%s:%d", a.ip, appPort), control: fmt.Sprintf("%s:%d", a.ip, controlPort), cpu: 32000, mem: 128000,
	})
	f.runners = append(f.runners, r)
	f.rec.add("runner %s comes at %s", r.id, a.name)
	return r.serve()
}

func (f *fleet) start(p *process, own string) error {
	p.file, p.log = filepath.Join(f.dir, p.name+".conf"), filepath.Join(f.dir, p.name+".log")
	text := own + settings + "platform.address=" + f.address(1, storePort) + "\n"
	if f.advice != "" {
		text += "advice=" + f.advice + "\n"
	}
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return err
	}
	return f.run(p)
}

// run starts the process of p, again if it has ended.
func (f *fleet) run(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), "BAMBOOSPREAD_CONFIG="+p.file)
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	f.rec.add("process %s starts", p.name)
	return nil
}

// kill ends a process at once.
func (f *fleet) kill(p *process) {
	f.rec.add("process %s is killed", p.name)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop ends all processes.
func (f *fleet) stop() {
	f.store.setDown(false)
	all := append(append([]*process{}, f.entries...), f.agents...)
	for _, p := range all {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	limit := time.After(stopTimeout)
	for _, p := range all {
		if p.done == nil {
			continue
		}
		select {
		case <-p.done:
		case <-limit:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollPause) {
		ready := 0
		for _, e := range f.entries {
			client := http.Client{Timeout: time.Second}
			a, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", e.ip, readinessPort))
			if err != nil {
				continue
			}
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return errors.New("the entries aren't ready in time")
}

// lastWriter returns the entry that holds the ownership, as the store's record names it.
func (f *fleet) lastWriter() *process {
	var o struct {
		Address string `json:"address"`
	}
	if json.Unmarshal(f.store.value("cells/main/owner"), &o) == nil {
		for _, e := range f.entries {
			if strings.HasPrefix(o.Address, e.ip+":") {
				return e
			}
		}
	}
	return nil
}
