package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/operator/requester"
	"bamboospread/internal/standin/executor"
	"bamboospread/internal/standin/responder"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/standin/worker"
	"bamboospread/tests/proxy"
)

// Config describes a cluster of processes.
type Config struct {
	Entries      int // default 2
	VMs          int // default 3; VM i is in zone i modulo Zones and rack i/3
	Zones        int // default 3, named zone-a, zone-b, ...
	Service      string
	StoreArgs    []string
	EntryArgs    []string
	AgentArgs    []string
	WorkerArgs   []string
	UpstreamArgs []string
	JobVMs       int // VMs with an executor instead of a worker; with NoVMs they are the only ones
	NoVMs        bool
	ExecutorArgs []string
	// ExecutorLabels are the labels of each of the JobVMs; nil: none.
	ExecutorLabels [][]string
	// ExecutorLinks is how many of the JobVMs, the last ones, have two proxies between
	// agent and executor, one behind the other. On the others an agent's connection is refused when the
	// executor does not listen.
	ExecutorLinks int
	// LocalLinks puts proxies between the agent of each VM and its worker, and between
	// the agent and the upstream.
	LocalLinks bool
}

// Cluster runs a store, entries and VMs as processes. Each entry reaches the
// store through a proxy of its own, and each entry's RPC address is behind a
// proxy that identifies connections by the name of the process that opened them.
type Cluster struct {
	Store    *Process
	StoreURL string
	Entries  []*Entry
	VMs      []*VM
	JobVMs   []*JobVM
	dir      string
	t        testing.TB
	mu       sync.Mutex
	dialers  []*Process // processes that open connections to entries
}

// Entry is an entry process with its proxies.
type Entry struct {
	*Process
	HTTP      string       // host:port for callers and operators
	StoreLink *proxy.Proxy // from this entry to the store
	RPCLink   *proxy.Proxy // from agents and other entries to this one
}

// VM consists of a worker, an upstream and an agent process.
type VM struct {
	Name, Zone, Rack        string
	Worker, Upstream, Agent *Process
	WorkerURL, UpstreamURL  string       // direct, not through the links
	WorkerLink              *proxy.Proxy // from the agent to the worker; nil: no proxy
	UpstreamLink            *proxy.Proxy // from the agent to the upstream, for requests; nil: no proxy
	Admin                   string       // host:port of the agent's /metrics
}

// New starts a cluster and waits until every process is ready.
func New(t testing.TB, c Config) *Cluster {
	t.Helper()
	setDefaults(&c)
	storeAddress := FreeAddress(t)
	k := &Cluster{t: t, dir: t.TempDir(), StoreURL: "http://" + storeAddress}
	k.Store = StartProcess(t, "store", append([]string{"standin", "store", "--listen", storeAddress}, c.StoreArgs...)...)
	k.wait(k.StoreURL + "/control/calls")
	for i := range c.Entries {
		k.Entries = append(k.Entries, k.startEntry(c, i, storeAddress))
	}
	for _, e := range k.Entries {
		k.wait("http://" + e.HTTP + "/readyz")
	}
	for i := range c.VMs {
		k.VMs = append(k.VMs, k.startVM(c, i))
	}
	for _, vm := range k.VMs {
		k.wait("http://" + vm.Admin + "/readyz")
	}
	for i := range c.JobVMs {
		k.JobVMs = append(k.JobVMs, k.startJobVM(c, i))
	}
	return k
}

func setDefaults(c *Config) {
	if c.Entries == 0 {
		c.Entries = 2
	}
	if c.VMs == 0 && !c.NoVMs {
		c.VMs = 3
	}
	if c.Zones == 0 {
		c.Zones = 3
	}
	if c.Service == "" {
		c.Service = "labelling"
	}
}

func (k *Cluster) wait(url string) {
	k.t.Helper()
	WaitFor(k.t, readyLimit, url, func(ctx context.Context) error { return checkURL(ctx, url) })
}

// StartProxy returns a proxy that is closed when the test ends.
func (k *Cluster) StartProxy(c proxy.Config) *proxy.Proxy {
	k.t.Helper()
	p, err := proxy.New(c)
	if err != nil {
		k.t.Fatal(err)
	}
	k.t.Cleanup(p.Close)
	return p
}

