package commander

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/limiter"
)

const defaultStopTimeout = 30 * time.Second

// processFlags are the settings that all roles share.
type processFlags struct {
	id          string
	logFormat   string
	logLevel    string
	stopTimeout time.Duration
}

func (p *processFlags) register(cmd *cobra.Command) {
	host, err := os.Hostname()
	if err != nil {
		host = "localhost"
	}
	f := cmd.Flags()
	f.StringVar(&p.id, "id", host, "unique name of this process")
	f.StringVar(&p.logFormat, "log-format", "text", "text or json")
	f.StringVar(&p.logLevel, "log-level", "info", "debug, info, warn or error")
	f.DurationVar(&p.stopTimeout, "stop-limit", defaultStopTimeout, "time limit of a graceful stop")
}

// registerMaxConnections adds the flag that limits the HTTP connections of a role.
func registerMaxConnections(cmd *cobra.Command, connections *int) {
	cmd.Flags().IntVar(connections, "max-connections", 0, "HTTP connections that may be open; beyond it the one that has waited longest for its client is closed (default: from GOMEMLIMIT and the limit of descriptors)")
}

func checkMaxConnections(findings *loader.Findings, connections int) {
	if connections < 0 {
		findings.Add("max-connections", "%d is below 0", connections)
	}
}

// newReporter returns the reporter of a process. It adds a finding for each invalid setting.
func (p *processFlags) newReporter(w io.Writer, role string, findings *loader.Findings) *reporter.Reporter {
	if p.id == "" || strings.ContainsAny(p.id, "/ \t\n") {
		findings.Add("id", "%q is not a valid name: it must not be empty or contain spaces, tabs, line breaks or slashes", p.id)
	}
	if p.stopTimeout <= 0 {
		findings.Add("stop-limit", "%s is not above 0", p.stopTimeout)
	}
	r, err := reporter.New(reporter.Config{Writer: w, Format: p.logFormat, Level: p.logLevel, Role: role, Name: p.id})
	if err != nil {
		findings.Add("log-format", "%v", err)
		return reporter.Discard()
	}
	reportClosedConnections(r)
	return r
}

// checkAddress adds a finding unless value is host:port.
func checkAddress(findings *loader.Findings, flag, value string) {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		findings.Add(flag, "%q is not host:port", value)
	}
}

// checkAddresses adds a finding for each value that is not host:port.
func checkAddresses(findings *loader.Findings, flag string, values []string) {
	for _, v := range values {
		checkAddress(findings, flag, v)
	}
}

// checkURL adds a finding unless value begins with http:// or https://.
func checkURL(findings *loader.Findings, flag, value string) {
	if !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		findings.Add(flag, "%q is not an http URL", value)
	}
}

// checkRequired adds a finding if value is empty.
func checkRequired(findings *loader.Findings, flag, value string) {
	if value == "" {
		findings.Add(flag, "must be given")
	}
}

// settingsError turns the error of collected findings into the error of a command.
func settingsError(err error) error {
	if err == nil {
		return nil
	}
	return ExitError{Code: ExitUsage, Err: fmt.Errorf("invalid settings:\n%w", err)}
}

// reportClosedConnections logs which connections with other processes were closed at a limit.
func reportClosedConnections(r *reporter.Reporter) {
	limiter.Process().OnClosed(func(c limiter.Closing) {
		r.Report(reporter.ConnectionClosed, reporter.Fields{
			"remote": c.Remote, "reason": c.Reason, "held": c.Held, "total": c.Total, "most": c.Most, "skipped": c.Skipped,
		})
	})
}
