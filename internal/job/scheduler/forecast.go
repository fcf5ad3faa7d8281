package scheduler

import (
	"math"
	"time"

	"bamboospread/internal/job/forecaster"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/kernel/reporter"
)

// Limits of log lines on the room for urgent tasks.
const (
	// reserveReportInterval is the shortest time between two lines on a queue.
	reserveReportInterval = 2 * time.Second
	// reserveReportChange is the relative change of the reserve from which it is logged.
	reserveReportChange = 0.2
)

// causeYieldAhead is the cause of stops for urgent tasks that are expected.
const causeYieldAhead = "yields to urgent tasks that are expected"

// forecasts is the owner's state of the room for urgent tasks, which answers their waves and bursts.
type forecasts struct {
	sampledAt time.Time
	decidedAt time.Time       // sample after which yields were last decided
	seen      map[string]bool // queues that have had urgent tasks
	reported  map[string]reportedReserve
	ahead     []yieldAhead // whose use is not known yet
	present   float64      // demand of all queues, latest sample
	yields    int          // ahead of demand, since the last line
	unneeded  int          // of them, as far as it is known
}

// reportedReserve is the reserve of a queue that was last logged.
type reportedReserve struct {
	at      time.Time
	reserve float64
	trusted bool
}

// yieldAhead is a set of tasks that have yielded at once ahead of demand.
type yieldAhead struct {
	at       time.Time
	tasks    int
	cpu      float64 // of them, thousandths of a core
	capacity float64 // demand that there was room for without them
	peak     float64 // highest demand since
}

func newForecasts() forecasts {
	return forecasts{seen: make(map[string]bool), reported: make(map[string]reportedReserve)}
}

// updateForecast passes the present demand of urgent tasks to the forecaster.
func (o *owner) updateForecast(now time.Time) {
	f := &o.forecasts
	if since := now.Sub(f.sampledAt); !o.asked().Forecast || since >= 0 && since < forecaster.SampleInterval {
		return
	}
	f.sampledAt = now
	demands := planner.UrgentDemands(o.input(now))
	for queue := range demands {
		f.seen[queue] = true
	}
	f.present = 0
	for queue := range f.seen {
		if _, ok := o.state.Policy().QueueByName(queue); !ok {
			o.forgetForecast(queue)
			continue
		}
		d := demands[queue]
		f.present += float64(d.CPUMillis())
		o.load.forecaster.Observe(queue, forecaster.Demand{CPUMillis: float64(d.CPUMillis()), Task: d.Task}, now)
		o.reportForecast(queue, now)
	}
	o.checkYieldsAhead(now)
}

// forgetForecast drops a queue that the operators have removed.
func (o *owner) forgetForecast(queue string) {
	delete(o.forecasts.seen, queue)
	delete(o.forecasts.reported, queue)
	o.s.config.Metrics.forecastMade(queue, forecaster.Forecast{}, nil)
}

// reportForecast logs the reserve for a queue if it has changed materially.
func (o *owner) reportForecast(queue string, now time.Time) {
	f := &o.forecasts
	forecast, known := o.load.forecaster.Forecast(queue, now, forecaster.Horizon)
	o.s.config.Metrics.forecastMade(queue, forecast, o.load.forecaster.TakeErrors(queue))
	last := f.reported[queue]
	if since := now.Sub(last.at); !known || since >= 0 && since < reserveReportInterval {
		return
	}
	if math.Abs(forecast.Reserve-last.reserve) < reserveReportChange*last.reserve && forecast.Trusted == last.trusted && f.yields == 0 {
		return
	}
	f.reported[queue] = reportedReserve{at: now, reserve: forecast.Reserve, trusted: forecast.Trusted}
	reserve, _ := planner.UrgentReserve(o.input(now))
	fields := forecastFields(queue, forecast)
	fields["target-cpu"], fields["room-cpu"] = int64(reserve.Target), int64(reserve.Room)
	fields["yields"], fields["unneeded"] = f.yields, f.unneeded
	f.yields, f.unneeded = 0, 0
	o.s.config.Reporter.Report(reporter.UrgentReserveChanged, fields)
}

func forecastFields(queue string, f forecaster.Forecast) reporter.Fields {
	return reporter.Fields{
		"queue": queue, "demand-cpu": int64(f.Present), "forecast-cpu": int64(f.Mean), "level-cpu": int64(f.Level), "error-cpu": int64(f.Error), "reserve-cpu": int64(f.Reserve),
		"model": f.Model, "period": f.Period.String(), "mean-error": math.Round(1000*f.MeanError) / 1000, "coverage": math.Round(1000*f.Coverage) / 1000, "trusted": f.Trusted,
	}
}

// yieldAheadOfDemand stops long-running tasks for the urgent ones that are expected, once for each
// sample.
func (o *owner) yieldAheadOfDemand(now time.Time) {
	if !o.asked().Forecast || o.forecasts.decidedAt.Equal(o.forecasts.sampledAt) {
		return
	}
	o.forecasts.decidedAt = o.forecasts.sampledAt
	runs, u := planner.EarlyYields(o.input(now))
	y := yieldAhead{at: now, capacity: u.Held + u.Room}
	for _, r := range runs {
		if r.Task.Yielded = o.interrupt(r, causeYieldAhead); r.Task.Yielded {
			y.tasks++
			y.cpu += float64(r.Step().Spec.Needs.CPUMillis)
		}
	}
	if y.tasks == 0 {
		return
	}
	f := &o.forecasts
	y.peak = f.present
	f.ahead = append(f.ahead, y)
	f.yields += y.tasks
	o.s.config.Metrics.yieldedAhead(y.tasks)
	for queue := range f.seen {
		forecast, known := o.load.forecaster.Forecast(queue, now, forecaster.Horizon)
		if !known || !forecast.Trusted {
			continue
		}
		fields := forecastFields(queue, forecast)
		fields["tasks"], fields["target-cpu"], fields["held-cpu"], fields["room-cpu"] = y.tasks, int64(u.Target), int64(u.Held), int64(u.Room)
		o.s.config.Reporter.Report(reporter.YieldedAheadOfDemand, fields)
	}
}

// checkYieldsAhead counts the tasks that have yielded ahead of a demand that did not come within the
// horizon.
func (o *owner) checkYieldsAhead(now time.Time) {
	f := &o.forecasts
	open := f.ahead[:0]
	for _, y := range f.ahead {
		y.peak = max(y.peak, f.present)
		if since := now.Sub(y.at); since >= 0 && since < forecaster.Horizon {
			open = append(open, y)
			continue
		}
		unneeded := y.unneeded()
		f.unneeded += unneeded
		o.s.config.Metrics.yieldsUnneeded(unneeded)
	}
	f.ahead = open
}

// unneeded returns how many of the tasks did not have to yield for the demand that came.
func (y yieldAhead) unneeded() int {
	used := min(max(y.peak-y.capacity, 0)/max(y.cpu, 1), 1)
	return y.tasks - int(math.Ceil(used*float64(y.tasks)))
}
