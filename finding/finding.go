// Package finding collects validation errors with their positions, so that all
// problems of an input are reported together and not one at a time.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem at one position of an input.
type Finding struct {
	// File is the name of the input; empty if it has none.
	File string
	// Line and Column count from 1; 0 means that the position is unknown.
	Line, Column int
	// Path is the path of the member, for example "teams[2].weight".
	Path string
	// Message says what is wrong and what is allowed.
	Message string
}

// String formats the finding as "file:line:column: path: message".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteString(":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Path != "" {
		b.WriteString(f.Path)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a list of findings.
type List []Finding

// Add appends a finding without a file position.
func (l *List) Add(path, format string, args ...any) {
	*l = append(*l, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Err returns nil for an empty list, otherwise an *Error with all findings sorted
// by position.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	sorted := append(List(nil), l...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].isBefore(sorted[j]) })
	return &Error{Findings: sorted}
}

func (f Finding) isBefore(other Finding) bool {
	if f.File != other.File {
		return f.File < other.File
	}
	if f.Line != other.Line {
		return f.Line < other.Line
	}
	return f.Column < other.Column
}

// Error is the error of an input with at least one finding.
type Error struct {
	Findings List
}

// Error returns the findings, one on each line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
