package sharer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/job/specifier"
)

var begin = time.Unix(1_000_000, 0)

const cell = 1000 // cores

func cores(n int64) specifier.Resources { return specifier.Resources{CPUMillis: 1000 * n} }

// at returns the input of an update with accounts of weight 1, by name in the order of use.
func at(after time.Duration, demands ...Demand) Input {
	return Input{Now: begin.Add(after), Capacity: specifier.Resources{CPUMillis: 1000 * cell, MemoryMB: 1000 * cell}, Demands: demands, Accounts: settings(nil)}
}

func settings(known map[string]specifier.Account) func(string) specifier.Account {
	return func(name string) specifier.Account {
		if a, ok := known[name]; ok {
			return a
		}
		return specifier.Account{Name: name, Weight: specifier.DefaultWeight}
	}
}

// Guards against a division that leaves room while an account wants more, or gives an account more
// than its part while another is below its own.
func TestDivisionIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(0, 10).Draw(t, "room")
		claims := make([]Claim, rapid.IntRange(1, 12).Draw(t, "accounts"))
		wanted := 0.0
		for i := range claims {
			claims[i] = Claim{Name: fmt.Sprint(i), Weight: rapid.Float64Range(0.01, 100).Draw(t, "weight"), Wants: rapid.Float64Range(0, 5).Draw(t, "wants")}
			wanted += claims[i].Wants
		}
		const slack = 1e-9
		shares, given := Divide(room, claims), 0.0
		for _, a := range claims {
			given += shares[a.Name]
			if shares[a.Name] > a.Wants+slack {
				t.Fatalf("account %s gets %v and wants %v", a.Name, shares[a.Name], a.Wants)
			}
			for _, b := range claims {
				if shares[a.Name] < a.Wants-slack && shares[b.Name]/b.Weight > shares[a.Name]/a.Weight*(1+slack)+slack {
					t.Fatalf("account %s has %v of %v by weight %v, account %s has %v by %v", a.Name, shares[a.Name], a.Wants, a.Weight, b.Name, shares[b.Name], b.Weight)
				}
			}
		}
		if math.Abs(given-min(room, wanted)) > 1e-6 {
			t.Fatalf("%v given of %v, wanted %v", given, room, wanted)
		}
	})
}

// Guards against an order in which an account with many times the work of others starts its tasks
// before theirs, or in which accounts that are about equal displace each other.
func TestPrecedence(t *testing.T) {
	tests := []struct {
		name    string
		weights map[string]specifier.Account
		demands []Demand
		first   string // its precedence is 0
		last    string // its precedence is above 0; empty: all are 0
	}{
		{"one asks for five times as much", nil, []Demand{
			{Account: "a", Running: cores(500), Waiting: cores(3000)}, {Account: "b", Running: cores(150), Waiting: cores(50)}, {Account: "c", Running: cores(150)},
		}, "b", "a"},
		{"about equal", nil, []Demand{{Account: "a", Running: cores(330), Waiting: cores(100)}, {Account: "b", Running: cores(280), Waiting: cores(100)}}, "b", ""},
		{"alone", nil, []Demand{{Account: "a", Running: cores(900), Waiting: cores(500)}}, "a", ""},
		{"a new account that only waits", nil, []Demand{{Account: "a", Running: cores(900)}, {Account: "b", Waiting: cores(10)}}, "b", "a"},
		{"more by its weight", map[string]specifier.Account{"a": {Name: "a", Weight: 4}}, []Demand{{Account: "a", Running: cores(400)}, {Account: "b", Running: cores(100), Waiting: cores(1)}}, "a", ""},
		{"another priority", nil, []Demand{{Account: "a", Running: cores(900)}, {Account: "b", Priority: 2, Waiting: cores(10)}}, "a", ""},
		{"long-running beside others", nil, []Demand{{Account: "a", Running: cores(900), LongRunning: true}, {Account: "b", Running: cores(10)}}, "a", ""},
		{"by its dominant resource", nil, []Demand{
			{Account: "a", Running: specifier.Resources{CPUMillis: 10_000, MemoryMB: 500_000}}, {Account: "b", Running: cores(100), Waiting: cores(1)},
		}, "b", "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, in := New(), at(0, tt.demands...)
			in.Accounts = settings(tt.weights)
			s.Update(in)
			for k, st := range s.Standings() {
				if k.Account == tt.first && st.Precedence != 0 || k.Account == tt.last && st.Precedence <= 0 || tt.last == "" && st.Precedence != 0 {
					t.Errorf("account %s has the standing %+v", k.Account, st)
				}
			}
		})
	}
}

