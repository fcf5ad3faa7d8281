package harness

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"bamboospread/internal/standin/executor"
	"bamboospread/tests/proxy"
)

// JobVM consists of an executor and an agent process.
type JobVM struct {
	Name, Zone, Rack string
	Executor, Agent  *Process
	ExecutorURL      string       // direct, not through ExecutorLink
	ExecutorLink     *proxy.Proxy // from the agent to the executor; nil: no proxy
	// ExecutorFarLink is between ExecutorLink and the executor: what it holds, it delivers also after
	// ExecutorLink has reset its connections; nil: no proxy.
	ExecutorFarLink *proxy.Proxy
	agentArgs       []string // without its addresses and the executor's
}

func (k *Cluster) startJobVM(c Config, i int) *JobVM {
	k.t.Helper()
	vm := &JobVM{Name: fmt.Sprintf("job-vm-%d", i+1), Zone: zoneName(i % c.Zones), Rack: fmt.Sprintf("rack-%d", i/3)}
	address := FreeAddress(k.t)
	vm.ExecutorURL = "http://" + address
	args := append([]string{
		"standin", "executor", "--listen", address, "--vm", vm.Name, "--witness-file", k.witnessFile("jobs", vm.Name),
	}, c.ExecutorArgs...)
	if c.ExecutorLabels != nil {
		args = append(args, "--labels", strings.Join(c.ExecutorLabels[i], ","))
	}
	vm.Executor = StartProcess(k.t, "executor-"+vm.Name, args...)
	k.wait(vm.ExecutorURL + "/control/witness")
	executorURL := vm.ExecutorURL
	if i >= c.JobVMs-c.ExecutorLinks {
		vm.ExecutorFarLink = k.StartProxy(proxy.Config{Target: address})
		vm.ExecutorLink = k.StartProxy(proxy.Config{Target: vm.ExecutorFarLink.Address()})
		executorURL = "http://" + vm.ExecutorLink.Address()
	}
	vm.agentArgs = append([]string{
		"agent", "--id", "agent-" + vm.Name, "--vm", vm.Name, "--zone", vm.Zone, "--rack", vm.Rack, "--entries", k.entryAddresses(),
	}, c.AgentArgs...)
	vm.Agent = k.startJobAgent(vm, "agent-"+vm.Name, executorURL)
	return vm
}

// startJobAgent starts a process of a job VM's agent and waits until it is ready.
func (k *Cluster) startJobAgent(vm *JobVM, name, executorURL string) *Process {
	k.t.Helper()
	admin := FreeAddress(k.t)
	p := k.startDialer(name, append(slices.Clone(vm.agentArgs), "--executor-url", executorURL, "--local-listen", FreeAddress(k.t), "--listen", admin)...)
	k.wait("http://" + admin + "/readyz")
	return p
}

// StartNextAgent starts another process of a job VM's agent beside the present one, which may stand still.
// It reaches the executor directly.
func (k *Cluster) StartNextAgent(vm *JobVM) *Process {
	k.t.Helper()
	return k.startJobAgent(vm, "next-agent-"+vm.Name, vm.ExecutorURL)
}

// entryAddresses returns the RPC addresses of all entries, so that an agent finds
// the owner even while the first entry is down.
func (k *Cluster) entryAddresses() string {
	text := ""
	for i, e := range k.Entries {
		if i > 0 {
			text += ","
		}
		text += e.RPCLink.Address()
	}
	return text
}

// SetJobAgentFaults sets the faults of the links between one job VM's agent and all
// entries.
func (k *Cluster) SetJobAgentFaults(vm *JobVM, f proxy.Faults) {
	for _, e := range k.Entries {
		e.RPCLink.SetFor(vm.Agent.Name, f)
	}
}

// JobEvents returns the events that all executors recorded, ordered by time.
func (k *Cluster) JobEvents() []executor.Event {
	k.t.Helper()
	var all []executor.Event
	for _, vm := range k.JobVMs {
		all = append(all, readLines[executor.Event](k.t, k.witnessFile("jobs", vm.Name))...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}
