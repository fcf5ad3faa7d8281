package reporter

import "github.com/apex/log"

// Events of the area "kernel", numbered from 100.
const (
	ServiceStarted Code = 100 + iota
	ServiceStopped
	ServiceFailed
	StopBegan
	StopTimedOut
	ProcessStarted
	ProcessStopped
	SettingsReloaded
	SettingsRefused
	StopCutShort
	StopSignalRepeated
	ProcessorShort
	ConnectionClosed
)

var kernelDefinitions = []Definition{
	{ServiceStarted, log.InfoLevel, "service started", "A service of the process is up; the services that need it start next."},
	{ServiceStopped, log.InfoLevel, "service stopped", "A service has ended after finishing its work in flight."},
	{ServiceFailed, log.ErrorLevel, "service failed", "A service ended by itself or failed in its stop; the whole process shuts down gracefully and exits with code 1."},
	{StopBegan, log.InfoLevel, "shutdown started", "The process was asked to stop, or a service failed; it drains."},
	{StopTimedOut, log.ErrorLevel, "service stop timed out", "A service did not end within the stop timeout and was abandoned."},
	{ProcessStarted, log.InfoLevel, "process started", "The process has read its settings and starts its services."},
	{ProcessStopped, log.InfoLevel, "process stopped", "The process has shut down gracefully."},
	{SettingsReloaded, log.InfoLevel, "settings reloaded", "The settings file has changed; changed lists the settings, in-force says whether they apply without a restart."},
	{SettingsRefused, log.ErrorLevel, "settings refused", "The settings file can't be read or contains errors; the previous settings stay in force."},
	{StopCutShort, log.WarnLevel, "stop cut short", "A second SIGTERM or SIGINT arrived during the graceful stop, and the process ended at once with exit code 5. Requests in flight were interrupted and nothing was handed over."},
	{StopSignalRepeated, log.InfoLevel, "stop signal repeated", "A process on the users' platform was asked again to stop. It completes its stop; the platform ends it when the grace is over."},
	{ProcessorShort, log.WarnLevel, "process short of processor time", "One in twenty of the goroutines that could run waited for the processor as long as wait says, so that all that the process does is late; used-cores is what it used of its cores. With short=false they no longer do."},
	{ConnectionClosed, log.WarnLevel, "connection closed at a limit", "The connections with other processes held more than most bytes of unfinished messages, requests in handling and messages to be written (reason: bytes held), and the one that held the most was closed; or more than most were accepted (reason: connections), and the one that had been silent for the longest was closed. A process of this fleet connects again; another peer does not follow the protocol. At most one line a second; skipped counts the others."},
}
