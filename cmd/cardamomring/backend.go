package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/pkg/crdoc"
)

// backendArgs are the arguments of backend.
type backendArgs struct {
	Listen string        `arg:"-l,--listen,required" placeholder:"HOST:PORT" help:"address to listen on"`
	Name   string        `arg:"-n,--name" default:"backend" help:"name in each answer"`
	Time   time.Duration `arg:"-t,--time" default:"5ms" help:"time that one request takes"`

	Parallel int           `arg:"-p,--parallel" placeholder:"N" help:"requests that run at once; 0 is no bound"`
	Bears    int           `arg:"-b,--bears" placeholder:"N" help:"requests that it bears while cold; 0 bears all"`
	Warm     time.Duration `arg:"-w,--warm" default:"0s" help:"time until it is warm"`
	Down     time.Duration `arg:"-d,--down" default:"1s" help:"time that it is down after more than it bears"`
	Late     time.Duration `arg:"--late" default:"5s" help:"delay of the fault late"`
	Fault    crfake.Fault  `arg:"-f,--fault" default:"none" help:"none, shed, frozen, late, crossed, cut, error or reset"`
	Health   int           `arg:"--health" default:"200" placeholder:"STATUS" help:"status of /healthz, true or not"`
}

// switches returns the switches of the fake backend server from the arguments.
func (a *backendArgs) switches() crfake.Switches {
	return crfake.Switches{
		ServiceTime: crdoc.Duration(a.Time), Parallel: a.Parallel, ColdCapacity: a.Bears, WarmUp: crdoc.Duration(a.Warm),
		DownTime: crdoc.Duration(a.Down), LateDelay: crdoc.Duration(a.Late), Fault: a.Fault, Health: a.Health,
	}
}

// runBackend runs a fake backend server until ctx ends. A POST to /fake changes its
// switches at run time.
func runBackend(ctx context.Context, a *backendArgs, errOut io.Writer) int {
	backend := &crfake.Backend{Addr: a.Listen, Name: a.Name, Switches: a.switches()}
	if err := backend.Start(); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	fmt.Fprintf(errOut, "%s listens on %s\n", a.Name, backend.Bound())
	<-ctx.Done()
	if err := backend.Close(); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	printRuns(backend, errOut)
	return exitOK
}

// printRuns prints how many requests with a body ran, and how many of these runs
// were repetitions.
func printRuns(backend *crfake.Backend, errOut io.Writer) {
	total, repeated := 0, 0
	for body, n := range backend.Runs() {
		if body != "" {
			total += n
			repeated += n - 1
		}
	}
	fmt.Fprintf(errOut, "%s ran %d requests with a body, %d of them again\n", backend.Name, total, repeated)
}
