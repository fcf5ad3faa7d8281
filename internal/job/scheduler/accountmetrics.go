package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/sharer"
)

// Labels of client accounts.
const (
	// maxAccountLabels is how many accounts have metrics of their own; the others are summed up.
	maxAccountLabels = 20
	otherAccounts    = "other"
)

// accountLabels holds the accounts that have metrics of their own.
type accountLabels struct {
	mu     sync.Mutex
	gauges map[string]bool // names of the gauges
	named  map[string]bool // accounts
	// counted are the labels of counters. They are never removed.
	counted map[string]bool
}

// accounts sets the gauges of the accounts with the largest use.
func (m *Metrics) accounts(standings map[sharer.Key]sharer.Standing) {
	if m == nil {
		return
	}
	m.labels.mu.Lock()
	defer m.labels.mu.Unlock()
	uses := make(map[string]float64)
	for k, st := range standings {
		uses[k.Account] += st.Use + st.Wants
	}
	m.labels.chooseNamed(uses)
	values := make(map[string]float64)
	for k, st := range standings {
		labels := fmt.Sprintf(`account=%q,priority="%d",lasting="%t"`, m.labels.label(k.Account), k.Priority, k.LongRunning)
		values["bamboospread_job_account_share{"+labels+"}"] += st.Share
		values["bamboospread_job_account_use{"+labels+"}"] += st.Use
		values["bamboospread_job_account_wants{"+labels+"}"] += st.Wants
	}
	for name := range m.labels.gauges {
		if _, ok := values[name]; !ok {
			m.set.UnregisterMetric(name)
			delete(m.labels.gauges, name)
		}
	}
	for name, v := range values {
		m.set.GetOrCreateGauge(name, nil).Set(v)
		m.labels.gauges[name] = true
	}
}

// chooseNamed chooses the accounts with metrics of their own. Those that have them keep them until
// they hold and want nothing, so that a counter does not change its label with each update.
func (l *accountLabels) chooseNamed(uses map[string]float64) {
	for name := range l.named {
		if uses[name] == 0 {
			delete(l.named, name)
		}
	}
	names := make([]string, 0, len(uses))
	for name, use := range uses {
		if use > 0 && !l.named[name] {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(uses[b], uses[a]), cmp.Compare(a, b)) })
	for _, name := range names[:min(len(names), maxAccountLabels-len(l.named))] {
		l.named[name] = true
	}
}

func (l *accountLabels) label(account string) string {
	if l.named[account] {
		return planner.AccountName(account)
	}
	return otherAccounts
}

// counterLabel returns the label of an account in counters, which are kept as long as the process.
func (l *accountLabels) counterLabel(account string) string {
	label := l.label(account)
	if !l.counted[label] && len(l.counted) >= maxAccountLabels {
		return otherAccounts
	}
	l.counted[label] = true
	return label
}

// reclaimed counts a run that was stopped to return room.
func (m *Metrics) reclaimed(account string) {
	if m == nil {
		return
	}
	m.labels.mu.Lock()
	label := m.labels.counterLabel(account)
	m.labels.mu.Unlock()
	m.set.GetOrCreateCounter(fmt.Sprintf(`bamboospread_job_reclaims_total{account=%q}`, label)).Inc()
}
