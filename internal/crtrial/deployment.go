// Package crtrial runs a whole deployment in one process on loopback: control
// instances, balancers behind one fabric per service, and agents beside fake
// backend servers. The demo and the evening scenarios use it.
package crtrial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crkeys"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// ephemeralAddr binds a free port on loopback.
	ephemeralAddr = "127.0.0.1:0"
	// ephemeralControlAddr binds a free port on an address that clients never
	// connect from, so that no client takes the port while a control instance
	// restarts.
	ephemeralControlAddr = "127.0.0.2:0"
	// certName is the name of the certificate that agents present to callers.
	certName = "service"
	// secretFile is the file that holds the shared key.
	secretFile = "secret"
)

// Deployment is a deployment whose nodes all run in this process. Set the
// exported fields before Start.
type Deployment struct {
	// Dir is an empty folder for keys and data folders.
	Dir string
	// Zones are the availability zones.
	Zones []string
	// Services are the service documents to apply. Start replaces each Address
	// by the address of the service's fabric.
	Services []*crdoc.Service
	// ControlInstances is 1, 3 or 5.
	ControlInstances int
	// MaxDelay is the longest delay of a datagram in a fabric.
	MaxDelay time.Duration
	// Seed makes the random choices of the fabrics repeatable.
	Seed uint64
	// Logf receives the log lines of all processes.
	Logf func(format string, args ...any)

	mu      sync.Mutex
	nodes   map[string]*Node
	fabrics map[string]*crfake.Fabric
	// endpoints holds the balancers that the fabric of each service uses.
	endpoints    map[string][]balancerEndpoint
	controlAddrs []string
}

// Node is a running control instance, balancer or agent.
type Node struct {
	// Name and Zone are taken from its settings.
	Name, Zone string
	// HTTPAddr is the address of its HTTP listener.
	HTTPAddr string
	// Registry holds its metrics.
	Registry *prometheus.Registry

	cancel   context.CancelFunc
	done     chan error
	settings *crdoc.Settings
}

// Start creates keys, starts the fabrics and the control instances, and applies
// the service documents.
func (d *Deployment) Start(ctx context.Context) error {
	d.nodes = map[string]*Node{}
	d.fabrics = map[string]*crfake.Fabric{}
	d.endpoints = map[string][]balancerEndpoint{}
	if err := d.writeKeys(); err != nil {
		return err
	}
	if err := d.startFabrics(); err != nil {
		return err
	}
	if err := d.reserveControlPorts(); err != nil {
		return err
	}
	for id := range d.controlAddrs {
		if err := d.StartControl(id + 1); err != nil {
			return err
		}
	}
	for _, doc := range d.Services {
		if err := d.Apply(ctx, doc); err != nil {
			return err
		}
	}
	return nil
}

// writeKeys creates the certificate authority, the certificate that agents
// present to callers, and the shared key.
func (d *Deployment) writeKeys() error {
	now := time.Now()
	return errors.Join(
		crkeys.WriteAuthority(d.Dir, now),
		crkeys.WriteCert(d.Dir, certName, []string{"127.0.0.1"}, now),
		crkeys.WriteSecret(filepath.Join(d.Dir, secretFile)),
	)
}

// startFabrics starts one fabric per service.
func (d *Deployment) startFabrics() error {
	for i, doc := range d.Services {
		fabric := &crfake.Fabric{Addr: ephemeralAddr, Seed: d.Seed + uint64(i), MaxDelay: d.MaxDelay}
		if err := fabric.Start(); err != nil {
			return err
		}
		doc.Address = fabric.Bound().String()
		d.fabrics[doc.Name] = fabric
	}
	return nil
}

// reserveControlPorts chooses a free port for each control instance.
func (d *Deployment) reserveControlPorts() error {
	for range max(d.ControlInstances, 1) {
		l, err := net.Listen("tcp", ephemeralControlAddr)
		if err != nil {
			return fmt.Errorf("reserve control port: %w", err)
		}
		d.controlAddrs = append(d.controlAddrs, l.Addr().String())
		if err := l.Close(); err != nil {
			return fmt.Errorf("reserve control port: %w", err)
		}
	}
	return nil
}

// ServiceAddr returns the address to which callers of a service send requests.
func (d *Deployment) ServiceAddr(service string) string { return d.fabrics[service].Bound().String() }

// ControlAddrs returns the addresses of the control instances.
func (d *Deployment) ControlAddrs() []string { return d.controlAddrs }

// Node returns the running node with the given name, or nil.
func (d *Deployment) Node(name string) *Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes[name]
}

// Stop shuts a node down gracefully and waits for it. It does nothing when the
// node isn't running.
func (d *Deployment) Stop(name string) error {
	d.mu.Lock()
	n := d.nodes[name]
	delete(d.nodes, name)
	d.mu.Unlock()
	if n == nil {
		return nil
	}
	n.cancel()
	if err := <-n.done; err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Close stops all nodes, the control instances last, and then the fabrics.
func (d *Deployment) Close() error {
	var errs []error
	d.mu.Lock()
	var others, control []string
	for name, n := range d.nodes {
		if n.settings.Replica != nil {
			control = append(control, name)
		} else {
			others = append(others, name)
		}
	}
	d.mu.Unlock()
	errs = append(errs, d.stopAll(others), d.stopAll(control))
	for _, fabric := range d.fabrics {
		errs = append(errs, fabric.Close())
	}
	return errors.Join(errs...)
}

// stopAll stops nodes concurrently.
func (d *Deployment) stopAll(names []string) error {
	var wg sync.WaitGroup
	errs := make([]error, len(names))
	for i, name := range names {
		wg.Go(func() { errs[i] = d.Stop(name) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
