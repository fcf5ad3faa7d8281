package calibrator

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a new owner that sends urgent tasks to slow VMs again: it knows them from the snapshot, and an
// older snapshot says less.
func TestSnapshotRestoresSpeeds(t *testing.T) {
	a := newArrivals(1)
	a.speed = slowBetween(6, 10*time.Second, 18*time.Second)
	a.run(13 * time.Second)
	now := begin.Add(13 * time.Second)
	value, err := a.c.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	if err := next.Decode(value, now.Add(time.Minute)); err != nil { // by another clock
		t.Fatal(err)
	}
	for vm := range 6 {
		before, after := a.c.Speed(name(vm), now), next.Speed(name(vm), now.Add(time.Minute))
		if !next.Slow(name(vm)) || after.Factor < before.Factor*0.99 || after.Factor > before.Factor*1.01 {
			t.Errorf("%s: %+v before, %+v after, slow %t", name(vm), before, after, next.Slow(name(vm)))
		}
	}
	if len(next.kinds) != len(a.c.kinds) {
		t.Errorf("%d kinds of %d", len(next.kinds), len(a.c.kinds))
	}
	if again, _ := a.c.Encode(now); string(again) != string(value) {
		t.Error("the same state is encoded differently")
	}
}

// Guards against a record that grows with the fleet.
func TestSnapshotIsBounded(t *testing.T) {
	c := New()
	for n := range 5000 {
		v := c.vm(fmt.Sprint("a-long-name-of-a-vm-in-a-zone-", n))
		v.at, v.isSlow, v.spread = begin, n == 4999, 0.1234
		for i := range 2 {
			c.addToLevels("vm", &run{step: fmt.Sprint("s", n, i), kind: kind{fmt.Sprint("queue-", n), fmt.Sprint("image-", i)}, own: 0.5, at: begin})
		}
	}
	value, err := c.Encode(begin)
	if err != nil || len(value) > 50_000 {
		t.Fatalf("%d bytes, %v", len(value), err)
	}
	next := New()
	if err := next.Decode(value, begin); err != nil || next.SlowCount() != 1 {
		t.Errorf("%v; %d slow VMs", err, next.SlowCount())
	}
	if len(c.kinds) > maxKinds || len(c.steps) > maxSteps {
		t.Errorf("%d kinds, %d steps", len(c.kinds), len(c.steps))
	}
}

// Guards against decisions by a damaged record: it is refused whole, with the reason.
func TestDamagedSnapshotIsRefusedWhole(t *testing.T) {
	const good = `{"vm":"good","log":-1.5,"spread":0.2,"age-ms":10,"slow":true}`
	tests := []struct{ name, value, want string }{
		{"cut off", `{"version":1,"within":0.1,"vms":[` + good, "unexpected end"},
		{"version of a newer build", `{"version":2,"within":0.1,"vms":[` + good + `]}`, "version 2 is not known"},
		{"no version", `{"within":0.1,"vms":[` + good + `]}`, "field version: missing"},
		{"speed out of range", `{"version":1,"within":0.1,"vms":[` + good + `,{"vm":"b","log":-70,"spread":0.2,"age-ms":0}]}`, `VM "b" has log -70`},
		{"negative age", `{"version":1,"within":0.1,"vms":[` + good + `,{"vm":"b","log":0,"spread":0.2,"age-ms":-1}]}`, "age -1 ms"},
		{"VM without a name", `{"version":1,"within":0.1,"vms":[` + good + `,{"log":0,"spread":0.2}]}`, "field vms[1].vm: missing"},
		{"kind without a queue", `{"version":1,"within":0.1,"vms":[` + good + `],"kinds":[{"mean":0,"variance":1}]}`, "field kinds[0].queue: missing"},
		{"null", `null`, "null"},
		{"VM without a speed", `{"version":1,"within":0.1,"vms":[` + good + `,{"vm":"b","spread":0.2,"age-ms":0}]}`, "vms[1].log"},
		{"VM without an age", `{"version":1,"within":0.1,"vms":[` + good + `,{"vm":"b","log":0,"spread":0.2}]}`, "vms[1].age-ms"},
		{"VM that is null", `{"version":1,"within":0.1,"vms":[` + good + `,null]}`, "vms[1]"},
		{"kind without a mean", `{"version":1,"within":0.1,"vms":[` + good + `],"kinds":[{"queue":"q","variance":1,"count":3}]}`, "kinds[0].mean"},
		{"kind without a count", `{"version":1,"within":0.1,"vms":[` + good + `],"kinds":[{"queue":"q","mean":0,"variance":1}]}`, "kinds[0].count"},
		{"no spread", `{"version":1,"vms":[` + good + `]}`, "field within: missing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			if err := c.Decode([]byte(tt.value), begin); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v", err)
			}
			if c.SlowCount() > 0 || len(c.vms) > 0 {
				t.Error("part of it was restored")
			}
		})
	}
	c := New()
	if err := c.Decode([]byte(`{"version":1,"within":0.1,"later-field":3,"vms":[{"vm":"old","log":-1.5,"spread":0.2,"age-ms":60000,"slow":true}]}`), begin); err != nil || c.SlowCount() > 0 {
		t.Errorf("%v; a speed of a minute ago was restored: %t", err, c.Slow("old"))
	}
}

// Guards against a panic, and against parts of a snapshot that is refused.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{`{"version":1,"within":0.1,"vms":[{"vm":"a","log":-1.5,"spread":0.2,"age-ms":10}],"kinds":[{"queue":"q","mean":0,"variance":1,"count":2}]}`, `null`, `{"version":1,"vms":[null]}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		c := New()
		if err := c.Decode(value, begin); err != nil && (len(c.vms) > 0 || len(c.kinds) > 0) {
			t.Errorf("parts of a refused snapshot are restored: %v", err)
		}
	})
}
