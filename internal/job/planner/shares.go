package planner

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"bamboospread/internal/job/sharer"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Shares of client accounts in the starts of a round. They answer the load of one account that asks
// for many times its usual work: without them its backlog is served before what others ask for a
// moment later.

// turnStarts is how many tasks of an account start in a round before the account that is next
// is chosen again.
const turnStarts = 4

// Demands returns what each account holds and wants, sorted.
func Demands(state *tracker.Tracker, now time.Time) []sharer.Demand {
	demands := make(map[sharer.Key]*sharer.Demand)
	row := func(k sharer.Key) *sharer.Demand {
		if demands[k] == nil {
			demands[k] = &sharer.Demand{Account: k.Account, Priority: k.Priority, LongRunning: k.LongRunning}
		}
		return demands[k]
	}
	for k, held := range heldByRow(state) {
		row(k).Running = held
	}
	for _, s := range state.WaitingSteps(now) {
		n := int64(0)
		for _, t := range s.Tasks {
			if t.Waits(now) {
				n++
			}
		}
		d := row(rowOf(s))
		d.Waiting = d.Waiting.Add(s.Spec.Needs.Times(n))
	}
	sorted := make([]sharer.Demand, 0, len(demands))
	for _, d := range demands {
		sorted = append(sorted, *d)
	}
	slices.SortFunc(sorted, func(a, b sharer.Demand) int { return compareKeys(a.Key(), b.Key()) })
	return sorted
}

func compareKeys(a, b sharer.Key) int {
	longRunning := 0
	if a.LongRunning != b.LongRunning {
		longRunning = -1
		if a.LongRunning {
			longRunning = 1
		}
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), longRunning, cmp.Compare(a.Account, b.Account))
}

// rowOf returns the row of the ledger that the tasks of a step count in.
func rowOf(s *tracker.Step) sharer.Key {
	j := s.Occurrence.Job
	return sharer.Key{Account: j.Spec.Account, Priority: j.Queue.Priority, LongRunning: s.Spec.LongRunning}
}

// heldByRow returns what the runs of each row hold.
func heldByRow(state *tracker.Tracker) map[sharer.Key]specifier.Resources {
	priorities := make(map[string]int)
	for _, q := range state.Policy().Queues {
		priorities[q.Name] = q.Priority
	}
	held := make(map[sharer.Key]specifier.Resources)
	for h, r := range state.Usage() {
		k := sharer.Key{Account: h.Account, Priority: priorities[h.Queue], LongRunning: h.LongRunning}
		held[k] = held[k].Add(r)
	}
	return held
}

// holdings is what accounts hold during a round, after the tasks placed in it. A nil holdings
// counts nothing.
type holdings struct {
	sharer    *sharer.Sharer
	byRow     map[sharer.Key]specifier.Resources
	byAccount map[string]specifier.Resources
}

// newHoldings returns nil unless the operators ask for shares.
func newHoldings(in Input) *holdings {
	if in.Sharer == nil {
		return nil
	}
	h := &holdings{sharer: in.Sharer, byRow: heldByRow(in.State), byAccount: make(map[string]specifier.Resources)}
	for k, r := range h.byRow {
		h.byAccount[k.Account] = h.byAccount[k.Account].Add(r)
	}
	return h
}

// add counts tasks of a step that are placed; n is negative if they are not placed after all.
func (h *holdings) add(s *tracker.Step, n int) {
	if h == nil {
		return
	}
	k, needs := rowOf(s), s.Spec.Needs.Times(int64(n))
	h.byRow[k] = h.byRow[k].Add(needs)
	h.byAccount[k.Account] = h.byAccount[k.Account].Add(needs)
}

// allows reports whether the quota of the account allows so many more tasks of a step.
func (h *holdings) allows(s *tracker.Step, n int) bool {
	if h == nil {
		return true
	}
	account := s.Occurrence.Job.Spec.Account
	return h.sharer.QuotaLeaves(account, h.byAccount[account], s.Spec.Needs.Times(int64(n)))
}

func (h *holdings) precedence(k sharer.Key) float64 { return h.sharer.Precedence(k, h.byRow[k]) }

// behindOnTime puts late jobs of an account behind its jobs that are on time, and before the next
// step of the precedence.
const behindOnTime = 0.5

