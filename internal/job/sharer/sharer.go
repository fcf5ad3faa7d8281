// Package sharer divides the room of a cell between client accounts, by weighted max-min fairness
// over the dominant resource of what runs, what was used lately and what waits. It answers the load
// of one account that asks for many times its usual work. It uses no clock and is not safe for
// concurrent use.
package sharer

import (
	"math"
	"time"

	"bamboospread/internal/job/specifier"
)

// Constants of the ledger.
const (
	// HalfLife is the time in which the weight of past use halves: longer than the gaps between the
	// jobs of a caller, and about as long as jobs may wait.
	HalfLife = 5 * time.Second
	// recentWeight is the weight of recent use against the present one.
	recentWeight = 0.5
	// Step is both the tolerance above the mean use and the step by which the precedence then rises,
	// as a share of the mean: smaller differences are the noise of single tasks.
	Step = 0.2
	// farAbove and farUntil are the factors of the mean use at which an account that holds more than
	// its share begins and stops to be far above it.
	farAbove = 1.5
	farUntil = 1.2
	// negligible is the part of the cell below which recent use is forgotten.
	negligible = 1e-4
	// rounding is the relative error of sums of shares.
	rounding = 1e-9
)

// Key identifies a row of the ledger. Tasks that end and long-running tasks of one priority are
// apart: long-running tasks hold what they have, so that a burst of the others would hardly show
// beside them.
type Key struct {
	Account     string
	Priority    int
	LongRunning bool
}

// tier is what accounts share.
type tier struct {
	priority    int
	longRunning bool
}

func (k Key) tier() tier { return tier{k.Priority, k.LongRunning} }

// Demand is what the jobs of an account hold and want at one priority.
type Demand struct {
	Account     string
	Priority    int
	LongRunning bool
	Running     specifier.Resources
	Waiting     specifier.Resources
}

// Key returns the row of the ledger that the demand belongs to.
func (d Demand) Key() Key { return Key{d.Account, d.Priority, d.LongRunning} }

// Input is the input of an update.
type Input struct {
	Now      time.Time
	Capacity specifier.Resources // of the VMs that accept tasks
	Accounts func(name string) specifier.Account
	Demands  []Demand // one for each row
	// Unreported states that VMs may have runs that are not known.
	Unreported bool
}

// Standing is an account's position at one priority.
type Standing struct {
	Share  float64 // of the cell that it is entitled to now, from 0 to 1
	Use    float64 // dominant share of the cell that its runs hold
	Recent float64 // mean of Use over the last seconds
	Wants  float64 // dominant share of the cell that its waiting tasks need, within its quota
	Waits  bool    // it has waiting tasks
	// Precedence orders accounts: the lower, the sooner a task of the account starts.
	Precedence float64
	OverQuota  bool      // its runs hold as much as its quota allows
	FarSince   time.Time // since when its runs have held far more than its share; zero: they do not
}

// Sharer keeps the ledger of what accounts have used.
type Sharer struct {
	at         time.Time // of the latest update
	capacity   specifier.Resources
	accounts   func(string) specifier.Account
	unreported bool
	recent     map[Key]float64
	storedAt   time.Time // of restored recent use that no update has decayed yet
	standings  map[Key]Standing
	means      map[tier]float64               // counted use by weight, over the active accounts
	held       map[tier]float64               // present use by weight, over the active accounts
	byAccount  map[string]specifier.Resources // what the runs of an account hold
}

// New returns a Sharer with an empty ledger.
func New() *Sharer {
	return &Sharer{
		accounts: func(name string) specifier.Account {
			return specifier.Account{Name: name, Weight: specifier.DefaultWeight}
		},
		recent: make(map[Key]float64), standings: make(map[Key]Standing), means: make(map[tier]float64), held: make(map[tier]float64), byAccount: make(map[string]specifier.Resources),
	}
}

