package reporter

import "github.com/apex/log"

// Events of forecasts of urgent demand are numbered from 1030.
const (
	UrgentReserveChanged Code = 1030 + iota
	YieldedAheadOfDemand
)

var forecastDefinitions = []Definition{
	{UrgentReserveChanged, log.InfoLevel, "urgent reserve changed", "The room that is kept for the urgent tasks of a queue has changed by a fifth, or long-running tasks have yielded for it; the fields show its demand, the forecast, its error and the reserve, in thousandths of a core."},
	{YieldedAheadOfDemand, log.InfoLevel, "yielded ahead of demand", "Long-running tasks are being stopped for urgent ones that are expected; the fields show the forecast that the decision is based on, and the room without them."},
}
