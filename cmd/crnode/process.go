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
	// reloadInterval is the time between two looks at the settings file, which
	// may change without a signal.
	reloadInterval = 2 * time.Second
	// listenerStopTimeout bounds the stop of a listener.
	listenerStopTimeout = 500 * time.Millisecond
)

// process is one role with what stands around it.
type process struct {
	settings *platform.Settings
	logger   *log.Logger
	registry *prometheus.Registry
	client   *crnet.Client
	// runRole runs until ctx ends.
	runRole func(ctx context.Context) error
	// checkReady says why the role can't serve, nil when it can.
	checkReady func() error
	// setControls takes the control instances of changed settings.
	setControls func(controls []string)
	// listeners serve the platform's calls while the role runs.
	listeners   []*crnet.Server
	metricsPort int
	// bindIP is the IP address that control listens on for our own processes.
	bindIP   string
	controls atomic.Pointer[[]string]
}

// newProcess makes a process for a role.
func newProcess(a args, settings *platform.Settings) (*process, error) {
	logger, err := crobs.NewLogger(crdoc.Log{Format: crdoc.FormatJSON}, os.Stdout)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: settings, logger: logger, registry: crobs.NewRegistry(), client: &crnet.Client{}, metricsPort: metricsPort,
		bindIP: settings.IP,
	}
	if a.Bind != "" {
		if _, err := netip.ParseAddr(a.Bind); err != nil {
			return nil, fmt.Errorf("--bind: %w", err)
		}
		p.bindIP = a.Bind
	}
	p.client.Open()
	controls := settings.ControlAddrs()
	p.controls.Store(&controls)
	switch a.Role {
	case "balancer":
		p.setUpBalancer()
	case "agent":
		p.setUpAgent()
	case "control":
		p.setUpControl()
	default:
		return nil, fmt.Errorf("role %q: want balancer, control or agent", a.Role)
	}
	if settings.Listen.Readiness != "" {
		p.addListener(settings.Listen.Readiness, platform.ReadinessHandler(func() error { return p.checkReady() }))
	}
	return p, nil
}

// addListener adds a listener.
func (p *process) addListener(addr string, h http.Handler) {
	p.listeners = append(p.listeners, &crnet.Server{Addr: addr, Handler: h})
}

// run serves until ctx ends.
func (p *process) run(ctx context.Context) error {
	s := p.settings
	p.logger.WithFields(log.Fields{
		"name": s.Name, "zone": s.Zone, "own": s.InternalAddr(), "controls": s.ControlAddrs(), "first": s.Bootstrap, "data": s.DataDir,
	}).Info("starting")
	admin := &crobs.Admin{
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(p.metricsPort)), Registry: p.registry, Ready: func() error { return p.checkReady() },
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
	loops.Go(func() { p.watchSettings(life) })
	err := p.runRole(ctx)
	cancel()
	loops.Wait()
	stopping, stop := context.WithTimeout(context.WithoutCancel(ctx), listenerStopTimeout)
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

// watchSettings reads the settings again at SIGHUP and now and then.
func (p *process) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-hup:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s, err := platform.LoadSettings()
		if err != nil {
			p.logger.WithError(err).Warn("settings can't be read again; going on with the former ones")
			continue
		}
		controls := s.ControlAddrs()
		if old := *p.controls.Swap(&controls); !slices.Equal(old, controls) {
			p.logger.WithFields(log.Fields{"controls": controls}).Info("settings reloaded")
			if p.setControls != nil {
				p.setControls(controls)
			}
		}
	}
}