// Update computes the standings.
func (s *Sharer) Update(in Input) {
	s.decay(in)
	s.at, s.capacity, s.accounts, s.unreported = in.Now, in.Capacity, in.Accounts, in.Unreported
	before := s.standings
	s.standings, s.byAccount = make(map[Key]Standing, len(in.Demands)), make(map[string]specifier.Resources)
	for _, d := range in.Demands {
		s.byAccount[d.Account] = s.byAccount[d.Account].Add(d.Running)
	}
	for _, d := range in.Demands {
		s.standings[d.Key()] = Standing{Use: s.dominant(d.Running), Recent: s.recent[d.Key()], Wants: s.dominant(s.withinQuota(d)), Waits: d.Waiting != specifier.Resources{}}
	}
	for k, recent := range s.recent {
		if _, ok := s.standings[k]; !ok {
			s.standings[k] = Standing{Recent: recent}
		}
	}
	s.computeMeans()
	s.computeShares()
	for k, st := range s.standings {
		st.Precedence = s.precedence(k, st.Use)
		st.OverQuota = !s.quotaLeaves(k.Account, s.byAccount[k.Account], specifier.Resources{CPUMillis: 1, MemoryMB: 1})
		st.FarSince = s.farSince(k, before[k].FarSince, in.Now)
		s.standings[k] = st
	}
}

// farSince returns since when a row has been far above its share, given since when it was at the
// update before: it holds more than its share, which is so only while others want more than they have, and
// much more than the mean. Leaving that state needs less use than entering it, so that reclaimed
// room is not given and taken by turns.
func (s *Sharer) farSince(k Key, since, now time.Time) time.Time {
	limit := farAbove
	if !since.IsZero() {
		limit = farUntil
	}
	st := s.standings[k]
	switch {
	case st.Use <= st.Share*(1+rounding) || st.Use/s.weight(k.Account) <= limit*s.held[k.tier()]:
		return time.Time{}
	case since.IsZero():
		return now
	}
	return since
}

// decay moves the recent use of each row towards its present use.
func (s *Sharer) decay(in Input) {
	last := s.at
	if last.IsZero() {
		last = s.storedAt
	}
	keep := 1.0 // without an earlier update there is no time over which the present use counts
	if !last.IsZero() {
		keep = math.Exp2(-max(in.Now.Sub(last), 0).Seconds() / HalfLife.Seconds())
	}
	for k := range s.recent {
		s.recent[k] *= keep
	}
	s.capacity = in.Capacity
	for _, d := range in.Demands {
		if use := s.dominant(d.Running); use > 0 {
			s.recent[d.Key()] += (1 - keep) * use
		}
	}
	for k, recent := range s.recent {
		if recent < negligible {
			delete(s.recent, k)
		}
	}
}

// dominant returns the largest part of the cell's resources that r is.
func (s *Sharer) dominant(r specifier.Resources) float64 {
	return max(part(r.CPUMillis, s.capacity.CPUMillis), part(r.MemoryMB, s.capacity.MemoryMB), part(r.GPUs, s.capacity.GPUs))
}

// Dominant returns the dominant share of resources; it is negative for a decrease.
func (s *Sharer) Dominant(r specifier.Resources) float64 {
	if r.CPUMillis < 0 || r.MemoryMB < 0 || r.GPUs < 0 {
		return -s.dominant(specifier.Resources{}.Sub(r))
	}
	return s.dominant(r)
}

