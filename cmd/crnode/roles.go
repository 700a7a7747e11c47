package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"

	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/cropaqueio"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/platform"
)

const (
	// balancerDrainTime is how long a stopping balancer keeps forwarding. It covers
	// two failed readiness probes half a second apart and the time until the
	// fabric stops sending to the balancer.
	balancerDrainTime = 2500 * time.Millisecond
	// agentDrainTimeout is how long a stopping agent waits at most for its flows
	// to end.
	agentDrainTimeout = 4 * time.Second
	// stopGraceMargin is the part of the platform's stop grace that is left unused
	// by draining.
	stopGraceMargin = time.Second
	// leaseTime is the time after which an agent that doesn't renew its lease is
	// no longer a member. Agents renew three times within it.
	leaseTime = 2 * time.Second
	// controlShare is the share of a balancer's link and processor for finding the
	// owners of flows.
	controlShare = 0.25
	// controlFrameBytes is the size of a question or an answer on the link, and
	// controlFrameTime the processor time of both.
	controlFrameBytes = 60
	controlFrameTime  = 60 * time.Microsecond
	// minControlFrames allows a few lookups in a second on the smallest machine.
	minControlFrames = 100
	// tickInterval and electionTicks set the timing of the replicated log. A leader
	// is replaced after 0.3 to 0.6 s, which is a hundred round trips within a region
	// and a few heartbeats.
	tickInterval  = 20 * time.Millisecond
	electionTicks = 15
)

// codec decodes and encodes the platform's packets.
var codec = cropaqueio.Codec{Decode: platform.DecodePacket, EncodeReset: platform.EncodeReset, ClearReturned: platform.ClearReturned}

// boundByStopGrace limits d to the time that the platform grants for a stop, less
// stopGraceMargin.
func (p *process) boundByStopGrace(d time.Duration) time.Duration {
	grace := time.Duration(p.settings.Bounds.StopGraceS * float64(time.Second))
	return max(0, min(d, grace-stopGraceMargin))
}

// controlFrames returns how many frames a balancer may spend in a second on finding
// the owners of flows: controlShare of what its link and its processor carry,
// together with the answers.
func controlFrames(l platform.Limits) float64 {
	var limit float64
	if l.LinkMbps > 0 {
		limit = controlShare * linkBytes(l) / controlFrameBytes
	}
	if l.CPUShare > 0 {
		byProcessor := controlShare * l.CPUShare / controlFrameTime.Seconds()
		if limit == 0 || byProcessor < limit {
			limit = byProcessor
		}
	}
	if limit == 0 {
		return 0
	}
	return max(minControlFrames, limit)
}

// linkBytes returns what the machine's link carries in a second, in bytes; 0 means
// unknown.
func linkBytes(l platform.Limits) float64 { return l.LinkMbps * 1e6 / 8 }

// setUpBalancer sets the process up to run a balancer.
func (p *process) setUpBalancer(evenLoad bool) {
	s := p.settings
	b := &cropaqueio.Balancer{
		Name: s.Name, Zone: s.Zone, CallerAddr: s.Listen.Datagrams, FrameAddr: s.InternalAddr(), Sources: s.ControlAddrs(),
		Codec: codec, ControlFrames: controlFrames(s.Limits), LinkBytes: linkBytes(s.Limits), EvenLoad: evenLoad, DrainTime: p.boundByStopGrace(balancerDrainTime), Client: p.client, Registry: p.registry, Logger: p.logger,
	}
	p.runRole, p.checkReady, p.setControls = b.Run, b.Serving, b.SetSources
	p.explain = b.HandleExplain
}

// setUpAgent sets the process up to run an agent.
func (p *process) setUpAgent(shareWindow time.Duration, routeReserve float64) {
	s := p.settings
	a := &cropaqueio.Agent{
		Name: s.Name, Zone: s.Zone, Host: s.Name, Backend: s.BackendAddr, FrameAddr: s.InternalAddr(), OutboundAddr: s.Listen.Outbound,
		CallerPort: s.CallerPort(), Sources: s.ControlAddrs(), Codec: codec,
		AnnounceInterval: time.Duration(s.AnnounceIntervalMS) * time.Millisecond, ColdFactor: s.Bounds.ColdFactor, ColdExtra: s.Bounds.ColdExtra,
		ShareWindow: shareWindow, RouteReserve: routeReserve,
		DrainTimeout: p.boundByStopGrace(agentDrainTimeout), Client: p.client, Registry: p.registry, Logger: p.logger,
	}
	p.runRole, p.checkReady, p.setControls = a.Run, a.Serving, a.SetSources
	api := &platform.BackendAPI{
		BackendAddr: s.BackendAddr, Service: s.Service, HandleAnnouncement: a.HandleAnnouncement, HandleWithdrawal: a.HandleWithdrawal,
		LogRefusal: func(id string, err error) {
			p.logger.WithError(err).WithField("id", id).Warn("refused an announcement of the backend server")
		},
	}
	p.addListener(s.Listen.Control, api.Handler())
}

// setUpControl sets the process up to run a control instance. Without a data
// folder it only relays operators' calls to the other control instances.
func (p *process) setUpControl() {
	p.metricsPort = controlMetricsPort
	api := &platform.OperatorAPI{NewID: newID, LogCall: p.logCall}
	p.addListener(p.settings.Listen.Control, api.Handler())
	if p.settings.DataDir == "" {
		relay := &crcontrol.Relay{Client: p.client, Sources: func() []string { return *p.controls.Load() }}
		api.Submit, api.Catalog = relay.Submit, relay.Catalog
		p.runRole = func(ctx context.Context) error { <-ctx.Done(); return nil }
		p.checkReady = func() error { return nil }
		return
	}
	c := &crcontrol.Control{
		Settings: p.controlSettings(), Ready: func(addr string) { p.logger.WithField("addr", addr).Info("listening") },
		Registry: p.registry, Logf: p.logger.Infof, Peers: func() []string { return *p.controls.Load() },
		FaultTolerance: p.settings.FaultTolerance.Machines, TickInterval: tickInterval, ElectionTicks: electionTicks,
		FirstStart:   p.settings.Bootstrap,
		FlowLifetime: time.Duration(p.settings.Bounds.FlowMaxS * float64(time.Second)),
	}
	api.Submit, api.Catalog = c.Submit, c.Catalog
	p.runRole, p.checkReady = c.Run, c.Serving
}

// controlSettings returns the settings for a control instance.
func (p *process) controlSettings() *crdoc.Settings {
	s := p.settings
	r := &crdoc.Replica{
		ID: instanceID(s.IP), Listen: s.InternalAddrAt(p.bindIP), DataDir: s.DataDir, Address: s.InternalAddr(), Lease: crdoc.Duration(leaseTime),
		Members: map[uint64]string{},
	}
	for _, addr := range s.ControlAddrs() {
		if host, _, err := net.SplitHostPort(addr); s.Bootstrap && err == nil {
			r.Members[instanceID(host)] = addr
		}
	}
	return &crdoc.Settings{Name: s.Name, Zone: s.Zone, Zones: s.ZoneNames(), Control: s.ControlAddrs(), Replica: r}
}

// instanceID returns the ID of the control instance with the address ip: the IPv4
// address as a number, or 0 if ip isn't an IPv4 address.
func instanceID(ip string) uint64 {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return 0
	}
	b := addr.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))
}

// newID returns a unique ID for a change.
func newID() string { return rand.Text() }

// logCall logs an operator's call.
func (p *process) logCall(call, id, outcome string) {
	p.logger.WithFields(log.Fields{"call": call, "id": id, "outcome": outcome}).Info("operator's call")
}
