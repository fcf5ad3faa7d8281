package hoster

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/worker/attender"
	"bamboospread/internal/worker/guardian"
	"bamboospread/platform"
)

// agentStop bounds the end of an agent. What runs on its worker goes on under its
// lease and is taken over by the next process.
const agentStop = 500 * time.Millisecond

// Agent is a process that guards one worker.
type Agent struct {
	config   Config
	metrics  *metrics.Set
	store    *platform.Store
	guardian *guardian.Guardian
	attender *attender.Attender
	announce *platform.Announcements
}

// NewAgent builds an agent.
func NewAgent(c Config) *Agent {
	a := &Agent{config: c, metrics: metrics.NewSet()}
	a.store = platform.NewStore(c.Settings.StoreAddress, func(call string) {
		a.metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_store_calls_total{call=%q}`, call)).Inc()
	})
	worker := platform.NewWorker(c.Settings.WorkerAddress)
	a.guardian = guardian.New(guardian.Config{
		VM: c.Settings.Name, Worker: worker.Calls(), LeaseMax: c.Settings.LeaseMax, StopTime: c.Settings.StopTime, Reporter: c.Reporter, Now: now,
	})
	a.attender = attender.New(attender.Config{
		Cell: cell, Guardian: a.guardian, GetRecord: a.store.Calls().GetRecord, Now: now, Reporter: c.Reporter,
	})
	a.announce = &platform.Announcements{
		Worker: worker, Announced: a.guardian.Announce,
		Malformed: func(err error) {
			c.Reporter.Report(reporter.AnnouncementMalformed, reporter.Fields{"error": err.Error()})
		},
	}
	return a
}

// Run guards the worker until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	return runParts(ctx, a.config.Reporter, []part{
		{"settings", func(ctx context.Context) error {
			return followSettings(ctx, a.config, func(n *platform.Settings) { a.store.SetAddress(n.StoreAddress) })
		}},
		{"guardian", a.guardian.Run},
		{"attender", a.attender.Run},
		{"http", func(ctx context.Context) error {
			return serveSites(ctx, agentStop, site{a.config.Settings.ListenWorker, a.announce.Handler()}, metricsSite(a.config.Settings, a.metrics))
		}},
	})
}
