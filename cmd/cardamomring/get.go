package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"cardamomring.dev/pkg/crdoc"
)

// getArgs are the arguments of get.
type getArgs struct {
	operatorArgs
	Service string `arg:"positional" placeholder:"SERVICE" help:"print this service's document in force"`
}

// runGet prints one document in force, or a list of all.
func runGet(ctx context.Context, a *getArgs, out, errOut io.Writer) int {
	return runOperator(ctx, &a.operatorArgs, out, errOut, func(ctx context.Context, o *operator) int {
		view, err := o.client.View(ctx)
		if err != nil {
			return o.printError(err)
		}
		if a.Service != "" {
			doc := view.Services[a.Service]
			if doc == nil {
				return o.printError(fmt.Errorf("service %s does not exist", a.Service))
			}
			return o.printJSON(doc)
		}
		docs := slices.SortedFunc(maps.Values(view.Services), func(a, b *crdoc.Service) int {
			return cmp.Compare(a.Name, b.Name)
		})
		if o.Output == outputJSON {
			return o.printJSON(docs)
		}
		rows := [][]string{{"SERVICE", "CUSTOMER", "VERSION", "ADDRESS", "ZONES"}}
		for _, doc := range docs {
			rows = append(rows, []string{
				doc.Name, doc.Customer, fmt.Sprint(doc.Version), doc.Address, strings.Join(doc.Zones, ","),
			})
		}
		return o.printTable(rows)
	})
}