// Guards against a ledger that forgets at once, so that an account with many short tasks counts as new
// after each, and against one that holds a burst against its account forever.
func TestRecentUseHalves(t *testing.T) {
	s := New()
	for after := time.Duration(0); after <= 30*time.Second; after += 100 * time.Millisecond {
		s.Update(at(after, Demand{Account: "a", Running: cores(500)}))
	}
	if recent := s.Standing("a", 0).Recent; math.Abs(recent-0.5) > 0.02 {
		t.Fatalf("recent use %v after 30 s of half of the cell", recent)
	}
	for _, tt := range []struct {
		after     time.Duration
		low, high float64
	}{{HalfLife, 0.23, 0.27}, {2 * HalfLife, 0.11, 0.14}, {20 * HalfLife, 0, 0}} {
		s.Update(at(30*time.Second + tt.after))
		if recent := s.Standing("a", 0).Recent; recent < tt.low || recent > tt.high {
			t.Errorf("recent use %v after %s of nothing, want %v to %v", recent, tt.after, tt.low, tt.high)
		}
	}
	if len(s.recent) > 0 {
		t.Errorf("the ledger keeps %d rows of accounts that are gone", len(s.recent))
	}
}

// Guards against reclaims that take and give the same room by turns: an account stays far above its
// share until it is well below the limit at which it became so.
func TestFarAboveShareHasHysteresis(t *testing.T) {
	s := New()
	for i, tt := range []struct {
		use int64 // of the account; the other wants half of all
		far bool
	}{{600, false}, {740, false}, {760, true}, {700, true}, {610, true}, {590, false}, {700, false}, {800, true}} {
		s.Update(at(time.Duration(i)*time.Second, Demand{Account: "a", Running: cores(tt.use)}, Demand{Account: "b", Running: cores(1000 - tt.use), Waiting: cores(900)}))
		if st := s.Standing("a", 0); st.FarSince.IsZero() == tt.far {
			t.Errorf("update %d: a holds %v of a share of %v, far above since %v, want %t", i, st.Use, st.Share, st.FarSince, tt.far)
		}
	}
}

