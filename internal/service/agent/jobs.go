package agent

import (
	"context"
	"errors"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/worker/attender"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/invoker"
)

// JobsCell is the name of the cell of jobs. Its owner may be a different entry than the
// owner of the cell for tasks of classes.
const JobsCell = "jobs"

// Limits of an executor.
const (
	executorLeaseMax = 10 * time.Second
	// ExecutorStopTime is the longest time that an executor takes to end runs, by a stop and once their
	// leases have expired.
	ExecutorStopTime = time.Second
)

// jobs holds the agent's components for jobs.
type jobs struct {
	invoker  *invoker.Invoker
	guardian *guardian.Guardian
	attender *attender.Attender
}

func newJobs(c Config) *jobs {
	j := &jobs{}
	j.invoker = invoker.New(invoker.Config{
		URL: c.ExecutorURL, Zone: c.Zone, Rack: c.Rack, Service: c.Service,
		OnAnnouncement: func(a guardian.Announcement) { j.guardian.Announce(a) },
		OnDescribeError: func(err error) {
			c.Reporter.Report(reporter.AnnouncementMalformed, reporter.Fields{"error": err.Error()})
		},
	})
	j.guardian = guardian.New(guardian.Config{
		VM: c.VM, Worker: j.invoker.Calls(), LeaseMax: executorLeaseMax, StopTime: ExecutorStopTime,
		Reporter: c.Reporter, Now: timekeeper.Now,
	})
	j.attender = attender.New(attender.Config{
		Cell: JobsCell, Guardian: j.guardian, Entries: c.Entries, Now: timekeeper.Now, Reporter: c.Reporter,
	})
	return j
}

// run runs the components until ctx ends. Running tasks continue under their leases.
func (j *jobs) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	components := []func(context.Context) error{j.invoker.Run, j.guardian.Run, j.attender.Run}
	ended := make(chan error, len(components))
	for _, run := range components {
		go func() { ended <- run(ctx) }()
	}
	err := <-ended
	cancel()
	for range len(components) - 1 {
		err = errors.Join(err, <-ended)
	}
	return err
}
