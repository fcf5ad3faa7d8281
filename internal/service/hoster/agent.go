package hoster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/worker/attender"
	"bamboospread/internal/worker/guardian"
	"bamboospread/platform"
)

// agentStopTimeout limits the stop of an agent. Tasks on its worker continue under their
// leases, and the next agent process takes them over.
const agentStopTimeout = 500 * time.Millisecond

// maxAnnouncementBytes is the largest announcement that workers may send.
const maxAnnouncementBytes = 4 << 20

// Agent is a process that manages one worker.
type Agent struct {
	config        Config
	metrics       *metrics.Set
	store         *platform.Store
	guardian      *guardian.Guardian
	attender      *attender.Attender
	announcements *platform.Announcements
}

// NewAgent builds an agent.
func NewAgent(c Config) *Agent {
	a := &Agent{config: c, metrics: metrics.NewSet()}
	a.store = platform.NewStore(c.Settings.StoreAddress, func(call string) {
		a.metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_store_calls_total{call=%q}`, call)).Inc()
	})
	worker := platform.NewWorker(c.Settings.WorkerAddress)
	a.guardian = guardian.New(guardian.Config{
		VM: c.Settings.Name, Worker: worker.Calls(), LeaseMax: c.Settings.LeaseMax, StopTime: c.Settings.StopTime, Reporter: c.Reporter, Now: now, Uptime: timekeeper.Uptime,
	})
	a.metrics.NewGauge("bamboospread_agent_ends_waiting", func() float64 { ends, _ := a.guardian.Waiting(); return float64(ends) })
	a.metrics.NewGauge("bamboospread_agent_runs_in_doubt", func() float64 { _, runs := a.guardian.Waiting(); return float64(runs) })
	a.attender = attender.New(attender.Config{
		Cell: cell, Guardian: a.guardian, FindRecords: a.store.Calls().FindRecords, Watch: a.store.Calls().Watch, Now: now, Reporter: c.Reporter,
	})
	a.announcements = &platform.Announcements{
		Worker: worker, OnAnnouncement: a.guardian.Announce, OnDeregistration: a.guardian.Deregister,
		OnMalformed: newMalformedLog(c.Reporter, a.metrics, now).record,
	}
	return a
}

// Run manages the worker until ctx ends and the crashes of the worker are stored.
func (a *Agent) Run(ctx context.Context) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	awaited := make(chan error, 1)
	go func() {
		<-ctx.Done()
		awaited <- a.guardian.AwaitCrashesStored(serving)
		stopServing()
	}()
	err := a.serve(serving)
	if ctx.Err() == nil {
		return err // a component has failed; nothing awaits the end of ctx any more
	}
	return errors.Join(err, <-awaited)
}

// serve runs the components until ctx ends.
func (a *Agent) serve(ctx context.Context) error {
	limitMemory(a.config.Settings.MemoryMB)
	limits := newAcceptor(a.config, a.metrics)
	return runComponents(ctx, a.config.Reporter, []component{
		{"settings", func(ctx context.Context) error {
			return followSettings(ctx, a.config, func(n *platform.Settings) { a.store.SetAddress(n.StoreAddress) })
		}},
		{"guardian", a.guardian.Run},
		{"attender", a.attender.Run},
		{"http", func(ctx context.Context) error {
			return serveEndpoints(ctx, limits, agentStopTimeout, endpoint{a.config.Settings.ListenWorker, http.MaxBytesHandler(a.announcements.Handler(), maxAnnouncementBytes)}, metricsEndpoint(a.config.Settings, a.metrics))
		}},
	})
}
