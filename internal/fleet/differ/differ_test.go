package differ

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/fleet/describer"
)

func fleet() describer.Config {
	return describer.Config{
		Name:    "f",
		Zones:   []describer.Zone{{Name: "a", State: "in"}, {Name: "b", State: "in"}},
		Tenants: []describer.Tenant{{Name: "t", Weight: 1}},
		Services: []describer.Service{{
			Name: "s", Tenant: "t", Needs: describer.Resources{Millicores: 500, MemoryBytes: 1 << 30},
			Slots: 8, LatencyObjective: time.Second, DependsOn: []string{"x", "y"},
		}},
		TaskClasses: []describer.TaskClass{{Name: "c", RunTime: time.Minute}},
	}
}

func TestDiff(t *testing.T) {
	tests := []struct {
		name string
		edit func(c *describer.Config)
		want []string
	}{
		{"equal", func(*describer.Config) {}, []string{}},
		{"order is ignored", func(c *describer.Config) {
			c.Zones = []describer.Zone{c.Zones[1], c.Zones[0]}
			c.Services[0].DependsOn = []string{"y", "x"}
		}, []string{}},
		{"version is ignored", func(c *describer.Config) { c.Version = 9 }, []string{}},
		{"fields", func(c *describer.Config) {
			c.Zones[1].State = "out"
			c.Services[0].Needs.Millicores = 1500
			c.Services[0].Needs.MemoryBytes = 1500e6
			c.Policy.OutageLease = time.Minute
		}, []string{
			"changed availability-zone b: state in -> out",
			"changed service s: needs.processors 0.5 -> 1.5",
			"changed service s: needs.memory 1GiB -> 1500MB",
			"changed policy: outage-lease 0s -> 1m0s",
		}},
		{"items", func(c *describer.Config) {
			c.Zones = append(c.Zones[:1], describer.Zone{Name: "c", State: "in"})
			c.TaskClasses = nil
		}, []string{"added availability-zone c: state in", "removed availability-zone b", "removed task-class c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changed := fleet()
			tt.edit(&changed)
			if diff := cmp.Diff(tt.want, Diff(fleet(), changed)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDiffIsSymmetric checks that both directions list the same number of
// differences: an item added in one direction is removed in the other.
func TestDiffIsSymmetric(t *testing.T) {
	draw := func(t *rapid.T) describer.Config {
		c := describer.Config{}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, "tenants") {
			c.Tenants = append(c.Tenants, describer.Tenant{Name: name, Burst: rapid.IntRange(0, 2).Draw(t, "burst")})
		}
		return c
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t), draw(t)
		forward, backward := Diff(a, b), Diff(b, a)
		if len(forward) != len(backward) || len(Diff(a, a)) != 0 {
			t.Errorf("%v\n%v", forward, backward)
		}
	})
}
