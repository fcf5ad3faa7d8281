package scheduler

import (
	"fmt"
	"math"

	"bamboospread/internal/job/forecaster"
)

// forecastMade records a forecast of a queue, and the errors of earlier ones that have become known.
func (m *Metrics) forecastMade(queue string, f forecaster.Forecast, errors []float64) {
	if m == nil {
		return
	}
	for name, millis := range map[string]float64{"demand": f.Present, "forecast": f.Mean, "error": f.Error, "reserve": f.Reserve} {
		m.set.GetOrCreateGauge(fmt.Sprintf(`bamboospread_urgent_%s_cores{queue=%q}`, name, queue), nil).Set(millis / 1000)
	}
	for _, e := range errors {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`bamboospread_urgent_forecast_error_cores{queue=%q}`, queue)).Update(math.Abs(e) / 1000)
	}
}

func (m *Metrics) yieldedAhead(tasks int) {
	if m != nil {
		m.set.GetOrCreateCounter("bamboospread_job_yields_ahead_total").Add(tasks)
	}
}

func (m *Metrics) yieldsUnneeded(tasks int) {
	if m != nil {
		m.set.GetOrCreateCounter("bamboospread_job_yields_ahead_unneeded_total").Add(tasks)
	}
}
