package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Problem is one error in a file.
type Problem struct {
	File string
	// Line and Column start at 1; they are 0 for a file that cannot be read.
	Line, Column int
	// Key is the path of the key, such as "spec.networks[0]"; empty for the document.
	Key string
	// Text describes the problem.
	Text string
	// Expected describes the accepted form.
	Expected string
}

// String returns "file:line:column: key: text; expected form".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	if p.Key != "" {
		b.WriteString(": " + p.Key)
	}
	b.WriteString(": " + p.Text)
	if p.Expected != "" {
		b.WriteString("; expected " + p.Expected)
	}
	return b.String()
}

// FileErrors holds all problems of a set of files. It is an error of kind errors.NotValid.
type FileErrors []Problem

// Error returns one line for each problem.
func (p FileErrors) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is errors.NotValid.
func (FileErrors) Is(target error) bool { return target == errors.NotValid }

// Err returns the problems as an error, sorted by file and line, or nil if there are none.
func (p FileErrors) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p
}
