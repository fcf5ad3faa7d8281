package integration

import (
	"testing"
	"time"

	"bamboospread/internal/standin/storer"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

// TestLeaseOfOwnerOfTasksEndsEarly guards against tasks of classes that run twice at once: the store drops the
// lease of an owner that can't reach it, that owner renews the lease of a VM until its own has expired by its clock,
// and the next one counts on none after its takeover.
func TestLeaseOfOwnerOfTasksEndsEarly(t *testing.T) {
	t.Parallel()
	const ownerLease = 2 * testOwnerLease // the VM is granted leases for long after the takeover
	r := newLinkedCellTestbed(t, harness.Seed(t), 3, harness.FleetText, false, "--owner-lease", ownerLease.String())
	vm := r.submitLongTasks()
	divide := func(owner *harness.Entry) {
		for _, e := range r.Entries {
			e.StoreLink.Reset()
			e.RPCLink.Reset()
			for _, other := range r.VMs {
				switch {
				case other == vm && e != owner:
					e.RPCLink.SetFor(other.Agent.Name, proxy.Faults{Cut: proxy.BothDirections})
				case other != vm && e == owner:
					e.RPCLink.SetFor(other.Agent.Name, proxy.Faults{Refuse: true})
				}
			}
		}
		owner.StoreLink.Set(proxy.Faults{Cut: proxy.BothDirections})
	}
	r.unreachable[vm.Name] = true
	_, epoch, _ := revokeOwner(t, r.Cluster, revocation{"main", divide, storer.Faults{}})
	awaitNextOwner(t, r.Cluster, "main", epoch)
	time.Sleep(ownerLease + testOutageLease + time.Second)
	r.ClearFaults()
	r.awaitCompleted()
	r.checkNoDuplicates()
	r.checkCapacity()
}
