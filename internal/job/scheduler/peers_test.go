package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

func testPeers(entries int) (*peers, *time.Time) {
	now := time.Now()
	p := newPeers(func() time.Time { return now })
	for n := range entries {
		p.add(messenger.PeerAddress{EntryID: fmt.Sprintf("entry-%03d", n), Address: fmt.Sprint("10.0.0.", n)})
	}
	return p, &now
}

// Guards against lists of entries whose size and number of updates grow with entries times agents,
// and against one entry that all agents ask first.
func TestNamedEntriesAreFewAndSpread(t *testing.T) {
	for _, tt := range []struct{ entries, agents int }{{3, 11}, {184, 804}, {500, 2000}} {
		t.Run(fmt.Sprintf("%d entries, %d agents", tt.entries, tt.agents), func(t *testing.T) {
			const most = 8 // entries that an agent is told of
			p, _ := testPeers(tt.entries)
			named, before := make(map[string]int), make(map[string][]messenger.PeerAddress)
			for n := range tt.agents {
				agent := fmt.Sprint("vm-", n)
				before[agent] = p.choose(agent)
				for _, e := range before[agent] {
					named[e.EntryID]++
				}
				if len(before[agent]) != min(tt.entries, most) {
					t.Fatalf("%d entries named", len(before[agent]))
				}
			}
			mean := float64(tt.agents*min(tt.entries, most)) / float64(tt.entries)
			for id, n := range named {
				if float64(n) > 2*mean {
					t.Errorf("%s is named to %d agents, the mean is %.1f", id, n, mean)
				}
			}
			p.add(messenger.PeerAddress{EntryID: "entry-new", Address: "10.0.1.1"})
			changed := 0
			for agent, list := range before {
				if !slices.Equal(list, p.choose(agent)) {
					changed++
				}
			}
			if float64(changed) > 2*mean+1 {
				t.Errorf("one more entry changes %d of %d lists, the mean that an entry is in is %.1f", changed, tt.agents, mean)
			}
		})
	}
}

func TestEntriesWithoutContactAreNotNamed(t *testing.T) {
	p, now := testPeers(3)
	version := p.currentVersion()
	*now = now.Add(peerTTL + time.Second)
	p.add(messenger.PeerAddress{EntryID: "entry-000", Address: "10.0.0.0"})
	if got := p.choose("vm"); len(got) != 1 || got[0].EntryID != "entry-000" {
		t.Errorf("named %+v", got)
	}
	if p.currentVersion() == version {
		t.Error("the version has not changed")
	}
	version = p.currentVersion()
	*now = now.Add(time.Second)
	p.add(messenger.PeerAddress{EntryID: "entry-000", Address: "10.0.0.0"})
	if p.currentVersion() != version {
		t.Error("the version has changed without an entry that comes or goes")
	}
}

// Guards against an owner that makes its calls by way of itself, and entries that ask themselves.
func TestEntryIsNotNamedToItself(t *testing.T) {
	p, _ := testPeers(3)
	for _, e := range p.choose("entry-001") {
		if e.EntryID == "entry-001" {
			t.Error("the entry is named to itself")
		}
	}
}
