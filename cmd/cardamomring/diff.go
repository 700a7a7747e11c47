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

// difference is what apply would do to one service.
type difference struct {
	File    string `json:"file"`
	Service string `json:"service"`
	// Answer is create, change, unchanged, or conflict.
	Answer string `json:"answer"`
	// From is the document's version and Version the one in force.
	From    uint64 `json:"from"`
	Version uint64 `json:"version"`
	// Lines are the fields that differ: "- field: old" and "+ field: new".
	Lines []string `json:"lines,omitempty"`
}

// runDiff shows what apply would change.
func runDiff(ctx context.Context, a *diffArgs, out, errOut io.Writer) int {
	do := func(_ context.Context, o *operator, docs []document, view *croper.View) int {
		all := make([]difference, len(docs))
		for i, d := range docs {
			all[i] = compare(d, view.Services[d.doc.Name])
		}
		if o.Output == outputJSON {
			return o.json(all)
		}
		for _, d := range all {
			o.print(d)
		}
		return exitOK
	}
	return runDocuments(ctx, &a.operatorArgs, a.File, out, errOut, do)
}

// compare compares a document with the one in force.
func compare(d document, old *crdoc.Service) difference {
	out := difference{File: d.file, Service: d.doc.Name, Answer: "create", From: d.doc.Version}
	was := map[string]string{}
	if old != nil {
		out.Version = old.Version
		was = flatten(old)
		out.Answer = "change"
	}
	if old != nil && sameBody(old, d.doc) {
		out.Answer = "unchanged"
		return out
	}
	if out.From != out.Version {
		out.Answer = "conflict"
	}
	out.Lines = changes(was, flatten(d.doc))
	return out
}

// print writes a difference to people.
func (o *operator) print(d difference) {
	switch d.Answer {
	case "conflict":
		fmt.Fprintf(o.out, "%s: conflict: version %d is in force, the document was edited from version %d\n",
			d.Service, d.Version, d.From)
	default:
		fmt.Fprintf(o.out, "%s: %s\n", d.Service, d.Answer)
	}
	for _, line := range d.Lines {
		fmt.Fprintf(o.out, "  %s\n", line)
	}
}

// changes lists the fields that differ, in the order of their places.
func changes(was, is map[string]string) []string {
	places := maps.Clone(was)
	maps.Copy(places, is)
	var lines []string
	for _, place := range slices.Sorted(maps.Keys(places)) {
		old, had := was[place]
		next, has := is[place]
		if had && has && old == next {
			continue
		}
		if had {
			lines = append(lines, fmt.Sprintf("- %s: %s", place, old))
		}
		if has {
			lines = append(lines, fmt.Sprintf("+ %s: %s", place, next))
		}
	}
	return lines
}

// flatten returns a document's fields but the version by their places.
func flatten(doc *crdoc.Service) map[string]string {
	fields := map[string]string{}
	var tree any
	data, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(data, &tree)
	}
	if err != nil {
		// A document is plain data that came by JSON.
		return fields
	}
	flattenInto(fields, "", tree)
	delete(fields, "version")
	return fields
}

// flattenInto adds the leaves of a JSON tree.
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
