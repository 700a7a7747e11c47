package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"

	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// applyArgs are the arguments of apply.
type applyArgs struct {
	operatorArgs
	File  []string `arg:"-f,--file,required" placeholder:"FILE|DIR" help:"service documents, or directories of them"`
	Write bool     `arg:"-w,--write" help:"set the version in each file to the one in force afterwards"`
}

// applyResult is the result of applying one document.
type applyResult struct {
	File    string `json:"file"`
	Service string `json:"service"`
	// Answer is applied, unchanged or refused.
	Answer   string `json:"answer"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"rev"`
	Error    string `json:"error,omitempty"`
}

// runApply applies documents in the order of the files.
func runApply(ctx context.Context, a *applyArgs, out, errOut io.Writer) int {
	do := func(ctx context.Context, o *operator, docs []document, view *croper.View) int {
		return o.printApplied(o.applyAll(ctx, docs, view, a.Write))
	}
	return runDocuments(ctx, &a.operatorArgs, a.File, out, errOut, do)
}

// applyAll applies each document. A refused document doesn't stop the rest.
func (o *operator) applyAll(ctx context.Context, docs []document, view *croper.View, write bool) []applyResult {
	out := make([]applyResult, len(docs))
	for i, d := range docs {
		out[i] = o.apply(ctx, d, view)
		if write && out[i].Error == "" {
			if err := setVersion(d.file, out[i].Version); err != nil {
				out[i].Error = err.Error()
			}
		}
	}
	return out
}

// apply applies one document unless it is in force already.
func (o *operator) apply(ctx context.Context, d document, view *croper.View) applyResult {
	a := applyResult{File: d.file, Service: d.doc.Name, Answer: "unchanged", Revision: view.Revision}
	if old := view.Services[d.doc.Name]; old != nil && equalIgnoringVersion(old, d.doc) {
		a.Version = old.Version
		return a
	}
	result, err := o.client.Apply(ctx, d.doc)
	a.Answer, a.Version, a.Revision = "applied", result.Version, result.Revision
	if err != nil {
		a.Answer, a.Error = "refused", describeRefusal(err, d.file)
	}
	return a
}

// printApplied prints the results and returns the exit code.
func (o *operator) printApplied(all []applyResult) int {
	code := exitOK
	rows := [][]string{{"SERVICE", "ANSWER", "VERSION", "REVISION"}}
	for _, a := range all {
		rows = append(rows, []string{a.Service, a.Answer, fmt.Sprint(a.Version), fmt.Sprint(a.Revision)})
		if a.Error != "" {
			code = exitFailed
			fmt.Fprintln(o.errOut, a.Error)
		}
	}
	if o.Output == outputJSON {
		return max(code, o.printJSON(all))
	}
	return max(code, o.printTable(rows))
}

// describeRefusal returns the reason why a document was refused. Each finding names
// the file.
func describeRefusal(err error, file string) string {
	var invalid *croper.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Findings.WithFile(file).Error()
	}
	return fmt.Sprintf("%s: %v", file, err)
}

// equalIgnoringVersion reports whether two documents are equal except for the
// version.
func equalIgnoringVersion(a, b *crdoc.Service) bool {
	copyA, copyB := *a, *b
	copyA.Version, copyB.Version = 0, 0
	dataA, errA := json.Marshal(copyA)
	dataB, errB := json.Marshal(copyB)
	return errA == nil && errB == nil && bytes.Equal(dataA, dataB)
}

// versionPattern matches the version in the text of a document.
var versionPattern = regexp.MustCompile(`("version"\s*:\s*)\d+`)

// setVersion replaces the version in a document's file.
func setVersion(file string, version uint64) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("set the version: %w", err)
	}
	updated := versionPattern.ReplaceAll(data, fmt.Appendf(nil, "${1}%d", version))
	if bytes.Equal(data, updated) {
		return nil
	}
	if err := os.WriteFile(file, updated, 0o644); err != nil {
		return fmt.Errorf("set the version: %w", err)
	}
	return nil
}
