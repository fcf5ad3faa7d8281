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
)

var kernelDefinitions = []Definition{
	{ServiceStarted, log.InfoLevel, "service started", "A named part of the process is up; the parts that need it start next."},
	{ServiceStopped, log.InfoLevel, "service stopped", "A named part has ended after finishing what was in flight."},
	{ServiceFailed, log.ErrorLevel, "service failed", "A named part ended with an error; the whole process stops in order."},
	{StopBegan, log.InfoLevel, "stop began", "The process was asked to stop and drains."},
	{StopTimedOut, log.ErrorLevel, "stop timed out", "A part did not end within the stop limit and was left."},
	{ProcessStarted, log.InfoLevel, "process started", "The process has read its settings and begins to work."},
	{ProcessStopped, log.InfoLevel, "process stopped", "The process has ended in order."},
	{SettingsReloaded, log.InfoLevel, "settings reloaded", "The settings file has changed; the keys say what, and whether it is in force without a restart."},
	{SettingsRefused, log.ErrorLevel, "settings refused", "The settings file cannot be read or has faults; the settings before stay in force."},
}
