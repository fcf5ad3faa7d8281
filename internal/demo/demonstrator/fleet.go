package demonstrator

// fleetText is the fleet text that the operator of the demo applies.
const fleetText = `fleet: demo
availability-zones:
  - {name: zone-a}
  - {name: zone-b}
  - {name: zone-c}
tenants:
  - name: packhouse
    weight: 2
  - name: office
    weight: 1
services:
  - name: labelling
    tenant: packhouse
    needs: {processors: 2, memory: 4GiB}
    slots: 8
    connections: 64
    latency-objective: 100ms
task-classes:
  - name: label-batch
    needs: {processors: 1, memory: 1GiB}
    run-time: 1s
    checkpoint: true
  - name: sorting-run
    needs: {processors: 2, memory: 2GiB}
    run-time: 2s
    checkpoint: true
queues:
  - {name: labels, slack: 2, target: 1s}
policy:
  evictions-per-minute: 600
  outage-lease: 60s
`
