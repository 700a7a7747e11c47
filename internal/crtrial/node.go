package crtrial

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cragent"
	"cardamomring.dev/internal/crbalancer"
	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/pkg/crdoc"
)

// bindPollInterval is how often StartBalancer checks whether the balancer has
// bound the addresses of the services.
const bindPollInterval = 5 * time.Millisecond

// AgentOptions describe an agent and its backend server.
type AgentOptions struct {
	Name, Service, Zone, Host string
	// Backend is the host:port of its backend server.
	Backend string
	// Weight is the relative speed of the backend server, at least 1.
	Weight int
}

// StartControl starts a control instance; IDs start at 1. It reuses the data
// folder of an earlier run with the same ID.
func (d *Deployment) StartControl(id int) error {
	name := "control-" + strconv.Itoa(id)
	cfg := d.newSettings(name, d.Zones[(id-1)%len(d.Zones)])
	cfg.Replica = &crdoc.Replica{
		ID: uint64(id), Listen: d.controlAddrs[id-1], DataDir: filepath.Join(d.Dir, name), Members: d.members(),
	}
	c := &crcontrol.Control{Settings: cfg, Logf: d.Logf}
	return d.startNode(cfg, func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error {
		c.Registry, c.Ready = registry, ready
		return c.Run(ctx)
	})
}

// members maps the ID of each control instance to its address.
func (d *Deployment) members() map[uint64]string {
	addrs := map[uint64]string{}
	for i, addr := range d.controlAddrs {
		addrs[uint64(i)+1] = addr
	}
	return addrs
}

// StartBalancer starts a balancer, waits until it receives datagrams for every
// service, and adds it to the fabrics.
func (d *Deployment) StartBalancer(name, zone string) error {
	cfg := d.newSettings(name, zone)
	cfg.Balancer = &crdoc.Balancer{HTTP: ephemeralAddr, Datagrams: true, ReturnAddr: ephemeralAddr, Listen: map[string]string{}}
	for _, fabric := range d.fabrics {
		cfg.Balancer.Listen[fabric.Bound().String()] = ephemeralAddr
	}
	b := &crbalancer.Balancer{Settings: cfg, Logf: d.Logf}
	err := d.startNode(cfg, func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error {
		b.Registry, b.Ready = registry, ready
		return b.Run(ctx)
	})
	if err != nil {
		return err
	}
	for service, fabric := range d.fabrics {
		addr, err := d.waitBound(b, service)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.endpoints[service] = append(d.endpoints[service], balancerEndpoint{balancer: name, addr: addr})
		d.mu.Unlock()
		fabric.SetBalancers(d.endpointAddrs(service)...)
	}
	return nil
}

// StopBalancer removes a balancer from the fabrics, as an operator does before
// a planned stop, and stops it.
func (d *Deployment) StopBalancer(name string) error {
	for service, fabric := range d.fabrics {
		d.mu.Lock()
		d.endpoints[service] = slices.DeleteFunc(d.endpoints[service], func(e balancerEndpoint) bool { return e.balancer == name })
		d.mu.Unlock()
		fabric.SetBalancers(d.endpointAddrs(service)...)
	}
	return d.Stop(name)
}

// balancerEndpoint is the address at which a balancer receives the datagrams of
// a service.
type balancerEndpoint struct {
	balancer string
	addr     netip.AddrPort
}

// endpointAddrs returns the addresses at which the balancers receive the
// datagrams of a service.
func (d *Deployment) endpointAddrs(service string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addrs []netip.AddrPort
	for _, e := range d.endpoints[service] {
		addrs = append(addrs, e.addr)
	}
	return addrs
}

// waitBound waits until a balancer receives the datagrams of a service, and
// returns its address.
func (d *Deployment) waitBound(b *crbalancer.Balancer, service string) (netip.AddrPort, error) {
	for deadline := time.Now().Add(bindTimeout); time.Now().Before(deadline); time.Sleep(bindPollInterval) {
		if addr, ok := b.DatagramAddr(service); ok {
			return addr, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("balancer %s did not bind service %s within %s", b.Settings.Name, service, bindTimeout)
}

// StartAgent starts an agent for a running backend server.
func (d *Deployment) StartAgent(opts AgentOptions) error {
	cfg := d.newSettings(opts.Name, opts.Zone)
	cfg.Agent = &crdoc.Agent{
		Service: opts.Service, Host: opts.Host, Backend: opts.Backend, Listen: ephemeralAddr, DatagramAddr: ephemeralAddr, Weight: opts.Weight,
		Cert: filepath.Join(d.Dir, certName+".pem"), Key: filepath.Join(d.Dir, certName+"-key.pem"),
	}
	a := &cragent.Agent{Settings: cfg, Logf: d.Logf}
	return d.startNode(cfg, func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error {
		a.Registry, a.Ready = registry, ready
		return a.Run(ctx)
	})
}

// newSettings returns the settings that all nodes have in common.
func (d *Deployment) newSettings(name, zone string) *crdoc.Settings {
	return &crdoc.Settings{
		Name: name, Zone: zone, Zones: d.Zones, Admin: ephemeralAddr, Control: d.controlAddrs,
		Keys: []crdoc.Key{{ID: 1, File: filepath.Join(d.Dir, secretFile)}},
	}
}

// bindTimeout is the time limit for a new balancer to bind the address of a
// service.
const bindTimeout = 10 * time.Second

// startTimeout limits how long a new node may take until it listens.
const startTimeout = time.Minute

// startNode starts a node and waits until it listens.
func (d *Deployment) startNode(
	cfg *crdoc.Settings, runRole func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error,
) error {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Name: cfg.Name, Zone: cfg.Zone, Registry: prometheus.NewRegistry(),
		cancel: cancel, done: make(chan error, 1), settings: cfg,
	}
	ready := make(chan string, 1)
	go n.run(ctx, runRole, func(addr string) { ready <- addr })
	select {
	case n.HTTPAddr = <-ready:
	case err := <-n.done:
		cancel()
		return fmt.Errorf("start %s: %w", cfg.Name, err)
	case <-time.After(startTimeout):
		cancel()
		return fmt.Errorf("start %s: it doesn't listen after %s", cfg.Name, startTimeout)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[cfg.Name] = n
	return nil
}

// run runs the node until it is stopped and sends its error to done.
func (n *Node) run(
	ctx context.Context, runRole func(context.Context, *prometheus.Registry, func(string)) error, ready func(string),
) {
	n.done <- runRole(ctx, n.Registry, ready)
}
