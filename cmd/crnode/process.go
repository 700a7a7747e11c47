package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crobs"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/platform"
)

const (
	// metricsPort and controlMetricsPort serve metrics; deploy/system.toml
	// names them as well. A balancer and a control instance may share a
	// machine.
	metricsPort        = 9400
	controlMetricsPort = 9401
	// reloadPause is the time between two looks at the settings file, which
	// may change without a signal.
	reloadPause = 2 * time.Second
	// stopGrace bounds the stop of a listener.
	stopGrace = 500 * time.Millisecond
)

// process is one role with what stands around it.
type process struct {
	settings *platform.Settings
	logger   *log.Logger
	registry *prometheus.Registry
	client   *crnet.Client
	// role runs until ctx ends.
	role func(ctx context.Context) error
	// serving says why the role can't serve, nil when it can.
	serving func() error
	// reload takes the control instances of changed settings.
	reload func(controls []string)
	// listeners serve the platform's calls while the role runs.
	listeners []*crnet.Server
	metrics   int
	// bind is the IP address that control listens on for our own processes.
	bind     string
	controls atomic.Pointer[[]string]
}

// newProcess makes a process for a role.
func newProcess(a args, settings *platform.Settings) (*process, error) {
	logger, err := crobs.NewLogger(crdoc.Log{Format: crdoc.FormatJSON}, os.Stdout)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: settings, logger: logger, registry: crobs.NewRegistry(), client: &crnet.Client{}, metrics: metricsPort,
		bind: settings.IP,
	}
	if a.Bind != "" {
		if _, err := netip.ParseAddr(a.Bind); err != nil {
			return nil, fmt.Errorf("--bind: %w", err)
		}
		p.bind = a.Bind
	}
	p.client.Open()
	controls := settings.Controls()
	p.controls.Store(&controls)
	switch a.Role {
	case "balancer":
		p.balancer()
	case "agent":
		p.agent()
	case "control":
		p.control()
	default:
		return nil, fmt.Errorf("role %q: want balancer, control or agent", a.Role)
	}
	if settings.Listen.Ready != "" {
		p.serve(settings.Listen.Ready, platform.Ready(func() error { return p.serving() }))
	}
	return p, nil
}

// serve adds a listener.
func (p *process) serve(addr string, h http.Handler) {
	p.listeners = append(p.listeners, &crnet.Server{Addr: addr, Handler: h})
}

// run serves until ctx ends.
func (p *process) run(ctx context.Context) error {
	s := p.settings
	p.logger.WithFields(log.Fields{
		"name": s.Name, "zone": s.Zone, "own": s.Own(), "controls": s.Controls(), "first": s.First, "data": s.Data,
	}).Info("starting")
	admin := &crobs.Admin{
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(p.metrics)), Registry: p.registry, Ready: func() error { return p.serving() },
	}
	if err := admin.Start(); err != nil {
		return err
	}
	for _, l := range p.listeners {
		if err := l.Start(); err != nil {
			return err
		}
	}
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	loops.Go(func() { p.loop(life) })
	err := p.role(ctx)
	cancel()
	loops.Wait()
	stopping, stop := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer stop()
	for _, l := range p.listeners {
		// A call that doesn't end within the grace is cut; its caller asks
		// another instance.
		if stopErr := l.Stop(stopping); stopErr != nil && !errors.Is(stopErr, context.DeadlineExceeded) {
			err = errors.Join(err, stopErr)
		}
	}
	_ = admin.Stop(stopping)
	p.client.Close()
	return err
}

// loop reads the settings again at SIGHUP and now and then.
func (p *process) loop(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadPause)
	defer tick.Stop()
	for {
		select {
		case <-hup:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s, err := platform.Load()
		if err != nil {
			p.logger.WithError(err).Warn("settings can't be read again; going on with the former ones")
			continue
		}
		controls := s.Controls()
		if old := *p.controls.Swap(&controls); !slices.Equal(old, controls) {
			p.logger.WithFields(log.Fields{"controls": controls}).Info("settings reloaded")
			if p.reload != nil {
				p.reload(controls)
			}
		}
	}
}
