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
	// metricsPort and controlMetricsPort are the ports of the metrics page. They
	// differ because a balancer and a control instance may share a machine.
	// deploy/system.toml names the same ports.
	metricsPort        = 9400
	controlMetricsPort = 9401
	// reloadInterval is the time between two reads of the settings file, which
	// may change without a signal.
	reloadInterval = 2 * time.Second
	// listenerStopTimeout is the time that listeners get to finish their calls when
	// the process stops.
	listenerStopTimeout = 500 * time.Millisecond
)

// process runs one role with its log, metrics and listeners.
type process struct {
	settings *platform.Settings
	output   *crobs.Output
	logger   *log.Logger
	registry *prometheus.Registry
	client   *crnet.Client
	// runRole runs the role until ctx ends.
	runRole func(ctx context.Context) error
	// checkReady returns the reason if the role can't serve, and nil otherwise.
	checkReady func() error
	// setControls replaces the role's control instances after a change of the
	// settings. It is nil for the control role, which reads the field controls.
	setControls func(controls []string)
	// listeners serve calls of the platform while the role runs.
	listeners []*crnet.Server
	// explain explains where a flow would go; nil but for the balancer.
	explain     http.HandlerFunc
	metricsPort int
	// bindIP is the IP address on which a control instance listens for the
	// system's own processes.
	bindIP string
	// controls are the host:port of the control instances.
	controls atomic.Pointer[[]string]
}

// newProcess returns a process for the role that the arguments name.
func newProcess(a args, settings *platform.Settings) (*process, error) {
	registry := crobs.NewRegistry()
	output := &crobs.Output{W: os.Stdout, Registry: registry}
	logger, err := crobs.NewLogger(crdoc.Log{Format: crdoc.FormatJSON}, output)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: settings, output: output, logger: logger, registry: registry, client: &crnet.Client{}, metricsPort: metricsPort,
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
		p.setUpBalancer(a.EvenLoad)
	case "agent":
		if a.ShareWindow < 0 || a.RouteReserve < 0 || a.RouteReserve > 1 || a.RouteReserve > 0 && a.ShareWindow == 0 {
			return nil, fmt.Errorf("--share-window %s, --route-reserve %g: want a time that isn't negative and a share from 0 to 1, which needs a time", a.ShareWindow, a.RouteReserve)
		}
		p.setUpAgent(a.ShareWindow, a.RouteReserve)
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

// addListener adds a listener that runs while the role runs.
func (p *process) addListener(addr string, h http.Handler) {
	p.listeners = append(p.listeners, &crnet.Server{Addr: addr, Handler: h})
}

// run runs the role and the listeners until ctx ends, and then stops them.
func (p *process) run(ctx context.Context) error {
	s := p.settings
	p.logger.WithFields(log.Fields{
		"name": s.Name, "zone": s.Zone, "own": s.InternalAddr(), "controls": s.ControlAddrs(), "first": s.Bootstrap, "data": s.DataDir,
	}).Info("starting")
	admin := &crobs.Admin{
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(p.metricsPort)), Registry: p.registry, Ready: func() error { return p.checkReady() },
		Explain: p.explain,
	}
	if err := admin.Start(); err != nil {
		return err
	}
	for _, l := range p.listeners {
		if err := l.Start(); err != nil {
			return err
		}
	}
	watchCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	loops.Go(func() { p.loop(watchCtx) })
	err := p.runRole(ctx)
	cancel()
	loops.Wait()
	stopCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), listenerStopTimeout)
	defer stop()
	for _, l := range p.listeners {
		// A call that doesn't end within the timeout is cut off. Its caller retries
		// at another instance.
		if stopErr := l.Stop(stopCtx); stopErr != nil && !errors.Is(stopErr, context.DeadlineExceeded) {
			err = errors.Join(err, stopErr)
		}
	}
	_ = admin.Stop(stopCtx)
	p.client.Close()
	return err
}

// loop reads the settings again at SIGHUP and every reloadInterval, and passes
// changed control instances to the role.
func (p *process) loop(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hup:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s, err := platform.LoadSettings()
		if err != nil {
			p.logger.WithError(err).Warn("settings file can't be read; keeping the previous settings")
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
