package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cragent"
	"cardamomring.dev/internal/crbalancer"
	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crobs"
	"cardamomring.dev/pkg/crdoc"
)

// adminStopTimeout limits the stop of the admin listener.
const adminStopTimeout = time.Second

// process runs one role with its log, metrics and admin listener.
type process struct {
	role     crdoc.Role
	settings *crdoc.Settings
	logger   *log.Logger
	registry *prometheus.Registry
	// listening is true once the role has opened its listeners.
	listening atomic.Bool
	// checkServing returns the reason if the role can't serve, and nil otherwise.
	checkServing func() error
	// runRole runs the role until ctx ends.
	runRole func(ctx context.Context) error
	// explain explains where a request would go; nil but for the balancer.
	explain http.HandlerFunc
}

// runRole runs the role that a settings file describes until ctx ends.
func runRole(ctx context.Context, role crdoc.Role, file string, errOut io.Writer) int {
	settings, err := loadSettings(role, file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	// A write to an output that was closed returns an error then, and doesn't end the
	// process.
	signal.Ignore(syscall.SIGPIPE)
	registry := crobs.NewRegistry()
	output := &crobs.Output{W: errOut, Registry: registry}
	logger, err := crobs.NewLogger(settings.Log, output)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	defer output.Close()
	p := &process{role: role, settings: settings, logger: logger, registry: registry}
	p.createRole()
	if err := p.serve(ctx); err != nil {
		logger.Errorf("%s stopped: %v", settings.Name, err)
		return exitFailed
	}
	logger.Infof("%s stopped", settings.Name)
	return exitOK
}

// createRole creates the role and sets runRole and checkServing.
func (p *process) createRole() {
	switch p.role {
	case crdoc.RoleBalancer:
		b := &crbalancer.Balancer{Settings: p.settings, Ready: p.markListening, Registry: p.registry, Logf: p.logger.Warnf}
		p.runRole, p.checkServing, p.explain = b.Run, b.Serving, b.HandleExplain
	case crdoc.RoleAgent:
		a := &cragent.Agent{Settings: p.settings, Ready: p.markListening, Registry: p.registry, Logf: p.logger.Warnf}
		p.runRole, p.checkServing = a.Run, a.Serving
	case crdoc.RoleControl:
		c := &crcontrol.Control{Settings: p.settings, Ready: p.markListening, Registry: p.registry, Logf: p.logger.Infof}
		p.runRole, p.checkServing = c.Run, c.Serving
	}
}

// serve runs the role and the admin listener until ctx ends.
func (p *process) serve(ctx context.Context) error {
	admin := &crobs.Admin{
		Addr: p.settings.Admin, Registry: p.registry, Ready: p.checkReady, EnablePprof: p.settings.Profile,
		Explain: p.explain,
	}
	if err := admin.Start(); err != nil {
		return err
	}
	err := p.runRole(ctx)
	stopCtx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
	defer cancel()
	if stopErr := admin.Stop(stopCtx); !errors.Is(stopErr, context.DeadlineExceeded) {
		err = errors.Join(err, stopErr)
	}
	return err
}

// markListening records that the role has opened its listeners.
func (p *process) markListening(addr string) {
	p.listening.Store(true)
	p.logger.Infof("%s listens on %s", p.settings.Name, addr)
}

// checkReady returns the reason if the process can't serve, and nil otherwise.
func (p *process) checkReady() error {
	if !p.listening.Load() {
		return errors.New("starting")
	}
	return p.checkServing()
}

// loadSettings reads a settings file and checks it for the role.
func loadSettings(role crdoc.Role, file string) (*crdoc.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := crdoc.ParseSettings(data, os.ReadFile)
	var findings crdoc.Findings
	if errors.As(err, &findings) {
		return nil, findings.WithFile(file)
	}
	if err != nil {
		return nil, err
	}
	return settings, settings.CheckRole(role).WithFile(file).Err()
}
