package main

import (
	"context"
	"fmt"
	"io"

	"cardamomring.dev/pkg/croper"
)

// memberArgs are the arguments of member.
type memberArgs struct {
	Add     *memberAddArgs `arg:"subcommand:add" help:"admit a control instance; it receives the log and has no vote"`
	Promote *memberIDArgs  `arg:"subcommand:promote" help:"give a control instance a vote as soon as it holds the log"`
	Remove  *memberIDArgs  `arg:"subcommand:remove" help:"take a control instance out"`
}

// memberAddArgs are the arguments of member add.
type memberAddArgs struct {
	operatorArgs
	ID      uint64 `arg:"positional,required" placeholder:"ID"`
	Address string `arg:"positional,required" placeholder:"HOST:PORT"`
}

// memberIDArgs are the arguments of member promote and member remove.
type memberIDArgs struct {
	operatorArgs
	ID uint64 `arg:"positional,required" placeholder:"ID"`
}

// runMember adds, promotes or removes a control instance.
func runMember(ctx context.Context, a *memberArgs, out, errOut io.Writer) int {
	switch {
	case a.Add != nil:
		return runOperator(ctx, &a.Add.operatorArgs, out, errOut, func(ctx context.Context, o *operator) int {
			result, err := o.client.AddInstance(ctx, a.Add.ID, a.Add.Address)
			return o.printMember(a.Add.ID, "is admitted", result, err)
		})
	case a.Promote != nil:
		return runOperator(ctx, &a.Promote.operatorArgs, out, errOut, func(ctx context.Context, o *operator) int {
			result, err := o.client.PromoteInstance(ctx, a.Promote.ID)
			return o.printMember(a.Promote.ID, "has a vote as soon as it holds the log", result, err)
		})
	case a.Remove != nil:
		return runOperator(ctx, &a.Remove.operatorArgs, out, errOut, func(ctx context.Context, o *operator) int {
			result, err := o.client.RemoveInstance(ctx, a.Remove.ID)
			return o.printMember(a.Remove.ID, "is out", result, err)
		})
	default:
		fmt.Fprintln(errOut, "member: want add, promote or remove")
		return exitUsage
	}
}

// printMember prints the result of a change to a control instance.
func (o *operator) printMember(id uint64, text string, result croper.Result, err error) int {
	if err != nil {
		return o.printError(err)
	}
	if o.Output == outputJSON {
		return o.printJSON(result)
	}
	fmt.Fprintf(o.out, "instance %d %s\n", id, text)
	return exitOK
}
