// Command crnode runs one role of cardamomring on the machines of a platform
// that writes a settings file for each process: a balancer, a control instance
// or an agent that carries opaque flows.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"cardamomring.dev/platform"
)

// args are the arguments of the command line.
type args struct {
	Role     string `arg:"positional,required" help:"balancer, control or agent"`
	Bind     string `arg:"--bind" help:"IP address that control listens on for our own processes, where they reach it by another one, such as a proxy's"`
	EvenLoad bool   `arg:"--even-load" help:"balancer: spread new flows for even load where callers keep flows open for many requests"`
	// ShareWindow and RouteReserve are settings of an agent.
	ShareWindow  time.Duration `arg:"--share-window" help:"agent: while flows of several client accounts wait, those of an account that got more than its share of the work in this time go last; 0 means without regard to accounts"`
	RouteReserve float64       `arg:"--route-reserve" help:"agent: share of the work, 0 to 1, that is divided between the routes in use as their minimum; needs --share-window"`
}

// Description returns the first line of the help.
func (args) Description() string {
	return "Runs one role; " + platform.SettingsEnv + " names its settings file."
}

// gcMemoryShare is the share of the process's memory limit that is set as the soft
// limit of the Go runtime. The rest is left for stacks, sockets and bursts.
const gcMemoryShare = 0.6

// setMemoryLimit sets the soft memory limit of the Go runtime, so that the garbage
// collector runs more often before the process reaches its memory limit.
func setMemoryLimit(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(megabytes) * (1 << 20)))
	}
}

func main() {
	// Until the handler is set, the signal would end the process. The settings are read
	// after this.
	signal.Ignore(syscall.SIGHUP)
	var a args
	arg.MustParse(&a)
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// A write to an output that was closed returns an error then, and doesn't end the
	// process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	setMemoryLimit(settings.Limits.MemoryMB)
	p, err := newProcess(a, settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := p.run(ctx); err != nil {
		p.logger.WithError(err).Error("stopped after an error")
		p.output.Close()
		os.Exit(1)
	}
	p.logger.Info("stopped")
	p.output.Close()
}
