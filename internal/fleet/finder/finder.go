// Package finder collects the faults of a fleet text with their places, so that
// an operator sees all of them at once.
package finder

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// MaxFindings bounds a list of findings: a text that is wrong throughout must
// not make an answer without limit.
const MaxFindings = 200

// Place is a position in a text, both parts counted from 1. The zero value is
// the text as a whole.
type Place struct {
	Line   int
	Column int
}

// Finding is one fault of a fleet text.
type Finding struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"` // such as services[1].needs.memory
	Message string `json:"message"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Findings is the error of a text with faults, in the order of their places.
type Findings []Finding

// Error lists all findings, a line each.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("the fleet text has %d fault(s)", len(f)))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// AsFindings returns the findings that err is or wraps.
func AsFindings(err error) (Findings, bool) {
	var f Findings
	ok := errors.As(err, &f)
	return f, ok
}

// Finder collects findings; its zero value is ready.
type Finder struct {
	list    Findings
	dropped int
}

// Add notes a finding.
func (f *Finder) Add(at Place, path, format string, args ...any) {
	if len(f.list) == MaxFindings {
		f.dropped++
		return
	}
	f.list = append(f.list, Finding{at.Line, at.Column, path, fmt.Sprintf(format, args...)})
}

// Err returns the findings sorted by place, or nil if there are none.
func (f *Finder) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	sorted := slices.Clone(f.list)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
	if f.dropped > 0 {
		last := sorted[len(sorted)-1]
		sorted = append(sorted, Finding{last.Line, last.Column, "", fmt.Sprintf("%d more findings are not listed", f.dropped)})
	}
	return sorted
}