// rankByShare ranks the jobs of an account far above its share that are on time with the late jobs of
// others: otherwise jobs of others that are late because of it would wait for all that it asks for
// anew, and get none of the room that it returns.
func (k *ranked) rankByShare(in Input) {
	switch {
	case k.urgency == late:
		k.account += behindOnTime
	case k.urgency == onTime && !in.Sharer.StandingOf(rowOf(k.step)).FarSince.IsZero():
		k.urgency = late
	}
}

// waitingSteps returns the steps with tasks to start, without those that the quota of their account
// keeps from starting any.
func (r *round) waitingSteps() []*tracker.Step {
	steps := r.state.WaitingSteps(r.now)
	if r.holdings == nil {
		return steps
	}
	return slices.DeleteFunc(steps, func(s *tracker.Step) bool { return !r.holdings.allows(s, 1) })
}

// turn is an account's place in the order of a round. Its steps are in the order of the backlog.
type turn struct {
	key        sharer.Key
	precedence float64
	steps      []int // positions in the order of all steps
}

// turns is a heap of accounts, that whose turn it is first.
type turns []*turn

func (q turns) Len() int { return len(q) }
func (q turns) Less(i, j int) bool {
	if q[i].precedence != q[j].precedence {
		return q[i].precedence < q[j].precedence
	}
	return q[i].steps[0] < q[j].steps[0]
}
func (q turns) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *turns) Push(x any) { *q = append(*q, x.(*turn)) }

// Pop implements heap.Interface.
func (q *turns) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// placeSteps places tasks of steps in their order until there are enough starts. With shares,
// accounts take turns within the steps of equal priority, urgency and kind.
func (r *round) placeSteps(steps []*tracker.Step, starts []Start) []Start {
	if r.holdings == nil {
		for _, s := range steps {
			if len(starts) >= maxStarts {
				break
			}
			starts = append(starts, r.placeStep(s)...)
		}
		return starts
	}
	r.nextTask = make(map[*tracker.Step]int)
	var deferred []*tracker.Step // of the same priority as the first of steps, if there are any
	for len(steps)+len(deferred) > 0 && len(starts) < maxStarts {
		var group []*tracker.Step
		if len(deferred) > 0 && (len(steps) == 0 || r.follows(deferred[0], steps[0])) {
			group, deferred = deferred, nil
			starts, _ = r.placeInTurns(group, starts, math.Inf(1))
			continue
		}
		n := r.equalSteps(steps)
		group, steps = steps[:n], steps[n:]
		first := rank(r.in, group[0])
		if first.urgency == late {
			group, deferred = append(deferred, group...), nil
		}
		ceiling := math.Inf(1)
		if first.urgency == onTime && !first.step.Spec.LongRunning {
			ceiling = r.leastFarAbove(first.priority)
		}
		var left []*tracker.Step
		starts, left = r.placeInTurns(group, starts, ceiling)
		deferred = append(deferred, left...)
	}
	return starts
}

// follows reports whether a step comes after everything that competes with a deferred one.
func (r *round) follows(deferred, s *tracker.Step) bool {
	next := rank(r.in, s)
	return next.urgency == tooLate || next.priority != rank(r.in, deferred).priority
}

// leastFarAbove returns the lowest precedence of the accounts far above their share that want more
// at a priority. Accounts that reach it within the round no longer come before them.
func (r *round) leastFarAbove(priority int) float64 {
	least := math.Inf(1)
	for k, st := range r.in.Sharer.Standings() {
		if k.Priority == priority && !k.LongRunning && !st.FarSince.IsZero() && st.Wants > 0 {
			least = min(least, r.holdings.precedence(k))
		}
	}
	return least
}

// equalSteps returns how many steps at the beginning differ only in what follows the account in the
// order.
func (r *round) equalSteps(steps []*tracker.Step) int {
	first := rank(r.in, steps[0])
	return sort.Search(len(steps), func(i int) bool { // the steps are sorted by what is compared
		next := rank(r.in, steps[i])
		return next.priority != first.priority || next.urgency != first.urgency || next.step.Spec.LongRunning != first.step.Spec.LongRunning
	})
}

