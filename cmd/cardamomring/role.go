package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cragent"
	"cardamomring.dev/internal/crbalancer"
	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crobs"
	"cardamomring.dev/pkg/crdoc"
)

// adminGrace bounds the stop of the admin listener.
const adminGrace = time.Second

// process is one long-running role with what stands around it.
type process struct {
	role     crdoc.Role
	settings *crdoc.Settings
	logger   *log.Logger
	registry *prometheus.Registry
	// listens is true once the role has opened its listeners.
	listens atomic.Bool
	// serving says why the role can't serve, nil when it can.
	serving func() error
	// run runs the role until ctx ends.
	run func(ctx context.Context) error
}

// runRole runs a role from its settings file until ctx ends.
func runRole(ctx context.Context, role crdoc.Role, file string, errOut io.Writer) int {
	settings, err := loadSettings(role, file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	logger, err := crobs.NewLogger(settings.Log, errOut)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	p := &process{role: role, settings: settings, logger: logger, registry: crobs.NewRegistry()}
	p.open()
	if err := p.serve(ctx); err != nil {
		logger.Errorf("%s stopped: %v", settings.Name, err)
		return exitFailed
	}
	logger.Infof("%s stopped", settings.Name)
	return exitOK
}

// open makes the role.
func (p *process) open() {
	switch p.role {
	case crdoc.RoleBalancer:
		b := &crbalancer.Balancer{Settings: p.settings, Ready: p.ready, Registry: p.registry, Logf: p.logger.Warnf}
		p.run, p.serving = b.Run, b.Serving
	case crdoc.RoleAgent:
		a := &cragent.Agent{Settings: p.settings, Ready: p.ready, Registry: p.registry, Logf: p.logger.Warnf}
		p.run, p.serving = a.Run, a.Serving
	case crdoc.RoleControl:
		c := &crcontrol.Control{Settings: p.settings, Ready: p.ready, Registry: p.registry, Logf: p.logger.Infof}
		p.run, p.serving = c.Run, c.Serving
	}
}

// serve runs the role with its admin listener until ctx ends.
func (p *process) serve(ctx context.Context) error {
	admin := &crobs.Admin{
		Addr: p.settings.Admin, Registry: p.registry, Ready: p.canServe, EnablePprof: p.settings.Profile,
	}
	if err := admin.Start(); err != nil {
		return err
	}
	err := p.run(ctx)
	stopCtx, cancel := context.WithTimeout(context.Background(), adminGrace)
	defer cancel()
	if stopErr := admin.Stop(stopCtx); !errors.Is(stopErr, context.DeadlineExceeded) {
		err = errors.Join(err, stopErr)
	}
	return err
}

// ready notes that the role listens.
func (p *process) ready(addr string) {
	p.listens.Store(true)
	p.logger.Infof("%s listens on %s", p.settings.Name, addr)
}

// canServe says why the process can't serve, nil when it can.
func (p *process) canServe() error {
	if !p.listens.Load() {
		return errors.New("starting")
	}
	return p.serving()
}

// loadSettings reads a settings file and checks it for a role.
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
