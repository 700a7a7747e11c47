package cropaque_test

import (
	"math/rand/v2"
	"net/netip"
	"runtime/debug"
	"testing"
	"time"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// anyOrderSeeds is how many sequences are played, anyOrderSteps how long each is.
	anyOrderSeeds, anyOrderSteps = 300, 600
	// anyOrderAgents is how many agents there may be.
	anyOrderAgents = 18
)

// anyOrder draws packets, frames and views without regard to what came before.
type anyOrder struct {
	*rand.Rand
	revision uint64
}

// services are the services that views have.
var services = []string{"ledger", "feed", "archive"}

// chance reports true with a probability.
func (d *anyOrder) chance(p float64) bool { return d.Float64() < p }

// routeAddr returns one of four addresses; views never have a route for the last one.
func (d *anyOrder) routeAddr() netip.AddrPort {
	return netip.AddrPortFrom(routeAddr.Addr(), uint16(443+d.IntN(4)))
}

// key returns the key of one of a few flows.
func (d *anyOrder) key() cropaque.Key {
	return cropaque.Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(1024+d.IntN(8))), Service: d.routeAddr()}
}

// agent returns the address of an agent that may be a member.
func (d *anyOrder) agent() netip.AddrPort { return machineAddr(1, d.IntN(anyOrderAgents)) }

// packet returns a packet of a caller, or of a backend server.
func (d *anyOrder) packet(key cropaque.Key, fromServer bool) cropaque.Packet {
	p := cropaque.Packet{
		From: key.Caller, To: key.Service, Open: d.chance(0.4), Ack: d.chance(0.6), End: d.chance(0.1), Reset: d.chance(0.05),
		Returned: fromServer && d.chance(0.2), Seq: uint32(d.IntN(3)), Acked: uint32(d.IntN(3)),
		Age: time.Duration(d.IntN(3)) * 200 * time.Millisecond,
	}
	if d.chance(0.5) {
		p.Size = d.IntN(1200)
	}
	if fromServer && !p.Returned {
		p.From, p.To = p.To, p.From
	}
	return p
}

// frame returns a frame.
func (d *anyOrder) frame(kinds []cropaque.FrameKind) *cropaque.Frame {
	f := &cropaque.Frame{
		Kind: kinds[d.IntN(len(kinds))], Key: d.key(), Reason: cropaque.Reason(d.IntN(len(cropaque.ReasonValues()))), Number: uint64(d.IntN(4)),
		MayQueue: d.chance(0.5), Owner: d.agent(), KeptRoute: d.chance(0.3), Age: time.Duration(d.IntN(700)) * time.Millisecond,
		Load: cropaque.Load{Busy: d.IntN(4), Queued: d.IntN(3), Slots: d.IntN(4), MeanLatency: time.Duration(d.IntN(200)) * time.Millisecond},
	}
	if d.chance(0.6) {
		f.Data = []byte{1}
	}
	return f
}

// view returns a view with any routes, services and members.
func (d *anyOrder) view() *crwire.View {
	d.revision++
	v := &crwire.View{Revision: d.revision, Members: map[uint32]crwire.Member{}}
	for i := range anyOrderAgents {
		if d.chance(0.25) {
			continue
		}
		addr := machineAddr(1, i).String()
		v.Members[uint32(i+1)] = crwire.Member{
			Num: uint32(i + 1), Name: addr, Service: services[i%len(services)], Zone: string(rune('a' + i%4)), DatagramAddr: addr,
			State: crwire.MemberState(d.IntN(2)),
		}
	}
	if d.chance(0.2) {
		v.ZonesOut = []string{"a"}
	}
	if d.chance(0.05) {
		return v
	}
	v.Catalog = &crdoc.Catalog{Version: d.revision, Idle: crdoc.Duration(d.IntN(3)) * crdoc.Duration(time.Second)}
	for _, s := range services {
		if d.chance(0.8) {
			v.Catalog.Services = append(v.Catalog.Services, crdoc.OpaqueService{Name: s})
		}
	}
	for port := range uint16(3) {
		if d.chance(0.35) {
			continue
		}
		r := crdoc.Route{
			Address: netip.AddrPortFrom(routeAddr.Addr(), 443+port), Repeatable: d.chance(0.5), Upload: d.chance(0.3), Priority: d.IntN(3),
			Timeout: crdoc.Duration(time.Duration(1+d.IntN(3000)) * time.Millisecond), Target: crdoc.Duration(time.Duration(d.IntN(300)) * time.Millisecond),
			Shares: []crdoc.Share{{Service: services[d.IntN(len(services))], Weight: 1}, {Service: services[d.IntN(len(services))], Weight: float64(d.IntN(2))}},
		}
		if d.chance(0.3) {
			r.Former = []crdoc.FormerService{{Service: services[d.IntN(len(services))]}}
		}
		v.Catalog.Routes = append(v.Catalog.Routes, r)
	}
	return v
}

