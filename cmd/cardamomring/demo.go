package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"cardamomring.dev/examples"
	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crtrial"
	"cardamomring.dev/pkg/crdoc"
)

// demoArgs are the arguments of demo.
type demoArgs struct {
	Time time.Duration `arg:"--time" default:"20s" help:"how long the callers run"`
	Log  bool          `arg:"--log" help:"print the log lines of the processes too"`
}

// demoPrintInterval is the time between two progress reports.
const demoPrintInterval = time.Second

// demoZoneOut is the availability zone that is taken out of service and brought
// back.
const demoZoneOut = "neng-b"

// Times of the demo's events as fractions of its total time.
const (
	burstStart   = 0.25
	zoneOutStart = 0.45
	zoneOutEnd   = 0.65
	burstEnd     = 0.75
)

// demoServer describes one backend server and its agent.
type demoServer struct {
	service, zone string
	// serviceTime is how long one request takes, parallel how many requests run at
	// the same time.
	serviceTime time.Duration
	parallel    int
	weight      int
}

// demoServers differ in speed like servers that were bought over several years.
var demoServers = []demoServer{
	{"loftbook", "neng-a", 4 * time.Millisecond, 8, 4},
	{"loftbook", "neng-b", 8 * time.Millisecond, 8, 2},
	{"loftbook", "neng-c", 16 * time.Millisecond, 6, 1},
	{"pedigree-press", "neng-a", 20 * time.Millisecond, 4, 1},
	{"pedigree-press", "neng-c", 10 * time.Millisecond, 4, 2},
	{"spaarpot-core", "leuven-a", 5 * time.Millisecond, 4, 2},
	{"spaarpot-core", "leuven-b", 10 * time.Millisecond, 4, 1},
	{"spaarpot-core", "gent-a", 5 * time.Millisecond, 3, 2},
	{"spaarpot-core", "gent-b", 12 * time.Millisecond, 3, 1},
	{"afschrift", "leuven-a", 30 * time.Millisecond, 4, 1},
	{"afschrift", "gent-a", 20 * time.Millisecond, 4, 1},
}

// demo is a running demo.
type demo struct {
	args       *demoArgs
	out        io.Writer
	deployment *crtrial.Deployment
	backends   []*crfake.Backend
	agentNames []string
	tally      *demoTally
	startTime  time.Time
}

// runDemo runs a whole system in this process and prints its progress.
func runDemo(ctx context.Context, a *demoArgs, out, errOut io.Writer) int {
	dir, err := os.MkdirTemp("", "cardamomring-demo-")
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	d := &demo{args: a, out: out, tally: newDemoTally()}
	err = errors.Join(d.run(ctx, dir, errOut), d.close(), os.RemoveAll(dir))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return d.printSummary()
}

// run starts the system and its callers and waits until the callers have ended.
func (d *demo) run(ctx context.Context, dir string, errOut io.Writer) error {
	services, err := demoServices()
	if err != nil {
		return err
	}
	d.deployment = &crtrial.Deployment{
		Dir: dir, Zones: examples.Zones, Services: services, ControlInstances: 1,
		MaxDelay: time.Millisecond, Seed: 1, Logf: func(format string, args ...any) {
			if d.args.Log {
				fmt.Fprintf(errOut, format+"\n", args...)
			}
		},
	}
	if err := d.start(ctx); err != nil {
		return err
	}
	callers, err := d.newCallers(dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "1 control instance, 2 balancers behind a fabric for each of %d services, %d agents; %s\n",
		len(services), len(demoServers), d.args.Time)
	ctx, cancel := context.WithTimeout(ctx, d.args.Time)
	defer cancel()
	d.startTime = time.Now()
	var group sync.WaitGroup
	for _, c := range callers {
		group.Go(func() { c.run(ctx) })
	}
	group.Go(func() { d.loop(ctx) })
	err = d.switchZone(ctx)
	group.Wait()
	return err
}

// start starts every process.
func (d *demo) start(ctx context.Context) error {
	if err := d.deployment.Start(ctx); err != nil {
		return err
	}
	for i, zone := range []string{"neng-a", "leuven-a"} {
		if err := d.deployment.StartBalancer(fmt.Sprintf("balancer-%d", i+1), zone); err != nil {
			return err
		}
	}
	for i, s := range demoServers {
		name := fmt.Sprintf("%s-%d", s.service, i+1)
		backend := &crfake.Backend{Addr: "127.0.0.1:0", Name: name, Switches: crfake.Switches{
			ServiceTime: crdoc.Duration(s.serviceTime), Parallel: s.parallel,
		}}
		if err := backend.Start(); err != nil {
			return err
		}
		d.backends = append(d.backends, backend)
		d.agentNames = append(d.agentNames, name)
		err := d.deployment.StartAgent(crtrial.AgentOptions{
			Name: name, Service: s.service, Zone: s.zone, Host: fmt.Sprintf("host-%d", i+1),
			Backend: backend.Bound(), Weight: s.weight,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// close stops the deployment, which stops control last, and then the backend
// servers.
func (d *demo) close() error {
	var errs []error
	if d.deployment != nil {
		errs = append(errs, d.deployment.Close())
	}
	for _, backend := range d.backends {
		errs = append(errs, backend.Close())
	}
	return errors.Join(errs...)
}

// timeOf converts a fraction of the demo's total time to the time from its start.
func (d *demo) timeOf(fraction float64) time.Duration {
	return time.Duration(fraction * float64(d.args.Time))
}

// switchZone takes demoZoneOut out of service and brings it back.
func (d *demo) switchZone(ctx context.Context) error {
	for _, e := range []struct {
		at  float64
		out bool
	}{{zoneOutStart, true}, {zoneOutEnd, false}} {
		select {
		case <-time.After(d.timeOf(e.at) - time.Since(d.startTime)):
		case <-ctx.Done():
			return nil
		}
		if err := d.deployment.SetZoneOut(ctx, demoZoneOut, e.out); err != nil {
			return fmt.Errorf("zone %s: %w", demoZoneOut, err)
		}
	}
	return nil
}

// demoServices reads the service documents of both customers.
func demoServices() ([]*crdoc.Service, error) {
	var out []*crdoc.Service
	for _, name := range []string{
		"consortium/loftbook", "consortium/pedigree-press", "spaarvarken/spaarpot-core", "spaarvarken/afschrift",
	} {
		data, err := examples.Services.ReadFile(name + ".json")
		if err != nil {
			return nil, err
		}
		doc, err := crdoc.ParseService(data, examples.Zones)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, doc)
	}
	return out, nil
}
