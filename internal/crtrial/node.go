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

// bindPoll is how often a start looks whether a balancer has bound the
// services' addresses.
const bindPoll = 5 * time.Millisecond

// AgentOptions say what an agent stands beside.
type AgentOptions struct {
	Name, Service, Zone, Host string
	// Backend is the host:port of its backend server.
	Backend string
	// Weight is its relative speed, at least 1.
	Weight int
}

// StartControl starts the control instance with a number from 1, on its data
// folder of before.
func (d *Deployment) StartControl(id int) error {
	name := "control-" + strconv.Itoa(id)
	set := d.settings(name, d.Zones[(id-1)%len(d.Zones)])
	set.Replica = &crdoc.Replica{
		ID: uint64(id), Listen: d.control[id-1], DataDir: filepath.Join(d.Dir, name), Members: d.members(),
	}
	c := &crcontrol.Control{Settings: set, Logf: d.Logf}
	return d.run(set, func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error {
		c.Registry, c.Ready = registry, ready
		return c.Run(ctx)
	})
}

// members maps each control instance to its address.
func (d *Deployment) members() map[uint64]string {
	out := map[uint64]string{}
	for i, addr := range d.control {
		out[uint64(i)+1] = addr
	}
	return out
}

// StartBalancer starts a balancer and waits until it takes datagrams of every
// service; then the fabrics use it until StopBalancer.
func (d *Deployment) StartBalancer(name, zone string) error {
	set := d.settings(name, zone)
	set.Balancer = &crdoc.Balancer{HTTP: loopback, Datagrams: true, ReturnAddr: loopback, Listen: map[string]string{}}
	for _, fabric := range d.fabrics {
		set.Balancer.Listen[fabric.Bound().String()] = loopback
	}
	b := &crbalancer.Balancer{Settings: set, Logf: d.Logf}
	err := d.run(set, func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error {
		b.Registry, b.Ready = registry, ready
		return b.Run(ctx)
	})
	if err != nil {
		return err
	}
	for service, fabric := range d.fabrics {
		addr, err := d.bound(b, service)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.entries[service] = append(d.entries[service], entry{balancer: name, addr: addr})
		d.mu.Unlock()
		fabric.SetBalancers(d.entriesOf(service)...)
	}
	return nil
}

// StopBalancer takes a balancer from the fabrics, as an orderly operator
// does, and stops it.
func (d *Deployment) StopBalancer(name string) error {
	for service, fabric := range d.fabrics {
		d.mu.Lock()
		d.entries[service] = slices.DeleteFunc(d.entries[service], func(e entry) bool { return e.balancer == name })
		d.mu.Unlock()
		fabric.SetBalancers(d.entriesOf(service)...)
	}
	return d.Stop(name)
}

// entry is where one balancer takes a service's datagrams.
type entry struct {
	balancer string
	addr     netip.AddrPort
}

// entriesOf returns where the balancers take a service's datagrams.
func (d *Deployment) entriesOf(service string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []netip.AddrPort
	for _, e := range d.entries[service] {
		out = append(out, e.addr)
	}
	return out
}

// bound waits until a balancer takes a service's datagrams.
func (d *Deployment) bound(b *crbalancer.Balancer, service string) (netip.AddrPort, error) {
	for end := time.Now().Add(startMax); time.Now().Before(end); time.Sleep(bindPoll) {
		if addr, ok := b.DatagramAddr(service); ok {
			return addr, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("%s has not bound %s after %s", b.Settings.Name, service, startMax)
}

// StartAgent starts an agent beside a backend server that runs.
func (d *Deployment) StartAgent(o AgentOptions) error {
	set := d.settings(o.Name, o.Zone)
	set.Agent = &crdoc.Agent{
		Service: o.Service, Host: o.Host, Backend: o.Backend, Listen: loopback, DatagramAddr: loopback, Weight: o.Weight,
		Cert: filepath.Join(d.Dir, certName+".pem"), Key: filepath.Join(d.Dir, certName+"-key.pem"),
	}
	a := &cragent.Agent{Settings: set, Logf: d.Logf}
	return d.run(set, func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error {
		a.Registry, a.Ready = registry, ready
		return a.Run(ctx)
	})
}

// settings returns what all processes share.
func (d *Deployment) settings(name, zone string) *crdoc.Settings {
	return &crdoc.Settings{
		Name: name, Zone: zone, Zones: d.Zones, Admin: loopback, Control: d.control,
		Keys: []crdoc.Key{{ID: 1, File: filepath.Join(d.Dir, secretName)}},
	}
}

// startMax bounds the start of one role.
const startMax = 10 * time.Second

// run starts a role and waits until it listens.
func (d *Deployment) run(
	set *crdoc.Settings, role func(ctx context.Context, registry *prometheus.Registry, ready func(string)) error,
) error {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Name: set.Name, Zone: set.Zone, Registry: prometheus.NewRegistry(),
		cancel: cancel, done: make(chan error, 1), settings: set,
	}
	ready := make(chan string, 1)
	go n.run(ctx, role, func(addr string) { ready <- addr })
	select {
	case n.HTTPAddr = <-ready:
	case err := <-n.done:
		cancel()
		return fmt.Errorf("start %s: %w", set.Name, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[set.Name] = n
	return nil
}

// run runs the role until it is stopped.
func (n *Node) run(
	ctx context.Context, role func(context.Context, *prometheus.Registry, func(string)) error, ready func(string),
) {
	n.done <- role(ctx, n.Registry, ready)
}
