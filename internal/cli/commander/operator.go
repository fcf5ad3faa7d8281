package commander

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/fleet/finder"
	"bamboospread/internal/fleet/parser"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/operator/requester"
)

// operatorCommands returns the commands for operators.
func operatorCommands() []*cobra.Command {
	return []*cobra.Command{
		newValidateCommand(), newDiffCommand(), newApplyCommand(), newGetCommand(), newZoneCommand(),
		newSubmitCommand(), newCancelCommand(), newStatusCommand(), newExplainCommand(), newEventsCommand(),
	}
}

// outputFlag is the --output flag of a command.
type outputFlag struct{ format string }

func (o *outputFlag) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.format, "output", "text", "output format: text or json")
}

func (o *outputFlag) check() error {
	if o.format != "text" && o.format != "json" {
		return usageError(fmt.Errorf("--output %q: must be text or json", o.format))
	}
	return nil
}

// write writes v as JSON, or calls text to write it for people.
func (o *outputFlag) write(w io.Writer, v any, text func(w io.Writer)) error {
	if o.format != "json" {
		text(w)
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

// operatorFlags are the flags of the commands that send requests to an entry.
type operatorFlags struct {
	outputFlag
	entries []string
	timeout time.Duration
}

func (o *operatorFlags) register(cmd *cobra.Command) {
	o.outputFlag.register(cmd)
	cmd.Flags().StringSliceVar(&o.entries, "entries", []string{"127.0.0.1:8080"}, "HTTP addresses of entries, tried in turn")
	cmd.Flags().DurationVar(&o.timeout, "timeout", requester.DefaultTimeout, "time limit of the request, including retries")
}

func (o *operatorFlags) requester() (*requester.Requester, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.timeout <= 0 {
		return nil, usageError(fmt.Errorf("--timeout %s: must be above 0", o.timeout))
	}
	return requester.New(requester.Config{Entries: o.entries, Timeout: o.timeout}), nil
}

func usageError(err error) error { return ExitError{Code: ExitUsage, Err: err} }

// failure is the output of a failed command with --output json.
type failure struct {
	handler.ErrorAnswer
	ExitCode int `json:"exit-code"`
}

// fail turns an error of the requester into an ExitError. With
// --output json the failure is also written to standard output, so that a
// program does not have to parse the error text.
func (o *operatorFlags) fail(cmd *cobra.Command, changeID string, err error) error {
	f := newFailure(changeID, err)
	if o.format == "json" {
		if writeErr := o.write(cmd.OutOrStdout(), f, nil); writeErr != nil {
			return ExitError{Code: f.ExitCode, Err: errors.Join(err, writeErr)}
		}
	}
	return ExitError{Code: f.ExitCode, Err: errors.New(f.text())}
}

func newFailure(changeID string, err error) failure {
	f := failure{ErrorAnswer: handler.ErrorAnswer{Error: err.Error(), ChangeID: changeID}, ExitCode: ExitFailed}
	var refused requester.ErrRefused
	switch {
	case requester.IsErrOutcomeUnknown(err):
		f.ExitCode, f.Outcome = ExitUnknown, handler.OutcomeUnknown
	case requester.IsErrUnavailable(err):
		f.Outcome = handler.OutcomeUnavailable
	case errors.As(err, &refused):
		f.ErrorAnswer = refused.Answer
		f.ChangeID = changeID
		switch {
		case refused.Answer.Outcome == handler.OutcomeConflict:
			f.ExitCode = ExitConflict
		case len(refused.Answer.Findings) > 0:
			f.ExitCode = ExitUsage
		}
	}
	return f
}

func (f failure) text() string {
	var b strings.Builder
	b.WriteString(f.Error)
	for _, finding := range f.Findings {
		b.WriteString("\n  " + finding.String())
	}
	if f.Outcome == handler.OutcomeConflict {
		b.WriteString("\n" + conflictHint(f))
	}
	if f.Outcome == handler.OutcomeUnknown && f.ChangeID != "" {
		fmt.Fprintf(&b, "\nTo find out whether it was applied, run the same command again with --change-id %s: a change id is applied at most once.", f.ChangeID)
	}
	return b.String()
}

func conflictHint(f failure) string {
	from := "Changes since that version:"
	if f.DifferenceFrom == "change" {
		from = "Changes from the refused text to the one in force:"
	}
	lines := append([]string{from}, f.Difference...)
	return strings.Join(lines, "\n  ") + "\nNothing was changed. Fetch the text in force with get, edit it, and apply it again."
}

// failFindings turns the findings of the local check of a fleet text into the error of a command.
func (o *outputFlag) failFindings(cmd *cobra.Command, err error) error {
	findings, ok := finder.AsFindings(err)
	if !ok {
		return ExitError{Code: ExitFailed, Err: err}
	}
	f := failure{ErrorAnswer: handler.ErrorAnswer{Error: "the fleet text has faults", Outcome: handler.OutcomeRefused, Findings: findings}, ExitCode: ExitUsage}
	if o.format == "json" {
		if writeErr := o.write(cmd.OutOrStdout(), f, nil); writeErr != nil {
			return writeErr
		}
	}
	return usageError(errors.New(f.text()))
}

// readText reads a fleet text from a file, or from standard input for "-".
func readText(cmd *cobra.Command, name string) ([]byte, error) {
	in := cmd.InOrStdin()
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageError(fmt.Errorf("read fleet text: %w", err))
		}
		defer file.Close()
		in = file
	}
	// One byte above the limit is enough for the parser to refuse the text.
	text, err := io.ReadAll(io.LimitReader(in, parser.MaxTextBytes+1))
	if err != nil {
		return nil, usageError(fmt.Errorf("read fleet text: %w", err))
	}
	return text, nil
}

// changeIDFlag is the --change-id flag of a command.
type changeIDFlag struct{ id string }

func (c *changeIDFlag) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.id, "change-id", "", "unique id of this change; an id is applied at most once (default: random)")
}

func (c *changeIDFlag) get() string {
	if c.id == "" {
		c.id = rand.Text()
	}
	return c.id
}

// writeTable writes rows in aligned columns.
func writeTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	// An error here means that standard output is closed; there is nowhere to report it.
	_ = t.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
