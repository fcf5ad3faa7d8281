package harness

import (
	"fmt"
	"sort"

	"bamboospread/internal/standin/executor"
	"bamboospread/tests/proxy"
)

// JobVM is an executor and an agent.
type JobVM struct {
	Name, Zone, Rack string
	Executor, Agent  *Process
	ExecutorURL      string       // without the link
	ExecutorLink     *proxy.Proxy // from the agent; nil: none
}

func (k *Cluster) startJobVM(c Config, i int) *JobVM {
	k.t.Helper()
	vm := &JobVM{Name: fmt.Sprintf("job-vm-%d", i+1), Zone: zoneName(i % c.Zones), Rack: fmt.Sprintf("rack-%d", i/3)}
	address := FreeAddress(k.t)
	vm.ExecutorURL = "http://" + address
	vm.Executor = StartProcess(k.t, "executor-"+vm.Name, append([]string{
		"standin", "executor", "--listen", address, "--vm", vm.Name, "--witness-file", k.witnessFile("jobs", vm.Name),
	}, c.ExecutorArgs...)...)
	k.wait(vm.ExecutorURL + "/control/witness")
	agentsURL := vm.ExecutorURL
	if i >= c.JobVMs-c.ExecutorLinks {
		vm.ExecutorLink = k.Link(proxy.Config{Target: address})
		agentsURL = "http://" + vm.ExecutorLink.Address()
	}
	admin := FreeAddress(k.t)
	vm.Agent = k.startParty("agent-"+vm.Name, append([]string{
		"agent", "--id", "agent-" + vm.Name, "--vm", vm.Name, "--zone", vm.Zone, "--rack", vm.Rack,
		"--entries", k.entryAddresses(), "--executor-url", agentsURL,
		"--local-listen", FreeAddress(k.t), "--listen", admin,
	}, c.AgentArgs...)...)
	k.wait("http://" + admin + "/readyz")
	return vm
}

// entryAddresses are the RPC addresses of all entries, so that an agent finds the
// owner also while the first entry is down.
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

// CutJobAgent breaks or restores the links of one VM's agent to all entries.
func (k *Cluster) CutJobAgent(vm *JobVM, f proxy.Faults) {
	for _, e := range k.Entries {
		e.RPCLink.SetFor(vm.Agent.Name, f)
	}
}

// JobEvents returns what all executors recorded, in the order of time.
func (k *Cluster) JobEvents() []executor.Event {
	k.t.Helper()
	var all []executor.Event
	for _, vm := range k.JobVMs {
		all = append(all, readLines[executor.Event](k.t, k.witnessFile("jobs", vm.Name))...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}