// Guards against tasks that pass a quota, in any dimension or while not all that runs is known, and
// against quotas that hold what they don't name.
func TestQuota(t *testing.T) {
	quota := map[string]specifier.Account{"a": {Name: "a", Weight: 1, Quota: specifier.Resources{CPUMillis: 10_000, GPUs: 2}}}
	tests := []struct {
		name        string
		account     string
		held, needs specifier.Resources
		unreported  bool
		want        bool
	}{
		{"within", "a", cores(8), cores(2), false, true},
		{"above", "a", cores(8), specifier.Resources{CPUMillis: 2001}, false, false},
		{"a dimension without a limit", "a", cores(8), specifier.Resources{MemoryMB: 1 << 40}, false, true},
		{"accelerators", "a", specifier.Resources{GPUs: 1}, specifier.Resources{GPUs: 2}, false, false},
		{"a task that needs none of what is used up", "a", cores(11), specifier.Resources{GPUs: 1}, false, true},
		{"VMs have not reported", "a", cores(1), cores(1), true, false},
		{"VMs have not reported, no quota", "b", cores(1), cores(1), true, true},
		{"no quota", "b", cores(1e6), cores(1e6), false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, in := New(), at(0)
			in.Accounts, in.Unreported = settings(quota), tt.unreported
			s.Update(in)
			if got := s.QuotaLeaves(tt.account, tt.held, tt.needs); got != tt.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// Guards against an account at its quota whose backlog takes from the share of others.
func TestBacklogAboveQuotaIsNoClaim(t *testing.T) {
	s, in := New(), at(0, Demand{Account: "a", Running: cores(100), Waiting: cores(5000)}, Demand{Account: "b", Running: cores(700), Waiting: cores(100)})
	in.Accounts = settings(map[string]specifier.Account{"a": {Name: "a", Weight: 1, Quota: cores(100)}})
	s.Update(in)
	if st := s.Standing("b", 0); math.Abs(st.Share-0.7) > 1e-9 || !s.Standing("a", 0).OverQuota {
		t.Errorf("b: %+v, a: %+v", st, s.Standing("a", 0))
	}
}

// Guards against a new owner that knows nothing of a burst: it restores the ledger, and what was lost is
// at most what was used since.
func TestNextOwnerKnowsRecentUse(t *testing.T) {
	s := New()
	for after := time.Duration(0); after <= 20*time.Second; after += 100 * time.Millisecond {
		s.Update(at(after, Demand{Account: "a", Running: cores(600)}, Demand{Account: "b", Running: cores(100), LongRunning: true}))
	}
	value, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	if err := next.Decode(value); err != nil {
		t.Fatal(err)
	}
	gap := HalfLife // snapshots are that old at most, and the change takes less
	next.Update(at(20*time.Second+gap, Demand{Account: "a", Running: cores(600)}))
	if before, after := s.Standing("a", 0).Recent, next.Standing("a", 0).Recent; after < before/2 {
		t.Errorf("recent use %v under the next owner, %v before", after, before)
	}
	if next.StandingOf(Key{Account: "b", LongRunning: true}).Recent == 0 {
		t.Error("the use of long-running tasks is lost")
	}
}

// Guards against a damaged snapshot, or one of a newer version, of which a part is taken over.
func TestDamagedSnapshotIsRefusedWhole(t *testing.T) {
	row := `{"account":"a","priority":0,"recent":0.5}`
	tests := []struct{ name, value, want string }{
		{"cut off", `{"version":1,"at-ms":1,"rows":[` + row, "decode shares"},
		{"newer version", `{"version":2,"at-ms":1,"rows":[` + row + `]}`, "version 2"},
		{"negative", `{"version":1,"at-ms":1,"rows":[` + row + `,{"account":"b","priority":0,"recent":-1}]}`, "rows[1]"},
		{"too large a use", `{"version":1,"at-ms":1,"rows":[` + row + `,{"account":"b","priority":0,"recent":1e9}]}`, "rows[1]"},
		{"given twice", `{"version":1,"at-ms":1,"rows":[` + row + `,` + row + `]}`, "rows[1]"},
		{"name too long", `{"version":1,"at-ms":1,"rows":[` + row + `,{"account":"` + strings.Repeat("b", 200) + `","priority":0,"recent":1}]}`, "rows[1]"},
		{"too many rows", `{"version":1,"at-ms":1,"rows":[` + row + strings.Repeat(`,{"account":"b","priority":0,"recent":1}`, 300) + `]}`, "rows, at most"},
		{"too many bytes", `{"version":1,"at-ms":1,"rows":[` + strings.Repeat(" ", 70_000) + row + `]}`, "bytes, at most"},
		{"not JSON", "\x00\x01", "decode shares"},
		{"null", "null", "null"},
		{"without its time", `{"version":1,"rows":[` + row + `]}`, "at-ms: missing"},
		{"row without a use", `{"version":1,"at-ms":1,"rows":[` + row + `,{"account":"b","priority":0}]}`, "rows[1].recent: missing"},
		{"row without a priority", `{"version":1,"at-ms":1,"rows":[` + row + `,{"account":"b","recent":1}]}`, "rows[1].priority: missing"},
		{"row that is null", `{"version":1,"at-ms":1,"rows":[` + row + `,null]}`, "rows[1]: null"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			err := s.Decode([]byte(tt.value))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
			if len(s.recent) > 0 {
				t.Errorf("restored %v", s.recent)
			}
		})
	}
}

// Guards against a snapshot that grows with the number of accounts, or that the next owner refuses as
// too large.
func TestSnapshotIsBounded(t *testing.T) {
	var demands []Demand
	for i := range 3000 {
		demands = append(demands, Demand{Account: strings.Repeat("n", 100) + fmt.Sprint(i), Running: cores(int64(1 + i))})
	}
	s := New()
	s.Update(at(0, demands...))
	s.Update(at(HalfLife, demands...))
	value, err := s.Encode()
	if err != nil || len(value) > maxSnapshotBytes {
		t.Fatalf("%d bytes, error %v", len(value), err)
	}
	next := New()
	if err := next.Decode(value); err != nil || len(next.recent) != maxRows {
		t.Fatalf("%d rows restored, error %v", len(next.recent), err)
	}
	if next.recent[demands[2999].Key()] == 0 {
		t.Error("the largest use is not in the snapshot")
	}
}

// A nil Sharer is that of a deployment that asks for no shares.
func TestNilSharerDecidesNothing(t *testing.T) {
	var s *Sharer
	if s.Standing("a", 0) != (Standing{}) || s.Precedence(Key{}, cores(1)) != 0 || !s.QuotaLeaves("a", cores(1), cores(1)) || s.Standings() != nil {
		t.Error("a nil Sharer has an opinion")
	}
}

// Guards against a panic, and against parts of a snapshot that is refused.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{`{"version":1,"at-ms":1,"rows":[{"account":"a","priority":0,"recent":0.5}]}`, `null`, `{"version":1,"rows":[null]}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		s := New()
		if err := s.Decode(value); err != nil && len(s.recent) > 0 {
			t.Errorf("parts of a refused snapshot are restored: %v", err)
		}
	})
}
