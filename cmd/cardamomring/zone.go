package main

import (
	"context"
	"fmt"
	"io"
)

// zoneArgs are the arguments of zone.
type zoneArgs struct {
	Out *zoneNameArgs `arg:"subcommand:out" help:"take an availability zone out of service"`
	In  *zoneNameArgs `arg:"subcommand:in" help:"bring an availability zone back"`
}

// zoneNameArgs are the arguments of zone out and zone in.
type zoneNameArgs struct {
	operatorArgs
	Zone string `arg:"positional,required" placeholder:"ZONE"`
}

// runZone takes an availability zone out of service or brings it back.
func runZone(ctx context.Context, a *zoneArgs, out, errOut io.Writer) int {
	named, isOut, word := a.In, false, "in"
	if a.Out != nil {
		named, isOut, word = a.Out, true, "out"
	}
	if named == nil {
		fmt.Fprintln(errOut, "zone: want out or in")
		return exitUsage
	}
	return runOperator(ctx, &named.operatorArgs, out, errOut, func(ctx context.Context, o *operator) int {
		result, err := o.client.SetZoneOut(ctx, named.Zone, isOut)
		if err != nil {
			return o.printError(err)
		}
		if o.Output == outputJSON {
			return o.printJSON(result)
		}
		fmt.Fprintf(o.out, "zone %s is %s, revision %d\n", named.Zone, word, result.Revision)
		return exitOK
	})
}
