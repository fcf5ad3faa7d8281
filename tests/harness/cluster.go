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
	// ExecutorLinks is how many of the JobVMs, the last ones, have a proxy between
	// agent and executor. The others show an agent that no process listens.
	ExecutorLinks int
}

// Cluster is a store, entries and VMs as processes, with a proxy before the
// store for each entry and before the RPC address of each entry. On the latter
// connections are told apart by the name of the process that opened them.
type Cluster struct {
	Store    *Process
	StoreURL string
	Entries  []*Entry
	VMs      []*VM
	JobVMs   []*JobVM
	dir      string
	t        testing.TB
	mu       sync.Mutex
	parties  []*Process // those that open connections to entries
}

// Entry is an entry with its links.
type Entry struct {
	*Process
	HTTP      string       // host:port for callers and operators
	StoreLink *proxy.Proxy // from this entry to the store
	RPCLink   *proxy.Proxy // from agents and other entries to this one
}

// VM is a worker, an upstream and an agent.
type VM struct {
	Name, Zone, Rack        string
	Worker, Upstream, Agent *Process
	WorkerURL, UpstreamURL  string
	Admin                   string // host:port of the agent's /metrics
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

// Link returns a proxy that ends with the test.
func (k *Cluster) Link(c proxy.Config) *proxy.Proxy {
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
	e := &Entry{HTTP: FreeAddress(k.t), StoreLink: k.Link(proxy.Config{Target: storeAddress})}
	// Finding out the opener takes tens of ms, which only long-lived connections
	// can bear.
	e.RPCLink = k.Link(proxy.Config{Target: rpc, Classify: k.nameOfPeer})
	var peers []string
	for _, other := range k.Entries {
		peers = append(peers, other.RPCLink.Address())
	}
	args := []string{
		"entry", "--id", name, "--listen", e.HTTP, "--rpc-listen", rpc, "--advertise", e.RPCLink.Address(),
		"--store-url", "http://" + e.StoreLink.Address(), "--zone", zoneName(i % c.Zones), "--peers", strings.Join(peers, ","),
	}
	e.Process = k.startParty(name, append(args, c.EntryArgs...)...)
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
	vm.Agent = k.startParty("agent-"+vm.Name, append([]string{
		"agent", "--id", "agent-" + vm.Name, "--vm", vm.Name, "--zone", vm.Zone, "--rack", vm.Rack,
		"--entries", k.Entries[0].RPCLink.Address(), "--worker-url", vm.WorkerURL,
		"--local-listen", local, "--listen", vm.Admin,
	}, c.AgentArgs...)...)
	vm.Upstream = StartProcess(k.t, "upstream-"+vm.Name, append([]string{
		"standin", "upstream", "--listen", upstream, "--id", "upstream-" + vm.Name, "--service", c.Service,
		"--agent", "http://" + local, "--witness-file", k.witnessFile("runs", vm.Name),
	}, c.UpstreamArgs...)...)
	return vm
}

// CutAgent breaks or restores the links of one VM's agent to all entries.
func (k *Cluster) CutAgent(vm *VM, f proxy.Faults) {
	for _, e := range k.Entries {
		e.RPCLink.SetFor(vm.Agent.Name, f)
	}
}

// Heal ends the faults of all links, of the store, workers and upstreams.
func (k *Cluster) Heal() {
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
		}
	}
	for _, vm := range k.VMs {
		k.Control(vm.WorkerURL+"/control/faults", worker.Faults{})
		k.Control(vm.UpstreamURL+"/control/modes", responder.Modes{})
	}
}

// SetStore replaces the faults of the store.
func (k *Cluster) SetStore(f storer.Faults) {
	k.t.Helper()
	k.Control(k.StoreURL+"/control/faults", f)
}

// Control posts faults to a stand-in.
func (k *Cluster) Control(url string, body any) {
	k.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		k.t.Fatal(err)
	}
	a, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		k.t.Fatalf("control %s: %v", url, err)
	}
	a.Body.Close()
	if a.StatusCode != http.StatusOK {
		k.t.Fatalf("control %s: %s", url, a.Status)
	}
}

// Operator returns a client of the operators' interface through all entries.
func (k *Cluster) Operator() *requester.Requester {
	var entries []string
	for _, e := range k.Entries {
		entries = append(entries, e.HTTP)
	}
	return requester.New(requester.Config{Entries: entries})
}

// ApplyFleet puts the first fleet text in force.
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

// nameOfPeer returns the name of the process at the other end of a connection
// accepted on the loopback. It finds the socket's inode by its port, and the
// process that has it open; that one may be too new to be listed.
func (k *Cluster) nameOfPeer(c net.Conn) string {
	for range 20 {
		// Read anew each time: the kernel's list may miss a socket while others
		// come and go.
		inode := inodeOf(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
		if inode == closedInode {
			return "" // its opener has closed it; searching on would only take time
		}
		socket := "socket:[" + inode + "]"
		k.mu.Lock()
		parties := slices.Clone(k.parties)
		k.mu.Unlock()
		for _, p := range parties {
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

// startParty starts a process that opens connections to entries.
func (k *Cluster) startParty(name string, args ...string) *Process {
	k.t.Helper()
	p := StartProcess(k.t, name, args...)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.parties = append(k.parties, p)
	return p
}

// closedInode is what the kernel lists for a socket that its process has closed.
const closedInode = "0"

// socketTableAge is how old the list of sockets may be. All tests share it: read
// for each connection by itself, the list, which holds thousands of closed sockets
// while many tests run, took more time than the tests (11 GB and 4 processors).
const socketTableAge = 10 * time.Millisecond

var sockets struct {
	sync.Mutex
	readAt time.Time
	inodes map[string]string // by local and remote address as the kernel writes them
}

// inodeOf returns the inode of the socket at the opener's end of a connection. Both
// ports count: a closed connection from the same port to another one is listed too.
func inodeOf(from, to int) string {
	sockets.Lock()
	defer sockets.Unlock()
	if time.Since(sockets.readAt) > socketTableAge {
		sockets.inodes, sockets.readAt = readSockets(), time.Now()
	}
	return sockets.inodes[fmt.Sprintf("0100007F:%04X 0100007F:%04X", from, to)]
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
