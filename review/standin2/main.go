// Command standin2 plays the scripts of the second review: it starts the programs of
// the deploy file as separate processes on loopback and stands in for the platform, the
// operator, the hosts and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its script.
var cases = map[string]func(f *fleet) int{
	"first-start":   playFirstStart,
	"replaced-core": playReplacedCore,
	"crashed-host":  playCrashedHost,
	"rolled-agents": playRolledAgents,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case and ends all processes that it started.
func run(play func(f *fleet) int, program, record string) int {
	f, err := newFleet(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() { done <- play(f) }()
	select {
	case code := <-done:
		f.note("exit status %d", code)
		return code
	case <-stop:
		f.note("stopped by a signal")
		return exitNotRun
	}
}
