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

// args are the arguments of the command line.
type args struct {
	Balancer *roleArgs    `arg:"subcommand:balancer" help:"run a balancer"`
	Agent    *roleArgs    `arg:"subcommand:agent" help:"run the agent of a backend server"`
	Control  *roleArgs    `arg:"subcommand:control" help:"run a control instance"`
	Backend  *backendArgs `arg:"subcommand:backend" help:"run a fake backend server for trials"`
	Demo     *demoArgs    `arg:"subcommand:demo" help:"run a whole system in this process for a while"`
	Fabric   *fabricArgs  `arg:"subcommand:fabric" help:"run a fake fabric that sprays datagrams over balancers, for trials"`
	Check    *checkArgs   `arg:"subcommand:check" help:"check service documents and settings files, and start nothing"`
	Call     *callArgs    `arg:"subcommand:call" help:"send requests to a service"`
	Keys     *keysArgs    `arg:"subcommand:keys" help:"make certificates and secrets"`
	Apply    *applyArgs   `arg:"subcommand:apply" help:"apply service documents"`
	Diff     *diffArgs    `arg:"subcommand:diff" help:"show what apply would change"`
	Get      *getArgs     `arg:"subcommand:get" help:"print the service documents in force"`
	Zone     *zoneArgs    `arg:"subcommand:zone" help:"take an availability zone out of service or bring it back"`
	Member   *memberArgs  `arg:"subcommand:member" help:"add, promote or remove a control instance"`
	Backup   *backupArgs  `arg:"subcommand:backup" help:"check or restore a copy of a control instance's log"`
	Status   *statusArgs  `arg:"subcommand:status" help:"show members, zones and the revision of each process"`
	Explain  *explainArgs `arg:"subcommand:explain" help:"show where a balancer would send a new flow now, and why; nothing is sent"`
	Audit    *auditArgs   `arg:"subcommand:audit" help:"print the audit trail of changes"`
	Version  *versionArgs `arg:"subcommand:version" help:"print the version"`
}

// Description returns the first line of the help.
func (args) Description() string {
	return "cardamomring: a layer-4 load balancer for rare priority traffic"
}

// run executes a command line and returns the exit code.
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

// dispatch runs the verb of the command line.
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
	case a.Demo != nil:
		return runDemo(ctx, a.Demo, out, errOut)
	case a.Fabric != nil:
		return runFabric(ctx, a.Fabric, errOut)
	case a.Check != nil:
		return runCheck(a.Check, out, errOut)
	case a.Call != nil:
		return runCall(ctx, a.Call, out, errOut)
	case a.Keys != nil:
		return runKeys(a.Keys, errOut)
	default:
		return a.dispatchOperator(ctx, out, errOut)
	}
}

// dispatchOperator runs a verb for operators or prints the version.
func (a *args) dispatchOperator(ctx context.Context, out, errOut io.Writer) int {
	switch {
	case a.Apply != nil:
		return runApply(ctx, a.Apply, out, errOut)
	case a.Diff != nil:
		return runDiff(ctx, a.Diff, out, errOut)
	case a.Get != nil:
		return runGet(ctx, a.Get, out, errOut)
	case a.Zone != nil:
		return runZone(ctx, a.Zone, out, errOut)
	case a.Member != nil:
		return runMember(ctx, a.Member, out, errOut)
	case a.Backup != nil:
		return runBackup(a.Backup, out, errOut)
	case a.Status != nil:
		return runStatus(ctx, a.Status, out, errOut)
	case a.Explain != nil:
		return runExplain(ctx, a.Explain, out, errOut)
	case a.Audit != nil:
		return runAudit(ctx, a.Audit, out, errOut)
	default:
		fmt.Fprintf(out, "cardamomring %s\n", version)
		return exitOK
	}
}
