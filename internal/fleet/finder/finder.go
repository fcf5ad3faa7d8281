// Package finder collects the errors of a fleet text with their positions, so
// that an operator sees all of them at once.
package finder

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// MaxFindings limits a list of findings, so that a text with errors throughout
// does not produce a response of unlimited size.
const MaxFindings = 200

// Position is a position in a text. Line and Column count from 1; the zero value
// refers to the text as a whole.
type Position struct {
	Line   int
	Column int
}

// Finding is one error in a fleet text.
type Finding struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"` // for example services[1].needs.memory
	Message string `json:"message"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Findings is the error returned for an invalid text, sorted by position.
type Findings []Finding

// Error lists all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("the fleet text has %d fault(s)", len(f)))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// AsFindings returns the Findings that err is or wraps.
func AsFindings(err error) (Findings, bool) {
	var f Findings
	ok := errors.As(err, &f)
	return f, ok
}

// Finder collects findings; its zero value is ready to use.
type Finder struct {
	findings Findings
	omitted  int
}

// Add records a finding.
func (f *Finder) Add(at Position, path, format string, args ...any) {
	if len(f.findings) == MaxFindings {
		f.omitted++
		return
	}
	f.findings = append(f.findings, Finding{at.Line, at.Column, path, fmt.Sprintf(format, args...)})
}

// Err returns the findings sorted by position, or nil if there are none.
func (f *Finder) Err() error {
	if len(f.findings) == 0 {
		return nil
	}
	sorted := slices.Clone(f.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
	if f.omitted > 0 {
		last := sorted[len(sorted)-1]
		sorted = append(sorted, Finding{last.Line, last.Column, "", fmt.Sprintf("%d more findings are not listed", f.omitted)})
	}
	return sorted
}
