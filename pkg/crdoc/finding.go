package crdoc

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a document, with its position.
type Finding struct {
	// File is the file's path; empty for a document received over the network.
	File string `json:"file,omitempty"`
	// Line and Column are the position of Place in the file, counted from 1;
	// 0 when it is not known. Column counts bytes.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Place is the path of the field, such as "classes[1].deadline".
	Place string `json:"place,omitempty"`
	// Text describes the error and what is expected.
	Text string `json:"text"`
}

// String formats the finding on one line, as
// "file:line:column: place: text" without the parts that are empty.
func (f Finding) String() string {
	parts := make([]string, 0, 3)
	at := f.File
	if f.Line > 0 {
		at = strings.TrimPrefix(fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column), ":")
	}
	if at != "" {
		parts = append(parts, at)
	}
	if f.Place != "" {
		parts = append(parts, f.Place)
	}
	return strings.Join(append(parts, f.Text), ": ")
}

// Findings is a list of findings and an error that lists them. Its zero value is
// empty and ready to use.
type Findings []Finding

// Add appends a finding for the field at place.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// WithFile returns a copy of the findings with File set.
func (f Findings) WithFile(file string) Findings {
	out := make(Findings, len(f))
	for i, finding := range f {
		finding.File = file
		out[i] = finding
	}
	return out
}

// Sort orders the findings by file, line and column.
func (f Findings) Sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		if n := strings.Compare(a.File, b.File); n != 0 {
			return n
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// Error lists all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil when it is empty.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
