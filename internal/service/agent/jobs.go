package agent

import (
	"context"
	"errors"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/worker/attender"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/steerer"
)

// JobsCell is the cell of jobs; its owner may be another entry than that of the
// tasks of classes.
const JobsCell = "jobs"

// Limits of an executor.
const (
	executorLeaseMax = 10 * time.Second
	executorStopTime = time.Second
)

// jobs is the agent's part for jobs.
type jobs struct {
	steerer  *steerer.Steerer
	guardian *guardian.Guardian
	attender *attender.Attender
}

func newJobs(c Config) *jobs {
	j := &jobs{}
	j.steerer = steerer.New(steerer.Config{
		URL: c.ExecutorURL, Zone: c.Zone, Rack: c.Rack, Service: c.Service,
		Announced: func(a guardian.Announcement) { j.guardian.Announce(a) },
		Unreadable: func(err error) {
			c.Reporter.Report(reporter.AnnouncementMalformed, reporter.Fields{"error": err.Error()})
		},
	})
	j.guardian = guardian.New(guardian.Config{
		VM: c.VM, Worker: j.steerer.Calls(), LeaseMax: executorLeaseMax, StopTime: executorStopTime,
		Reporter: c.Reporter, Now: timekeeper.Now,
	})
	j.attender = attender.New(attender.Config{
		Cell: JobsCell, Guardian: j.guardian, Entries: c.Entries, Now: timekeeper.Now, Reporter: c.Reporter,
	})
	return j
}

// run works until ctx ends. What runs goes on under its leases.
func (j *jobs) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	parts := []func(context.Context) error{j.steerer.Run, j.guardian.Run, j.attender.Run}
	ended := make(chan error, len(parts))
	for _, p := range parts {
		go func() { ended <- p(ctx) }()
	}
	err := <-ended
	cancel()
	for range len(parts) - 1 {
		err = errors.Join(err, <-ended)
	}
	return err
}
