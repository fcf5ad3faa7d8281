package harness

// FleetText describes a fleet of three zones with one service and three task
// classes. Run times are short: a label batch declares 0.5 s, a sorting run 3 s.
const FleetText = `fleet: test
availability-zones:
  - {name: zone-a, state: in}
  - {name: zone-b, state: in}
  - {name: zone-c, state: in}
tenants:
  - {name: packhouse, weight: 4}
  - {name: export-desk, weight: 1}
services:
  - name: labelling
    tenant: packhouse
    needs: {processors: 8, memory: 16GiB}
    slots: 8
    connections: 64
    latency-objective: 250ms
task-classes:
  - {name: label-batch, needs: {processors: 1, memory: 2GiB}, run-time: 500ms, urgent: true, max-attempts: 3}
  - {name: sorting-run, needs: {processors: 4, memory: 12GiB}, run-time: 3s, checkpoint: true, max-attempts: 5}
  - {name: queue-watcher, needs: {processors: 100m, memory: 256MiB}, run-time: 8h, checkpoint: true, max-attempts: 10}
policy:
  tail-latency-weight: 1
  throughput-weight: 3
  eviction-weight: 4
  evictions-per-minute: 60
  outage-lease: 60s
`
