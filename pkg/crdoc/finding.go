package crdoc

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one thing wrong in a document, with its place.
type Finding struct {
	// File is the file's path, empty for a document that came by the network.
	File string `json:"file,omitempty"`
	// Line and Column, from 1, are where the place stands in the file; 0 when
	// that is not known. Column counts bytes.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Place is the path of the field, such as "classes[1].deadline".
	Place string `json:"place,omitempty"`
	// Text says what is wrong and what is wanted.
	Text string `json:"text"`
}

// String writes the finding on one line.
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

// Findings collects findings; its zero value is empty.
type Findings []Finding

// Add records a finding at a place.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// WithFile returns the findings with the file's path set.
func (f Findings) WithFile(file string) Findings {
	out := make(Findings, len(f))
	for i, finding := range f {
		finding.File = file
		out[i] = finding
	}
	return out
}

// Sort orders findings by file and by where they stand in it.
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

// Error lists all findings, one a line.
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
