package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// diffArgs are the arguments of diff.
type diffArgs struct {
	operatorArgs
	File []string `arg:"-f,--file,required" placeholder:"FILE|DIR" help:"service documents, or directories of them"`
}

// difference is the change that apply would make to one service.
type difference struct {
	File    string `json:"file"`
	Service string `json:"service"`
	// Answer is create, change, unchanged or conflict.
	Answer string `json:"answer"`
	// DocumentVersion is the version in the file, VersionInForce the one in force.
	DocumentVersion uint64 `json:"from"`
	VersionInForce  uint64 `json:"version"`
	// Lines are the fields that differ: "- field: old" and "+ field: new".
	Lines []string `json:"lines,omitempty"`
}

// runDiff shows what apply would change.
func runDiff(ctx context.Context, a *diffArgs, out, errOut io.Writer) int {
	do := func(_ context.Context, o *operator, docs []document, view *croper.View) int {
		all := make([]difference, len(docs))
		for i, d := range docs {
			all[i] = compareDocument(d, view.Services[d.doc.Name])
		}
		if o.Output == outputJSON {
			return o.printJSON(all)
		}
		for _, d := range all {
			o.printDifference(d)
		}
		return exitOK
	}
	return runDocuments(ctx, &a.operatorArgs, a.File, out, errOut, do)
}

// compareDocument compares a document with the one in force, which is nil if there
// is none.
func compareDocument(d document, old *crdoc.Service) difference {
	out := difference{File: d.file, Service: d.doc.Name, Answer: "create", DocumentVersion: d.doc.Version}
	oldFields := map[string]string{}
	if old != nil {
		out.VersionInForce = old.Version
		oldFields = flatten(old)
		out.Answer = "change"
	}
	if old != nil && equalIgnoringVersion(old, d.doc) {
		out.Answer = "unchanged"
		return out
	}
	if out.DocumentVersion != out.VersionInForce {
		out.Answer = "conflict"
	}
	out.Lines = diffLines(oldFields, flatten(d.doc))
	return out
}

// printDifference prints a difference as text.
func (o *operator) printDifference(d difference) {
	switch d.Answer {
	case "conflict":
		fmt.Fprintf(o.out, "%s: conflict: version %d is in force, the document was edited from version %d\n",
			d.Service, d.VersionInForce, d.DocumentVersion)
	default:
		fmt.Fprintf(o.out, "%s: %s\n", d.Service, d.Answer)
	}
	for _, line := range d.Lines {
		fmt.Fprintf(o.out, "  %s\n", line)
	}
}

// diffLines returns a line for each old and new value that differs, ordered by the
// place of the field.
func diffLines(oldFields, newFields map[string]string) []string {
	places := maps.Clone(oldFields)
	maps.Copy(places, newFields)
	var lines []string
	for _, place := range slices.Sorted(maps.Keys(places)) {
		oldValue, inOld := oldFields[place]
		newValue, inNew := newFields[place]
		if inOld && inNew && oldValue == newValue {
			continue
		}
		if inOld {
			lines = append(lines, fmt.Sprintf("- %s: %s", place, oldValue))
		}
		if inNew {
			lines = append(lines, fmt.Sprintf("+ %s: %s", place, newValue))
		}
	}
	return lines
}

// flatten returns the fields of a document by their places, without the version.
func flatten(doc *crdoc.Service) map[string]string {
	fields := map[string]string{}
	var tree any
	data, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(data, &tree)
	}
	if err != nil {
		// Can't happen: a document is plain data that was decoded from JSON.
		return fields
	}
	flattenInto(fields, "", tree)
	delete(fields, "version")
	return fields
}

// flattenInto adds the leaves of the JSON tree v to fields, with place as the prefix
// of their places.
func flattenInto(fields map[string]string, place string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			if place != "" {
				name = place + "." + name
			}
			flattenInto(fields, name, item)
		}
	case []any:
		for i, item := range v {
			flattenInto(fields, fmt.Sprintf("%s[%d]", place, i), item)
		}
	default:
		data, err := json.Marshal(v)
		if err == nil {
			fields[place] = string(data)
		}
	}
}
