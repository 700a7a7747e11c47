package cropaque_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// exampleKey is a flow to be explained.
var exampleKey = cropaque.Key{Caller: netip.MustParseAddrPort("100.64.0.9:1024"), Service: routeAddr}

// explainRig drives a Steering whose agents have reported loads.
type explainRig struct {
	now      time.Time
	sim      *simulation
	steering *cropaque.Steering
	offers   []netip.AddrPort
}

// newExplainSim returns the deployment of which the rig takes members and routes.
func newExplainSim() *simulation { return newSimulationOf(1, planningDeployment(true)) }

// newExplainRig returns a rig; with kept set the agents report flows that callers keep.
func newExplainRig(sim *simulation, kept bool, random func() float64) *explainRig {
	r := &explainRig{now: sim.now, sim: sim}
	r.steering = &cropaque.Steering{
		Zone: "a", EvenLoad: true, Random: random, ViewFresh: func() bool { return true },
		LogDecision: func(cropaque.Decision) {}, ResetFlow: func(cropaque.Key, uint32) {},
		Send: func(to netip.AddrPort, f *cropaque.Frame) {
			if f.Kind == cropaque.FrameOffer {
				r.offers = append(r.offers, to)
			}
		},
	}
	r.steering.Init()
	r.steering.SetView(r.now, sim.view)
	rnd := rand.New(rand.NewPCG(7, 1))
	for i := range len(sim.agents) {
		load := cropaque.Load{Slots: 2, Busy: rnd.IntN(3), Queued: rnd.IntN(2), MeanLatency: time.Duration(30+rnd.IntN(5)) * time.Millisecond}
		if kept {
			load.Kept, load.KeptRate, load.LastingBusy = 20+rnd.IntN(9), 1, 80+rnd.IntN(60)
		}
		r.frame(i, cropaque.Frame{Kind: cropaque.FramePong, Load: load})
	}
	r.now = r.now.Add(50 * time.Millisecond)
	return r
}

// frame has the steering handle a frame of an agent.
func (r *explainRig) frame(i int, f cropaque.Frame) {
	r.steering.HandleFrame(r.now, machineAddr(1, i), &f)
}

// open sends the opening packet of the example.
func (r *explainRig) open() {
	r.steering.HandlePacket(r.now, cropaque.Packet{From: exampleKey.Caller, To: exampleKey.Service, Open: true, Seq: 7}, []byte{1})
}

// outlooks returns the agents of an explanation by address.
func outlooks(e cropaque.Explanation) map[netip.AddrPort]cropaque.AgentOutlook {
	out := map[netip.AddrPort]cropaque.AgentOutlook{}
	for _, s := range e.Services {
		for _, a := range s.Agents {
			out[a.Address] = a
		}
	}
	return out
}

// TestExplainOdds checks that the odds are the shares of the agents to which balancers
// with the same reports offer the flow.
func TestExplainOdds(t *testing.T) {
	const balancers, tolerance = 4000, 0.03
	sim := newExplainSim()
	for _, kept := range []bool{false, true} {
		rnd := rand.New(rand.NewPCG(5, 1))
		want := map[netip.AddrPort]float64{}
		for range balancers {
			r := newExplainRig(sim, kept, rnd.Float64)
			r.open()
			want[r.offers[0]] += 1.0 / balancers
		}
		r := newExplainRig(sim, kept, rnd.Float64)
		e := r.steering.Explain(r.now, exampleKey)
		kind := cropaque.ChoiceFastest
		if kept {
			kind = cropaque.ChoiceEvenSingle
		}
		if diff := cmp.Diff(kind, e.Choice); diff != "" {
			t.Errorf("choice (-want +got):\n%s", diff)
		}
		sum := 0.0
		for addr, a := range outlooks(e) {
			sum += a.Odds
			if math.Abs(a.Odds-want[addr]) > tolerance {
				t.Errorf("kept flows %v: odds of %s are %.3f, it got %.3f of the flows", kept, a.Name, a.Odds, want[addr])
			}
		}
		if math.Abs(sum-1) > tolerance {
			t.Errorf("kept flows %v: the odds add up to %.3f, want 1", kept, sum)
		}
	}
}

// TestExplainChangesNothing checks that the offers and resets of a balancer whose agents
// refuse and fall silent, and whose zone goes out, are the same with a thousand
// explanations and without.
func TestExplainChangesNothing(t *testing.T) {
	sim := newExplainSim()
	replay := func(kept bool, explanations int) (*explainRig, []string) {
		draws := rand.New(rand.NewPCG(4, 1))
		r := newExplainRig(sim, kept, draws.Float64)
		var resets []string
		r.steering.ResetFlow = func(key cropaque.Key, _ uint32) { resets = append(resets, key.Caller.String()) }
		rnd := rand.New(rand.NewPCG(3, 1))
		for i := range 1000 {
			r.now = r.now.Add(time.Duration(rnd.ExpFloat64() * float64(2*time.Millisecond)))
			if i == 500 {
				view := *r.sim.view
				view.Revision, view.ZonesOut = 2, []string{"b"}
				r.steering.SetView(r.now, &view)
			}
			key := cropaque.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1024), Service: routeAddr}
			for range explanations {
				r.steering.Explain(r.now, key)
				r.steering.Explain(r.now, exampleKey)
			}
			r.steering.HandlePacket(r.now, cropaque.Packet{From: key.Caller, To: key.Service, Open: true, Seq: 7}, []byte{1})
			answer := cropaque.Frame{Kind: cropaque.FrameTaken, Key: key, Number: 1, KeptRoute: kept, Load: cropaque.Load{
				Busy: rnd.IntN(4), Queued: rnd.IntN(2), Slots: 2, MeanLatency: time.Duration(20+rnd.IntN(40)) * time.Millisecond,
			}}
			switch rnd.IntN(6) {
			case 0:
				answer.Kind, answer.Reason = cropaque.FrameRefused, cropaque.ReasonFull
			case 1:
				answer.Kind, answer.Reason = cropaque.FrameRefused, cropaque.ReasonAbsent
			case 2:
				r.steering.Tick(r.now)
				continue
			}
			r.steering.HandleFrame(r.now, r.offers[len(r.offers)-1], &answer)
		}
		return r, resets
	}
	for _, kept := range []bool{false, true} {
		want, wantResets := replay(kept, 0)
		got, resets := replay(kept, 1)
		if diff := cmp.Diff(want.offers, got.offers, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Errorf("offers (-without +with explanations):\n%s", diff)
		}
		if diff := cmp.Diff(wantResets, resets); diff != "" {
			t.Errorf("resets (-without +with explanations):\n%s", diff)
		}
	}
}

