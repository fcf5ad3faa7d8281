package recorder

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/fleet/parser"
	"bamboospread/internal/store/keeper"
)

const text = "fleet: f\navailability-zones: [{name: a}, {name: b, state: out}, {name: c}]\n"

func record() Record {
	r := Record{Version: 4, Text: text, ZonesOut: []string{"c", "gone"}}
	return r.Next("id-5", "digest", time.Unix(1, 0))
}

func TestDecodeReturnsEffectiveFleet(t *testing.T) {
	value, err := Encode(record())
	if err != nil {
		t.Fatal(err)
	}
	got, fleet, err := Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(record(), got); diff != "" {
		t.Error(diff)
	}
	if fleet.Version() != 5 || fleet.ZoneIsOut("a") || !fleet.ZoneIsOut("b") || !fleet.ZoneIsOut("c") {
		t.Errorf("version %d, zones %v", fleet.Version(), fleet.Zones())
	}
}

func TestDecodeRejects(t *testing.T) {
	tests := []struct {
		name, value string
		version     int64
	}{
		{"empty", "", 0},
		{"not JSON", "{", 0},
		{"text of another type", `{"version":7,"text":{"new":"form"}}`, 7},
		{"no version", `{"text":"fleet: f"}`, 0},
		{"text with an unknown key", `{"version":8,"text":"fleet: f\nnew-key: 1\navailability-zones: [{name: a}]"}`, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := Decode([]byte(tt.value))
			var bad ErrUnreadable
			if !errors.As(err, &bad) || bad.Version != tt.version {
				t.Errorf("got %v, want ErrUnreadable of version %d", err, tt.version)
			}
		})
	}
}

// TestLargestTextFitsStore checks that the largest text that the parser accepts can
// be stored together with a full list of changes.
func TestLargestTextFitsStore(t *testing.T) {
	r := Record{Text: text + strings.Repeat("#\"<&\n", (parser.MaxTextBytes-len(text))/5)}
	for i := range 2 * MaxRecentChanges {
		r = r.Next(strings.Repeat("x", 120)+fmt.Sprint(i), Digest("x"), time.Now())
	}
	value, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > keeper.MaxValueBytes || len(r.RecentChanges) != MaxRecentChanges {
		t.Errorf("%d bytes, %d changes", len(value), len(r.RecentChanges))
	}
	if _, ok := r.FindChange(r.ChangeID); !ok {
		t.Error("the latest change is not in the list")
	}
}

// FuzzDecode searches for stored values that crash the process, or that are accepted
// but decoded into a fleet that contradicts the record.
func FuzzDecode(f *testing.F) {
	value, err := Encode(record())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"version":-1}`))
	f.Add([]byte(`{"version":1e9,"text":"a: &a [*a]","zones-out":null}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, fleet, err := Decode(value)
		if err != nil {
			return
		}
		if r.Version < 1 || fleet.Version() != r.Version {
			t.Errorf("version %d was decoded as %d", r.Version, fleet.Version())
		}
		for _, z := range r.ZonesOut {
			if !fleet.ZoneIsOut(z) {
				t.Errorf("zone %q is in although it was taken out", z)
			}
		}
	})
}