func (k *Cluster) startEntry(c Config, i int, storeAddress string) *Entry {
	k.t.Helper()
	name, rpc := fmt.Sprintf("entry-%d", i+1), FreeAddress(k.t)
	e := &Entry{HTTP: FreeAddress(k.t), StoreLink: k.StartProxy(proxy.Config{Target: storeAddress})}
	// Identifying the opener of a connection takes tens of ms, which is acceptable
	// only for long-lived connections.
	e.RPCLink = k.StartProxy(proxy.Config{Target: rpc, Classify: k.peerName})
	var peers []string
	for _, other := range k.Entries {
		peers = append(peers, other.RPCLink.Address())
	}
	args := []string{
		"entry", "--id", name, "--listen", e.HTTP, "--rpc-listen", rpc, "--advertise", e.RPCLink.Address(),
		"--store-url", "http://" + e.StoreLink.Address(), "--zone", zoneName(i % c.Zones), "--peers", strings.Join(peers, ","),
	}
	e.Process = k.startDialer(name, append(args, c.EntryArgs...)...)
	return e
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }

func (k *Cluster) startVM(c Config, i int) *VM {
	k.t.Helper()
	vm := &VM{
		Name: fmt.Sprintf("vm-%d", i+1), Zone: zoneName(i % c.Zones), Rack: fmt.Sprintf("rack-%d", i/3),
		Admin: FreeAddress(k.t),
	}
	worker, upstream, local := FreeAddress(k.t), FreeAddress(k.t), FreeAddress(k.t)
	vm.WorkerURL, vm.UpstreamURL = "http://"+worker, "http://"+upstream
	vm.Worker = StartProcess(k.t, "worker-"+vm.Name, append([]string{
		"standin", "worker", "--listen", worker, "--vm", vm.Name, "--zone", vm.Zone, "--rack", vm.Rack,
		"--witness-file", k.witnessFile("tasks", vm.Name),
	}, c.WorkerArgs...)...)
	k.wait(vm.WorkerURL + "/control/witness")
	workerURL, upstreamArgs := vm.WorkerURL, c.UpstreamArgs
	if c.LocalLinks {
		vm.WorkerLink = k.StartProxy(proxy.Config{Target: worker})
		vm.UpstreamLink = k.StartProxy(proxy.Config{Target: upstream})
		workerURL = "http://" + vm.WorkerLink.Address()
		upstreamArgs = append([]string{"--advertise", vm.UpstreamLink.Address()}, upstreamArgs...)
	}
	vm.Agent = k.startDialer("agent-"+vm.Name, append([]string{
		"agent", "--id", "agent-" + vm.Name, "--vm", vm.Name, "--zone", vm.Zone, "--rack", vm.Rack,
		"--entries", k.Entries[0].RPCLink.Address(), "--worker-url", workerURL,
		"--local-listen", local, "--listen", vm.Admin,
	}, c.AgentArgs...)...)
	vm.Upstream = StartProcess(k.t, "upstream-"+vm.Name, append([]string{
		"standin", "upstream", "--listen", upstream, "--id", "upstream-" + vm.Name, "--service", c.Service,
		"--agent", "http://" + local, "--witness-file", k.witnessFile("runs", vm.Name),
	}, upstreamArgs...)...)
	return vm
}

// SetAgentFaults sets the faults of the links between one VM's agent and all entries.
func (k *Cluster) SetAgentFaults(vm *VM, f proxy.Faults) {
	for _, e := range k.Entries {
		e.RPCLink.SetFor(vm.Agent.Name, f)
	}
}

// ClearFaults ends the faults of all links and of all stand-ins: store, workers,
// upstreams and executors.
func (k *Cluster) ClearFaults() {
	k.t.Helper()
	for _, e := range k.Entries {
		e.StoreLink.Reset()
		e.RPCLink.Reset()
	}
	k.SetStore(storer.Faults{})
	for _, vm := range k.JobVMs {
		k.Control(vm.ExecutorURL+"/control/faults", executor.Faults{})
		if vm.ExecutorLink != nil {
			vm.ExecutorLink.Reset()
			vm.ExecutorFarLink.Reset()
		}
	}
	for _, vm := range k.VMs {
		if vm.WorkerLink != nil {
			vm.WorkerLink.Reset()
			vm.UpstreamLink.Reset()
		}
		k.Control(vm.WorkerURL+"/control/faults", worker.Faults{})
		k.Control(vm.UpstreamURL+"/control/modes", responder.Modes{})
	}
}