// placeInTurns places tasks of equal steps, always of the account with the lowest precedence after
// what has been placed. It returns the steps of accounts that have reached the ceiling.
func (r *round) placeInTurns(steps []*tracker.Step, starts []Start, ceiling float64) (all []Start, left []*tracker.Step) {
	queue := r.turnsOf(steps)
	for len(queue) > 0 && len(starts) < maxStarts {
		t := queue[0]
		if t.precedence >= ceiling {
			for _, i := range t.steps {
				left = append(left, steps[i])
			}
			heap.Pop(&queue)
			continue
		}
		s := steps[t.steps[0]]
		placed, next := r.placeTurn(s)
		starts = append(starts, placed...)
		if r.nextTask[s] = next; next >= len(s.Tasks) {
			t.steps = t.steps[1:]
		}
		if len(t.steps) == 0 {
			heap.Pop(&queue)
			continue
		}
		if len(placed) > 0 {
			t.precedence = r.holdings.precedence(t.key)
		}
		heap.Fix(&queue, 0)
	}
	return starts, left
}

// placeTurn places the tasks of one turn. It returns the index from which the next one continues.
func (r *round) placeTurn(s *tracker.Step) ([]Start, int) {
	if s.Spec.Gang {
		return r.placeGang(s), len(s.Tasks)
	}
	return r.placeTasks(s, r.nextTask[s], turnStarts)
}

// turnsOf returns the accounts of the steps.
func (r *round) turnsOf(steps []*tracker.Step) turns {
	byKey := make(map[sharer.Key]*turn)
	var queue turns
	for i, s := range steps {
		k := rowOf(s)
		if byKey[k] == nil {
			byKey[k] = &turn{key: k, precedence: r.holdings.precedence(k)}
			queue = append(queue, byKey[k])
		}
		byKey[k].steps = append(byKey[k].steps, i)
	}
	heap.Init(&queue)
	return queue
}

// longRunningPrecedence returns the precedence of the account of a long-running run. Of two runs that
// may yield, the one with the higher precedence yields first.
func (r *round) longRunningPrecedence(run *tracker.Run) float64 {
	if r.holdings == nil {
		return 0
	}
	return r.holdings.precedence(rowOf(run.Step()))
}

// AccountName returns the name of an account for people.
func AccountName(name string) string { return cmp.Or(name, "-") }

// maxAheadNamed bounds the accounts that a reason names.
const maxAheadNamed = 3

// explainShare returns how the account of a step keeps its tasks waiting, or "".
func (r *round) explainShare(s *tracker.Step) string {
	if r.holdings == nil {
		return ""
	}
	k := rowOf(s)
	if !r.holdings.allows(s, 1) {
		return fmt.Sprintf("the quota of account %s leaves no room", AccountName(k.Account))
	}
	ahead := AccountsAhead(r.in, k)
	if len(ahead) == 0 {
		return ""
	}
	named := make([]string, 0, maxAheadNamed+1)
	for _, name := range ahead[:min(len(ahead), maxAheadNamed)] {
		named = append(named, AccountName(name))
	}
	if more := len(ahead) - maxAheadNamed; more > 0 {
		named = append(named, fmt.Sprintf("%d others", more))
	}
	return fmt.Sprintf("account %s is above its share: tasks of %s come first", AccountName(k.Account), strings.Join(named, " and "))
}

// AccountsAhead returns the accounts whose waiting tasks of the same priority and kind start before
// those of an account because of their shares, the first to start first.
func AccountsAhead(in Input, k sharer.Key) []string {
	own := in.Sharer.StandingOf(k).Precedence
	return accountsWaiting(in, k, func(precedence float64) bool { return precedence < own })
}

// AccountsBehind returns those that start after them.
func AccountsBehind(in Input, k sharer.Key) []string {
	own := in.Sharer.StandingOf(k).Precedence
	return accountsWaiting(in, k, func(precedence float64) bool { return precedence > own })
}

// accountsWaiting returns the accounts with waiting tasks in the tier of a row whose precedence
// matches, in the order in which their tasks start.
func accountsWaiting(in Input, k sharer.Key, match func(precedence float64) bool) []string {
	var found []string
	standings := in.Sharer.Standings()
	at := func(account string) sharer.Standing {
		return standings[sharer.Key{Account: account, Priority: k.Priority, LongRunning: k.LongRunning}]
	}
	for other, st := range standings {
		if other.Priority == k.Priority && other.LongRunning == k.LongRunning && st.Wants > 0 && match(st.Precedence) {
			found = append(found, other.Account)
		}
	}
	slices.SortFunc(found, func(a, b string) int {
		return cmp.Or(cmp.Compare(at(a).Precedence, at(b).Precedence), cmp.Compare(a, b))
	})
	return found
}
