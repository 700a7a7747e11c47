// Package crtrial runs a whole deployment in one process on loopback: control
// instances, balancers behind a fabric for each service, and agents beside
// fake backend servers. The demo and the combined scenarios stand on it.
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
	// loopback takes a free port.
	loopback = "127.0.0.1:0"
	// reserved takes a free port on an address that no client connects
	// from, so that a control instance finds its port free when it restarts.
	reserved = "127.0.0.2:0"
	// certName is the certificate that agents show to callers.
	certName = "service"
	// secretName is the file of the shared key.
	secretName = "secret"
)

// Deployment is a running deployment. Set the exported fields before Start.
type Deployment struct {
	// Dir is an empty folder for keys and data folders.
	Dir string
	// Zones are the availability zones.
	Zones []string
	// Services are the documents to apply. Each address is replaced by that
	// of the service's fabric.
	Services []*crdoc.Service
	// ControlInstances is the number of control instances, 1, 3 or 5.
	ControlInstances int
	// MaxDelay is the longest delay of a datagram in the fabrics.
	MaxDelay time.Duration
	// Seed makes the fabrics' choices repeatable.
	Seed uint64
	// Logf takes the log lines of all processes.
	Logf func(format string, args ...any)

	mu      sync.Mutex
	nodes   map[string]*Node
	fabrics map[string]*crfake.Fabric
	// entries are the balancers that each service's fabric uses.
	entries map[string][]entry
	control []string
}

// Node is one running role.
type Node struct {
	// Name and Zone are those of its settings.
	Name, Zone string
	// HTTPAddr is the address of its HTTP listener.
	HTTPAddr string
	// Registry holds its metrics.
	Registry *prometheus.Registry

	cancel   context.CancelFunc
	done     chan error
	settings *crdoc.Settings
}

// Start makes keys, starts the fabrics and the control instances, and
// applies the documents.
func (d *Deployment) Start(ctx context.Context) error {
	d.nodes = map[string]*Node{}
	d.fabrics = map[string]*crfake.Fabric{}
	d.entries = map[string][]entry{}
	if err := d.writeKeys(); err != nil {
		return err
	}
	if err := d.startFabrics(); err != nil {
		return err
	}
	if err := d.reserve(); err != nil {
		return err
	}
	for id := range d.control {
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

// writeKeys makes the authority, the callers' certificate and the shared key.
func (d *Deployment) writeKeys() error {
	now := time.Now()
	return errors.Join(
		crkeys.WriteAuthority(d.Dir, now),
		crkeys.WriteCert(d.Dir, certName, []string{"127.0.0.1"}, now),
		crkeys.WriteSecret(filepath.Join(d.Dir, secretName)),
	)
}

// startFabrics starts a fabric before each service.
func (d *Deployment) startFabrics() error {
	for i, doc := range d.Services {
		fabric := &crfake.Fabric{Addr: loopback, Seed: d.Seed + uint64(i), MaxDelay: d.MaxDelay}
		if err := fabric.Start(); err != nil {
			return err
		}
		doc.Address = fabric.Bound().String()
		d.fabrics[doc.Name] = fabric
	}
	return nil
}

// reserve draws a free port for each control instance.
func (d *Deployment) reserve() error {
	for range max(d.ControlInstances, 1) {
		l, err := net.Listen("tcp", reserved)
		if err != nil {
			return fmt.Errorf("reserve a port: %w", err)
		}
		d.control = append(d.control, l.Addr().String())
		if err := l.Close(); err != nil {
			return fmt.Errorf("reserve a port: %w", err)
		}
	}
	return nil
}

// ServiceAddr returns where callers of a service send to.
func (d *Deployment) ServiceAddr(service string) string { return d.fabrics[service].Bound().String() }

// ControlAddrs returns the addresses of the control instances.
func (d *Deployment) ControlAddrs() []string { return d.control }

// Node returns a running role, nil when there is none of that name.
func (d *Deployment) Node(name string) *Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes[name]
}

// Stop stops a role gracefully and waits for it.
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

// Close stops everything, control last.
func (d *Deployment) Close() error {
	var errs []error
	d.mu.Lock()
	var roles, control []string
	for name, n := range d.nodes {
		if n.settings.Replica != nil {
			control = append(control, name)
		} else {
			roles = append(roles, name)
		}
	}
	d.mu.Unlock()
	errs = append(errs, d.stopAll(roles), d.stopAll(control))
	for _, fabric := range d.fabrics {
		errs = append(errs, fabric.Close())
	}
	return errors.Join(errs...)
}

// stopAll stops roles at the same time.
func (d *Deployment) stopAll(names []string) error {
	var group sync.WaitGroup
	errs := make([]error, len(names))
	for i, name := range names {
		group.Go(func() { errs[i] = d.Stop(name) })
	}
	group.Wait()
	return errors.Join(errs...)
}
