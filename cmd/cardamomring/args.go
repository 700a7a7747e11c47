package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"cardamomring.dev/pkg/crdoc"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// roleArgs are the arguments of a long-running role.
type roleArgs struct {
	Config string `arg:"-c,--config,required" placeholder:"FILE" help:"settings file"`
}

// versionArgs are the arguments of version.
type versionArgs struct{}

// args is the command line.
type args struct {
	Balancer *roleArgs    `arg:"subcommand:balancer" help:"run a balancer"`
	Agent    *roleArgs    `arg:"subcommand:agent" help:"run the agent of a backend server"`
	Control  *roleArgs    `arg:"subcommand:control" help:"run a control instance"`
	Backend  *backendArgs `arg:"subcommand:backend" help:"run a fake backend server for trials"`
	Check    *checkArgs   `arg:"subcommand:check" help:"check service documents and settings files, and start nothing"`
	Keys     *keysArgs    `arg:"subcommand:keys" help:"make certificates and secrets"`
	Version  *versionArgs `arg:"subcommand:version" help:"print the version"`
}

// Description is the first line of the help.
func (args) Description() string {
	return "cardamomring: a layer-4 load balancer for rare priority traffic"
}

// run carries out a command line and returns the exit code.
func run(argv []string, out, errOut io.Writer) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "cardamomring", Out: out}, &a)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		fmt.Fprintf(errOut, "error: %v\n", err)
		return exitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(out)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return a.dispatch(ctx, out, errOut)
}

// dispatch runs the verb that was given.
func (a *args) dispatch(ctx context.Context, out, errOut io.Writer) int {
	switch {
	case a.Balancer != nil:
		return runRole(ctx, crdoc.RoleBalancer, a.Balancer.Config, errOut)
	case a.Agent != nil:
		return runRole(ctx, crdoc.RoleAgent, a.Agent.Config, errOut)
	case a.Control != nil:
		return runRole(ctx, crdoc.RoleControl, a.Control.Config, errOut)
	case a.Backend != nil:
		return runBackend(ctx, a.Backend, errOut)
	case a.Check != nil:
		return runCheck(a.Check, out, errOut)
	case a.Keys != nil:
		return runKeys(a.Keys, errOut)
	default:
		fmt.Fprintf(out, "cardamomring %s\n", version)
		return exitOK
	}
}