func part(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func (s *Sharer) weight(account string) float64 {
	if w := s.accounts(account).Weight; w > 0 {
		return w
	}
	return specifier.DefaultWeight
}

// counted is the use that counts in the precedence.
func counted(use, recent float64) float64 { return (1-recentWeight)*use + recentWeight*recent }

// computeMeans computes the mean use by weight of each tier over the accounts that hold, want or
// lately used something.
func (s *Sharer) computeMeans() {
	clear(s.means)
	clear(s.held)
	weight := make(map[tier]float64)
	for k, st := range s.standings {
		s.means[k.tier()] += counted(st.Use, st.Recent)
		s.held[k.tier()] += st.Use
		weight[k.tier()] += s.weight(k.Account)
	}
	for t, w := range weight {
		s.means[t] /= w
		s.held[t] /= w
	}
}

// computeShares divides what the runs of each tier hold.
func (s *Sharer) computeShares() {
	claims := make(map[tier][]Claim)
	rooms := make(map[tier]float64)
	for k, st := range s.standings {
		claims[k.tier()] = append(claims[k.tier()], Claim{Name: k.Account, Weight: s.weight(k.Account), Wants: st.Use + st.Wants})
		rooms[k.tier()] += st.Use
	}
	for t, c := range claims {
		for name, share := range Divide(rooms[t], c) {
			k := Key{name, t.priority, t.longRunning}
			st := s.standings[k]
			st.Share = share
			s.standings[k] = st
		}
	}
}

// precedence returns the precedence of a row with the given present use.
func (s *Sharer) precedence(k Key, use float64) float64 {
	mean := s.means[k.tier()]
	if mean <= 0 {
		return 0
	}
	above := counted(use, s.recent[k])/s.weight(k.Account)/mean - 1
	return max(math.Floor(above/Step), 0)
}

// Precedence returns the precedence of a row whose runs hold the given resources: within a round
// they hold more than at the update. A nil Sharer returns 0.
func (s *Sharer) Precedence(k Key, running specifier.Resources) float64 {
	if s == nil {
		return 0
	}
	return s.precedence(k, s.dominant(running))
}

// QuotaLeaves reports whether an account whose runs hold the given resources may start a task that
// needs more. While VMs may have unknown runs, an account with a quota may start nothing. A nil
// Sharer allows everything.
func (s *Sharer) QuotaLeaves(account string, held, needs specifier.Resources) bool {
	return s == nil || s.quotaLeaves(account, held, needs)
}

func (s *Sharer) quotaLeaves(account string, held, needs specifier.Resources) bool {
	quota := s.accounts(account).Quota
	if quota == (specifier.Resources{}) {
		return true
	}
	within := func(held, needs, quota int64) bool { return quota == 0 || needs == 0 || held+needs <= quota }
	return !s.unreported && within(held.CPUMillis, needs.CPUMillis, quota.CPUMillis) &&
		within(held.MemoryMB, needs.MemoryMB, quota.MemoryMB) && within(held.GPUs, needs.GPUs, quota.GPUs)
}

// withinQuota returns the part of what an account waits for that its quota leaves: the rest is no claim
// on the room.
func (s *Sharer) withinQuota(d Demand) specifier.Resources {
	quota, held := s.accounts(d.Account).Quota, s.byAccount[d.Account]
	within := func(waiting, held, quota int64) int64 {
		if quota == 0 {
			return waiting
		}
		return min(waiting, max(quota-held, 0))
	}
	return specifier.Resources{
		CPUMillis: within(d.Waiting.CPUMillis, held.CPUMillis, quota.CPUMillis),
		MemoryMB:  within(d.Waiting.MemoryMB, held.MemoryMB, quota.MemoryMB),
		GPUs:      within(d.Waiting.GPUs, held.GPUs, quota.GPUs),
	}
}

// Standing returns the standing of an account at a priority, for tasks that end. A nil Sharer returns
// the zero value.
func (s *Sharer) Standing(account string, priority int) Standing {
	return s.StandingOf(Key{Account: account, Priority: priority})
}

// StandingOf returns the standing of a row. A nil Sharer returns the zero value.
func (s *Sharer) StandingOf(k Key) Standing {
	if s == nil {
		return Standing{}
	}
	st, ok := s.standings[k]
	if !ok {
		st.OverQuota = s.unreported && s.accounts(k.Account).Quota != specifier.Resources{}
	}
	return st
}

// Standings returns the standings of all rows at the latest update. The caller must not change it.
func (s *Sharer) Standings() map[Key]Standing {
	if s == nil {
		return nil
	}
	return s.standings
}
