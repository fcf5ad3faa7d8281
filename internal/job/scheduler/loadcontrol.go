package scheduler

import (
	"time"

	"bamboospread/internal/job/calibrator"
	"bamboospread/internal/job/estimator"
	"bamboospread/internal/job/forecaster"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/sharer"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// loadControl holds what the owner has learned for its decisions under load. Run times are learned all
// the time; the other parts cost more and learn while the operators ask for them.
type loadControl struct {
	estimator  *estimator.Estimator
	calibrator *calibrator.Calibrator
	sharer     *sharer.Sharer
	forecaster *forecaster.Forecaster
	admission  *admission
	runTimes   *runTimes
	// incarnations of the workers whose speeds are known, by VM
	incarnations map[string]string
	speedsAsked  bool // the calibrator learns
}

func newLoadControl() *loadControl {
	return &loadControl{
		estimator: estimator.New(), calibrator: calibrator.New(), sharer: sharer.New(), forecaster: forecaster.New(), admission: newAdmission(),
		runTimes: newRunTimes(), incarnations: make(map[string]string),
	}
}

// asked returns the decisions under load that the operators ask for.
func (o *owner) asked() specifier.LoadControl { return o.state.Policy().Load }

// addLoadControl adds the parts that the operators ask for to the input of a round.
func (o *owner) addLoadControl(in *planner.Input) {
	asked := o.asked()
	if asked.Estimates {
		in.Estimator, in.Calibrator, in.Service = o.load.estimator, o.load.calibrator, o.load.runTimes.service
	}
	if asked.Shares {
		in.Sharer = o.load.sharer
	}
	if asked.Forecast {
		in.Forecaster = o.load.forecaster
	}
}

// checkLoad updates what the decisions under load depend on. It is part of the periodic checks.
func (o *owner) checkLoad(now time.Time) {
	o.checkRunTimes(now)
	o.checkSpeeds(now)
	o.updateShares(now)
	o.updateForecast(now)
	o.updateAdmission(now)
}

// observer returns the observer of the runs, which passes on what they show.
func (l *loadControl) observer(now func() time.Time) tracker.Observer {
	return tracker.Observer{
		RunDone:    func(r *tracker.Run, took time.Duration) { l.recordRunTime(r, took, now()) },
		RunStopped: func(r *tracker.Run, work time.Duration) { l.recordStopped(r, work, now()) },
		Progress:   l.recordProgress,
	}
}