// SetStore replaces the faults of the store.
func (k *Cluster) SetStore(f storer.Faults) {
	k.t.Helper()
	k.Control(k.StoreURL+"/control/faults", f)
}

// Control posts faults or modes to a stand-in.
func (k *Cluster) Control(url string, body any) {
	k.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		k.t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		k.t.Fatalf("control %s: %v", url, err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		k.t.Fatalf("control %s: %s", url, resp.Status)
	}
}

// Operator returns a client of the operator API that uses all entries.
func (k *Cluster) Operator() *requester.Requester {
	var entries []string
	for _, e := range k.Entries {
		entries = append(entries, e.HTTP)
	}
	return requester.New(requester.Config{Entries: entries})
}

// ApplyFleet applies the first fleet text.
func (k *Cluster) ApplyFleet(text string) {
	k.t.Helper()
	o := requester.ApplyOptions{Text: []byte(text), ChangeID: "first"}
	if _, err := k.Operator().Apply(context.Background(), o); err != nil {
		k.t.Fatalf("apply the fleet text: %v", err)
	}
}

func (k *Cluster) witnessFile(kind, vm string) string {
	return filepath.Join(k.dir, kind+"-"+vm+".jsonl")
}

// peerName returns the name of the process that opened a connection accepted on
// the loopback interface, or an empty string if it is not found. It looks up the
// inode of the opener's socket by port and then the process that has that inode
// open. It retries, since a new process may not be in dialers yet.
func (k *Cluster) peerName(c net.Conn) string {
	for range 20 {
		// Looked up again on each try: the kernel's table may miss a socket while
		// other sockets are opened and closed.
		inode := inodeOf(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
		if inode == closedInode {
			return "" // the opener has closed it, so no process has the inode
		}
		socket := "socket:[" + inode + "]"
		k.mu.Lock()
		dialers := slices.Clone(k.dialers)
		k.mu.Unlock()
		for _, p := range dialers {
			dir := fmt.Sprintf("/proc/%d/fd", p.PID())
			files, _ := os.ReadDir(dir) // none if the process has ended
			for _, f := range files {
				if target, _ := os.Readlink(filepath.Join(dir, f.Name())); target == socket {
					return p.Name
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ""
}

// startDialer starts a process that opens connections to entries.
func (k *Cluster) startDialer(name string, args ...string) *Process {
	k.t.Helper()
	p := StartProcess(k.t, name, args...)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dialers = append(k.dialers, p)
	return p
}

// closedInode is the inode that the kernel lists for a socket that its process has closed.
const closedInode = "0"

// maxSocketTableAge is how long a read of the kernel's socket table is reused. All
// tests share it: the table holds thousands of closed sockets while many tests run,
// and reading it for each connection took more time than the tests (11 GB and 4
// processors).
const maxSocketTableAge = 10 * time.Millisecond

var sockets struct {
	sync.Mutex
	readAt time.Time
	inodes map[string]string // by local and remote address as the kernel writes them
}

// inodeOf returns the inode of the socket at the opener's end of a connection. It
// matches both ports, since a closed connection from the same port to another one
// is listed too.
func inodeOf(openerPort, acceptorPort int) string {
	sockets.Lock()
	defer sockets.Unlock()
	if time.Since(sockets.readAt) > maxSocketTableAge {
		sockets.inodes, sockets.readAt = readSockets(), time.Now()
	}
	return sockets.inodes[fmt.Sprintf("0100007F:%04X 0100007F:%04X", openerPort, acceptorPort)]
}

func readSockets() map[string]string {
	const localAddress, remoteAddress, inode = 1, 2, 9 // columns
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	inodes := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		if columns := strings.Fields(line); len(columns) > inode {
			inodes[columns[localAddress]+" "+columns[remoteAddress]] = columns[inode]
		}
	}
	return inodes
}
