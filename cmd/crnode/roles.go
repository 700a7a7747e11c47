package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/apex/log"

	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/cropaqueio"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/platform"
)

const (
	// balancerDrainTime is how long a stopping balancer goes on forwarding: two
	// missed readiness calls half a second apart, and the way of the news.
	balancerDrainTime = 2500 * time.Millisecond
	// agentDrainTimeout bounds how long a stopping agent waits for its flows.
	agentDrainTimeout = 4 * time.Second
	// stopGraceMargin is kept free of the time that the platform grants for a stop.
	stopGraceMargin = time.Second
	// leaseTime is how long a silent agent stays a member; agents renew it three
	// times meanwhile.
	leaseTime = 2 * time.Second
	// tickInterval and logElection time the replicated log: a leader is replaced
	// after 0.3 to 0.6 s, a hundred round trips and a few heartbeats within a
	// region.
	tickInterval  = 20 * time.Millisecond
	electionTicks = 15
)

// codec reads the platform's packets.
var codec = cropaqueio.Codec{Decode: platform.DecodePacket, EncodeReset: platform.EncodeReset, ClearReturned: platform.ClearReturned}

// boundByStopGrace bounds a time by what the platform grants for a stop.
func (p *process) boundByStopGrace(d time.Duration) time.Duration {
	grace := time.Duration(p.settings.Bounds.StopGraceS * float64(time.Second))
	return max(0, min(d, grace-stopGraceMargin))
}

// setUpBalancer makes the process a setUpBalancer.
func (p *process) setUpBalancer() {
	s := p.settings
	b := &cropaqueio.Balancer{
		Name: s.Name, Zone: s.Zone, CallerAddr: s.Listen.Datagrams, FrameAddr: s.InternalAddr(), Sources: s.ControlAddrs(),
		Codec: codec, DrainTime: p.boundByStopGrace(balancerDrainTime), Client: p.client, Registry: p.registry, Logger: p.logger,
	}
	p.runRole, p.checkReady, p.setControls = b.Run, b.Serving, b.SetSources
}

// setUpAgent makes the process an setUpAgent.
func (p *process) setUpAgent() {
	s := p.settings
	a := &cropaqueio.Agent{
		Name: s.Name, Zone: s.Zone, Host: s.Name, Backend: s.BackendAddr, FrameAddr: s.InternalAddr(), OutboundAddr: s.Listen.Outbound,
		CallerPort: s.CallerPort(), Sources: s.ControlAddrs(), Codec: codec,
		AnnounceInterval: time.Duration(s.AnnounceIntervalMS) * time.Millisecond, ColdFactor: s.Bounds.ColdFactor, ColdExtra: s.Bounds.ColdExtra,
		DrainTimeout: p.boundByStopGrace(agentDrainTimeout), Client: p.client, Registry: p.registry, Logger: p.logger,
	}
	p.runRole, p.checkReady, p.setControls = a.Run, a.Serving, a.SetSources
	server := &platform.BackendAPI{
		BackendAddr: s.BackendAddr, Service: s.Service, HandleAnnouncement: a.HandleAnnouncement, HandleWithdrawal: a.HandleWithdrawal,
		LogRefusal: func(id string, err error) {
			p.logger.WithError(err).WithField("id", id).Warn("announcement of the backend server is refused")
		},
	}
	p.addListener(s.Listen.Control, server.Handler())
}

// setUpControl makes the process a setUpControl instance, or without a disk one that
// passes calls on.
func (p *process) setUpControl() {
	p.metricsPort = controlMetricsPort
	calls := &platform.OperatorAPI{NewID: newID, LogCall: p.logCall}
	p.checkReady = func() error { return nil }
	p.addListener(p.settings.Listen.Control, calls.Handler())
	if p.settings.DataDir == "" {
		relay := &crcontrol.Relay{Client: p.client, Sources: func() []string { return *p.controls.Load() }}
		calls.Submit, calls.Catalog = relay.Submit, relay.Catalog
		p.runRole = func(ctx context.Context) error { <-ctx.Done(); return nil }
		return
	}
	c := &crcontrol.Control{
		Settings: p.controlSettings(), Ready: func(addr string) { p.logger.WithField("addr", addr).Info("listening") },
		Registry: p.registry, Logf: p.logger.Infof, Peers: func() []string { return *p.controls.Load() },
		FaultTolerance: p.settings.FaultTolerance.Machines, TickInterval: tickInterval, ElectionTicks: electionTicks,
	}
	calls.Submit, calls.Catalog = c.Submit, c.Catalog
	p.runRole = c.Run
}

// controlSettings returns the settings of a control instance.
func (p *process) controlSettings() *crdoc.Settings {
	s := p.settings
	r := &crdoc.Replica{
		ID: instanceID(s.IP), Listen: s.InternalAddrAt(p.bindIP), DataDir: s.DataDir, Address: s.InternalAddr(), Lease: crdoc.Duration(leaseTime),
		Members: map[uint64]string{},
	}
	if s.Bootstrap && crcontrol.IsFounder(s.InternalAddr(), s.ControlAddrs()) {
		r.Members[r.ID] = s.InternalAddr()
	}
	return &crdoc.Settings{Name: s.Name, Zone: s.Zone, Zones: s.ZoneNames(), Control: s.ControlAddrs(), Replica: r}
}

// instanceID returns an instance's instanceID, which is its IPv4 address.
func instanceID(ip string) uint64 {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return 0
	}
	b := addr.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))
}

// newID returns an ID for a change.
func newID() string { return rand.Text() }

// logCall logs an operator's call.
func (p *process) logCall(call, id, outcome string) {
	p.logger.WithFields(log.Fields{"call": call, "id": id, "outcome": outcome}).Info("operator's call")
}
