package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"cardamomring.dev/internal/crfake"
)

// backendArgs are the arguments of backend.
type backendArgs struct {
	Listen string        `arg:"-l,--listen,required" placeholder:"HOST:PORT" help:"address to listen on"`
	Name   string        `arg:"-n,--name" default:"backend" help:"name in each answer"`
	Time   time.Duration `arg:"-t,--time" default:"5ms" help:"time that one request takes"`
}

// runBackend runs a fake backend server until ctx ends.
func runBackend(ctx context.Context, a *backendArgs, errOut io.Writer) int {
	backend := &crfake.Backend{Addr: a.Listen, Name: a.Name, Service: a.Time}
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
	reportRuns(backend, errOut)
	return exitOK
}

// reportRuns prints how many requests with a body ran, and how many of them
// ran again.
func reportRuns(backend *crfake.Backend, errOut io.Writer) {
	total, again := 0, 0
	for body, n := range backend.Runs() {
		if body != "" {
			total += n
			again += n - 1
		}
	}
	fmt.Fprintf(errOut, "%s ran %d requests with a body, %d of them again\n", backend.Name, total, again)
}
