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
	// balancerLinger is how long a stopping balancer goes on forwarding: two
	// missed readiness calls half a second apart, and the way of the news.
	balancerLinger = 2500 * time.Millisecond
	// agentLinger bounds how long a stopping agent waits for its flows.
	agentLinger = 4 * time.Second
	// graceMargin is kept free of the time that the platform grants for a stop.
	graceMargin = time.Second
	// lease is how long a silent agent stays a member; agents renew it three
	// times meanwhile.
	lease = 2 * time.Second
	// logTick and logElection time the replicated log: a leader is replaced
	// after 0.3 to 0.6 s, a hundred round trips and a few heartbeats within a
	// region.
	logTick     = 20 * time.Millisecond
	logElection = 15
)

// codec reads the platform's packets.
var codec = cropaqueio.Codec{Decode: platform.Decode, EncodeReset: platform.EncodeReset, ClearReturned: platform.ClearReturned}

// within bounds a time by what the platform grants for a stop.
func (p *process) within(d time.Duration) time.Duration {
	grace := time.Duration(p.settings.Bounds.GraceS * float64(time.Second))
	return max(0, min(d, grace-graceMargin))
}

// balancer makes the process a balancer.
func (p *process) balancer() {
	s := p.settings
	b := &cropaqueio.Balancer{
		Name: s.Name, Zone: s.Zone, CallerAddr: s.Listen.Datagrams, FrameAddr: s.Own(), Sources: s.Controls(),
		Codec: codec, DrainTime: p.within(balancerLinger), Client: p.client, Registry: p.registry, Logger: p.logger,
	}
	p.role, p.serving, p.reload = b.Run, b.Serving, b.SetSources
}

// agent makes the process an agent.
func (p *process) agent() {
	s := p.settings
	a := &cropaqueio.Agent{
		Name: s.Name, Zone: s.Zone, Host: s.Name, Backend: s.Backend, FrameAddr: s.Own(), OutboundAddr: s.Listen.Outbound,
		CallerPort: s.CallerPort(), Sources: s.Controls(), Codec: codec,
		AnnounceInterval: time.Duration(s.BeatMS) * time.Millisecond, ColdFactor: s.Bounds.ColdFactor, ColdExtra: s.Bounds.ColdExtra,
		DrainTimeout: p.within(agentLinger), Client: p.client, Registry: p.registry, Logger: p.logger,
	}
	p.role, p.serving, p.reload = a.Run, a.Serving, a.SetSources
	server := &platform.Server{
		Backend: s.Backend, Service: s.Service, Announced: a.HandleAnnouncement, Withdrawn: a.HandleWithdrawal,
		Note: func(id string, err error) {
			p.logger.WithError(err).WithField("id", id).Warn("announcement of the backend server is refused")
		},
	}
	p.serve(s.Listen.Control, server.Routes())
}

// control makes the process a control instance, or without a disk one that
// passes calls on.
func (p *process) control() {
	p.metrics = controlMetricsPort
	calls := &platform.Operator{NewID: newID, Note: p.noteCall}
	p.serving = func() error { return nil }
	p.serve(p.settings.Listen.Control, calls.Routes())
	if p.settings.Data == "" {
		relay := &crcontrol.Relay{Client: p.client, Sources: func() []string { return *p.controls.Load() }}
		calls.Submit, calls.Catalog = relay.Submit, relay.Catalog
		p.role = func(ctx context.Context) error { <-ctx.Done(); return nil }
		return
	}
	c := &crcontrol.Control{
		Settings: p.replica(), Ready: func(addr string) { p.logger.WithField("addr", addr).Info("listening") },
		Registry: p.registry, Logf: p.logger.Infof, Peers: func() []string { return *p.controls.Load() },
		FaultTolerance: p.settings.Bear.Machines, TickInterval: logTick, ElectionTicks: logElection,
	}
	calls.Submit, calls.Catalog = c.Submit, c.Catalog
	p.role = c.Run
}

// replica returns the settings of a control instance.
func (p *process) replica() *crdoc.Settings {
	s := p.settings
	r := &crdoc.Replica{
		ID: number(s.IP), Listen: s.OwnAt(p.bind), Data: s.Data, Address: s.Own(), Lease: crdoc.Duration(lease),
		Members: map[uint64]string{},
	}
	if s.First && crcontrol.IsFounder(s.Own(), s.Controls()) {
		r.Members[r.ID] = s.Own()
	}
	return &crdoc.Settings{Name: s.Name, Zone: s.Zone, Zones: s.ZoneNames(), Control: s.Controls(), Replica: r}
}

// number returns an instance's number, which is its IPv4 address.
func number(ip string) uint64 {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return 0
	}
	b := addr.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))
}

// newID returns an ID for a change.
func newID() string { return rand.Text() }

// noteCall logs an operator's call.
func (p *process) noteCall(call, id, outcome string) {
	p.logger.WithFields(log.Fields{"call": call, "id": id, "outcome": outcome}).Info("operator's call")
}