// TestExplainStates checks the state of agents that get no offers, and that the flow is
// held when there is no other.
func TestExplainStates(t *testing.T) {
	r := newExplainRig(newExplainSim(), false, func() float64 { return 0.5 })
	before := outlooks(r.steering.Explain(r.now, exampleKey))
	view := *r.sim.view
	view.Revision, view.ZonesOut, view.Members = 2, []string{"b"}, map[uint32]crwire.Member{}
	for num, m := range r.sim.view.Members {
		addr := netip.MustParseAddrPort(m.DatagramAddr)
		if _, listed := before[addr]; listed && m.Zone == "c" {
			m.State = crwire.MemberDraining
		}
		view.Members[num] = m
	}
	r.steering.SetView(r.now, &view)
	want, got := map[netip.AddrPort]string{}, map[netip.AddrPort]string{}
	step := 0
	for i := range len(r.sim.agents) {
		a, listed := before[machineAddr(1, i)]
		switch {
		case !listed:
			continue
		case a.Zone == "b":
			want[a.Address] = "zoneout none"
			continue
		case a.Zone == "c":
			want[a.Address] = "inactive none"
			continue
		case step%2 == 0:
			want[a.Address] = "refused absent"
			r.frame(i, cropaque.Frame{Kind: cropaque.FrameRefused, Key: cropaque.Key{Caller: exampleKey.Service, Service: routeAddr}, Reason: cropaque.ReasonAbsent, Load: cropaque.Load{Slots: 2}})
		default:
			want[a.Address] = "draining none"
			r.frame(i, cropaque.Frame{Kind: cropaque.FrameLeave})
		}
		step++
	}
	e := r.steering.Explain(r.now, exampleKey)
	for addr, a := range outlooks(e) {
		got[addr] = a.State.String() + " " + a.Refusal.String()
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(cropaque.OutcomeHeld, e.Outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// TestExplainSilence checks that an agent that leaves an offer unanswered is silent.
func TestExplainSilence(t *testing.T) {
	r := newExplainRig(newExplainSim(), false, func() float64 { return 0.5 })
	r.open()
	r.now = r.now.Add(400 * time.Millisecond)
	a := outlooks(r.steering.Explain(r.now, exampleKey))[r.offers[0]]
	got := cropaque.AgentOutlook{State: a.State, Silence: a.Silence, Odds: a.Odds, Placed: a.Placed}
	want := cropaque.AgentOutlook{State: cropaque.StandingSilent, Silence: crdoc.Duration(400 * time.Millisecond), Placed: 1}
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("silent agent (-want +got):\n%s", diff)
	}
}

// TestExplainUpload checks that an upload that would wait for its turn on a thin link,
// or couldn't be carried, is foreseen as it is decided.
func TestExplainUpload(t *testing.T) {
	r := newUplinkRig(thinLink, true)
	var want, got []cropaque.Outcome
	for i := range 40 {
		p := cropaque.Packet{From: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 1, byte(i)}), 1024), To: uploadAddr, Open: true, Seq: 7}
		got = append(got, r.steering.Explain(r.now, p.KeyFromCaller()).Outcome)
		sent, reset := len(r.frames), len(r.resets)
		r.steering.HandlePacket(r.now, p, []byte{1})
		switch {
		case len(r.frames) > sent:
			want = append(want, cropaque.OutcomeOffered)
		case len(r.resets) > reset:
			want = append(want, cropaque.OutcomeRefused)
		default:
			want = append(want, cropaque.OutcomeWaiting)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcomes (-decided +explained):\n%s", diff)
	}
	t.Logf("outcomes %v", want)
}

// TestExplainUnknown checks the outcomes without a route and without a view.
func TestExplainUnknown(t *testing.T) {
	r := newExplainRig(newExplainSim(), false, func() float64 { return 0.5 })
	unknown := cropaque.Key{Caller: exampleKey.Caller, Service: netip.MustParseAddrPort("198.18.0.9:443")}
	empty := &cropaque.Steering{ViewFresh: func() bool { return false }}
	empty.Init()
	got := []cropaque.Outcome{r.steering.Explain(r.now, unknown).Outcome, empty.Explain(r.now, exampleKey).Outcome}
	if diff := cmp.Diff([]cropaque.Outcome{cropaque.OutcomeUnknown, cropaque.OutcomeUnready}, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