// playAnyOrder plays sequences of steps by seed, and reports one that panics.
func playAnyOrder(t *testing.T, play func(d *anyOrder) func()) {
	t.Helper()
	for seed := range uint64(anyOrderSeeds) {
		step := play(&anyOrder{Rand: rand.New(rand.NewPCG(seed, 1))})
		for n := range anyOrderSteps {
			if !bearsStep(t, step) {
				t.Fatalf("seed %d, step %d", seed, n)
			}
		}
	}
}

// bearsStep runs a step and reports whether it didn't panic.
func bearsStep(t *testing.T, step func()) (ok bool) {
	t.Helper()
	defer func() {
		if reason := recover(); reason != nil {
			t.Errorf("panic: %v\n%s", reason, debug.Stack())
		}
	}()
	step()
	return true
}

// TestSteeringBearsAnyOrder guards against a balancer that ends by a panic because a view,
// a frame or a packet comes at an unusual moment: a view dropped a route whose owner was
// being looked up.
func TestSteeringBearsAnyOrder(t *testing.T) {
	playAnyOrder(t, func(d *anyOrder) func() {
		now := time.Unix(1_700_000_000, 0)
		type question struct {
			to  netip.AddrPort
			key cropaque.Key
			n   uint64
		}
		var asked []question
		s := &cropaque.Steering{
			Zone: "a", Random: d.Float64, ViewFresh: func() bool { return d.chance(0.9) }, EvenLoad: d.chance(0.5),
			ControlFrames: float64(d.IntN(2) * 60), LinkBytes: float64(d.IntN(2) * 100_000),
			LogDecision: func(cropaque.Decision) {}, ResetFlow: func(cropaque.Key, uint32) {},
			Send: func(to netip.AddrPort, f *cropaque.Frame) { asked = append(asked, question{to, f.Key, f.Number}) },
		}
		s.Init()
		return func() {
			switch p := d.Float64(); {
			case p < 0.3:
				key := d.key()
				s.HandlePacket(now, d.packet(key, false), []byte{1})
			case p < 0.7:
				from, f := d.agent(), d.frame(cropaque.FrameKindValues())
				if n := len(asked); n > 0 && d.chance(0.8) {
					// An answer to one of the latest frames.
					q := asked[max(0, n-1-d.IntN(20))]
					from, f.Key, f.Number = q.to, q.key, q.n
				}
				s.HandleFrame(now, from, f)
			case p < 0.78:
				s.SetView(now, d.view())
			case p < 0.8:
				s.Explain(now, d.key())
			default:
				now = now.Add(time.Duration(d.IntN(150)) * time.Millisecond)
				s.Tick(now)
			}
		}
	})
}

// TestGateBearsAnyOrder guards against an agent that ends by a panic because a view, a frame,
// a packet or an announcement comes at an unusual moment.
func TestGateBearsAnyOrder(t *testing.T) {
	playAnyOrder(t, func(d *anyOrder) func() {
		h := newGateHarness()
		h.gate.ShareWindow = time.Duration(d.IntN(2)) * time.Second
		if h.gate.ShareWindow > 0 {
			h.gate.RouteReserve = 0.2
		}
		h.gate.Init()
		return func() {
			switch p := d.Float64(); {
			case p < 0.4:
				key := d.key()
				f := d.frame(cropaque.FrameKindValues())
				f.Key = key
				h.gate.HandleFrame(h.now, d.agent(), f, d.packet(key, false))
			case p < 0.65:
				h.gate.HandleServerPacket(h.now, d.packet(d.key(), true), []byte{1})
			case p < 0.72:
				h.gate.SetView(d.view())
			case p < 0.77:
				h.gate.HandleAnnouncement(h.now, cropaque.Server{
					ID: "s", StartedMS: int64(1 + d.IntN(3)), Seq: uint64(d.IntN(5)), Service: services[d.IntN(len(services))], Slots: d.IntN(4),
					Draining: d.chance(0.2), ColdRemaining: time.Duration(d.IntN(2)) * time.Second,
				})
			case p < 0.78:
				h.gate.HandleWithdrawal(h.now, "s")
			case p < 0.79:
				h.gate.ProbeRefused(h.now)
			case p < 0.8:
				h.gate.ProbeSucceeded(h.now)
			case p < 0.802:
				h.gate.Drain()
			default:
				h.now = h.now.Add(time.Duration(d.IntN(150)) * time.Millisecond)
				h.gate.Tick(h.now)
			}
		}
	})
}
