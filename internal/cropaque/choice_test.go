package cropaque_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
)

// keptRequestInterval is the average time between two requests of a kept flow.
const keptRequestInterval = time.Second

// keepFlow handles the answer on a flow that its caller keeps, and sends its next
// request after a while. When a request fails, the caller opens another flow.
func (sim *simulation) keepFlow(att *attempt) {
	if !att.request.answeredAt.IsZero() {
		return
	}
	att.request.answeredAt = sim.now
	sim.after(time.Duration(sim.rnd.ExpFloat64()*float64(keptRequestInterval)), func() {
		if sim.now.Sub(sim.requests[0].arrivedAt) > keptTime {
			return
		}
		r := &request{arrivedAt: sim.now, repeatable: true, attemptCount: 1, attempts: []*attempt{att}}
		att.request = r
		att.sent++
		sim.requests = append(sim.requests, r)
		sim.sendRequest(att, 200*time.Millisecond)
		sim.after(sim.callerTimeout, func() {
			if att.request == r && r.answeredAt.IsZero() {
				att.ended = true
				sim.openKept()
			}
		})
	})
}

// openKept opens a flow that its caller keeps.
func (sim *simulation) openKept() {
	r := &request{arrivedAt: sim.now, repeatable: true}
	sim.requests = append(sim.requests, r)
	sim.keepNext = true
	sim.startAttempt(r)
	sim.keepNext = false
}

// keptTime is how long callers use their flows in the replay of a power loss.
const keptTime = 9 * time.Second

// keptSpread returns the deviation of the open kept flows of agents, as a share of
// their average.
func (sim *simulation) keptSpread() float64 {
	var sum, squares float64
	for _, a := range sim.agents {
		n := float64(a.gate.OpenFlows())
		sum, squares = sum+n, squares+n*n
	}
	mean := sum / float64(len(sim.agents))
	return math.Sqrt(squares/float64(len(sim.agents))-mean*mean) / mean
}

// planningDeployment returns a deployment of which most requests come on flows that
// callers keep, beside flows of one request: 46 agents and 27 balancers in 3 zones.
func planningDeployment(evenLoad bool) deploymentSize {
	return deploymentSize{
		agents: 46, balancers: 27, zones: zones, slots: 2, requestDuration: 30 * time.Millisecond,
		target: 300 * time.Millisecond, timeout: 1500 * time.Millisecond, evenLoad: evenLoad,
	}
}

// newPlanning returns a simulation of that deployment, in which kept flows have a
// route of their own.
func newPlanning(seed uint64, evenLoad bool) *simulation {
	sim := newSimulationOf(seed, planningDeployment(evenLoad))
	kept := sim.view.Catalog.Routes[0]
	kept.Name, kept.Address = "k", keptRouteAddr
	sim.view.Catalog.Routes = append(sim.view.Catalog.Routes, kept)
	sim.applyView()
	return sim
}

// keptRouteAddr is the address of the route whose flows callers keep.
var keptRouteAddr = netip.MustParseAddrPort("198.18.0.2:443")

// keptPowerLoss replays a power loss, after which callers open all kept flows within
// a second, and returns the spread of the kept flows and the share in time from a
// second after the last start on.
func keptPowerLoss(seed uint64, evenLoad bool) (spread, inTime float64, sim *simulation) {
	const keptFlows, singleRate = 1100, 420
	sim = newPlanning(seed, evenLoad)
	sim.addLoad(singleRate, keptTime, true)
	restoredAt := sim.losePower().Sub(sim.now)
	for range keptFlows {
		sim.after(restoredAt+startupSpread+time.Duration(sim.rnd.Float64()*float64(time.Second)), sim.openKept)
	}
	sim.run(keptTime)
	wholeAt := restoredAt + startupSpread + time.Second
	return sim.keptSpread(), sim.answeredShare(wholeAt, keptTime-time.Second, sim.size.target), sim
}

// TestKeptFlowsAfterPowerLoss checks that flows that all callers open anew within a
// second are spread at most half as unevenly for even load as by expected latency, and
// that no fewer requests are in time.
func TestKeptFlowsAfterPowerLoss(t *testing.T) {
	const seeds = 5
	var even, fastest, evenInTime, fastestInTime float64
	for seed := range uint64(seeds) {
		spread, inTime, sim := keptPowerLoss(seed, true)
		if diff := cmp.Diff(0, sim.brokenFlows); diff != "" {
			t.Errorf("seed %d: resets of living flows (-want +got):\n%s", seed, diff)
		}
		even, evenInTime = even+spread/seeds, evenInTime+inTime/seeds
		spread, inTime, _ = keptPowerLoss(seed, false)
		fastest, fastestInTime = fastest+spread/seeds, fastestInTime+inTime/seeds
	}
	t.Logf("deviation of kept flows %.3f, by expected latency %.3f; in time %.4f and %.4f", even, fastest, evenInTime, fastestInTime)
	if even > fastest/2 || evenInTime < fastestInTime {
		t.Errorf("deviation of kept flows %.3f, want at most half of %.3f; in time %.4f, want at least %.4f", even, fastest, evenInTime, fastestInTime)
	}
}

// unequalServers gives the backend servers speeds of 0.6, 1 and 1.6 and 2 to 5 slots.
func (sim *simulation) unequalServers() {
	for i := range sim.size.agents {
		s := sim.agents[machineAddr(1, i)].server
		s.requestDuration = time.Duration(float64(s.requestDuration) / []float64{0.6, 1, 1.6}[i/3%3])
		s.slots = 2 + i/9%4
	}
	sim.announce()
}

// keptLoadSpread returns the deviation between backend servers of the load that their
// kept flows bring, as a share of its average.
func (sim *simulation) keptLoadSpread() float64 {
	var sum, squares float64
	for _, a := range sim.agents {
		load := float64(a.gate.OpenFlows()) * a.server.requestDuration.Seconds() / float64(a.server.slots)
		sum, squares = sum+load, squares+load*load
	}
	mean := sum / float64(len(sim.agents))
	return math.Sqrt(squares/float64(len(sim.agents))-mean*mean) / mean
}

// TestKeptFlowsOnUnequalServers checks that flows that callers open within three
// seconds and keep load unequal servers at most half as unevenly for even load as by
// expected latency, and that no fewer requests are in time.
func TestKeptFlowsOnUnequalServers(t *testing.T) {
	const seeds, keptFlows, singleRate, openingTime = 5, 2000, 900, 3 * time.Second
	var spread, inTime [2]float64
	for seed := range uint64(seeds) {
		for i, evenLoad := range []bool{false, true} {
			sim := newPlanning(seed, evenLoad)
			sim.unequalServers()
			sim.addLoad(singleRate, keptTime, true)
			for range keptFlows {
				sim.after(time.Duration(sim.rnd.Float64()*float64(openingTime)), sim.openKept)
			}
			sim.run(keptTime)
			spread[i] += sim.keptLoadSpread() / seeds
			inTime[i] += sim.answeredShare(openingTime, keptTime-time.Second, sim.size.target) / seeds
		}
	}
	t.Logf("deviation of kept load %.3f, by expected latency %.3f; in time %.4f and %.4f", spread[1], spread[0], inTime[1], inTime[0])
	if spread[1] > spread[0]/2 {
		t.Errorf("deviation of kept load %.3f, want at most half of %.3f", spread[1], spread[0])
	}
	if inTime[1] < inTime[0] {
		t.Errorf("in time %.4f, want at least %.4f", inTime[1], inTime[0])
	}
}

// TestEvenLoadNeedsKeptFlows checks that no agent reports kept flows while each flow
// carries one request, also beside a loss of power and of datagrams.
func TestEvenLoadNeedsKeptFlows(t *testing.T) {
	sim := newSimulationOf(6, planningDeployment(true))
	sim.lossRate = 0.03
	sim.addLoad(800, 5*time.Second, true)
	sim.run(time.Second)
	sim.losePower()
	sim.run(6 * time.Second)
	if diff := cmp.Diff(0, sim.keptReports); diff != "" {
		t.Errorf("reports of kept flows (-want +got):\n%s", diff)
	}
}

// TestEvenLoadOffersAsBefore checks that without reports of kept flows all offers are
// the same with even load and without.
func TestEvenLoadOffersAsBefore(t *testing.T) {
	offers := func(evenLoad bool) (sent []string) {
		sim := newSimulationOf(1, planningDeployment(false))
		rnd := rand.New(rand.NewPCG(3, 1))
		now := sim.now
		s := &cropaque.Steering{
			Zone: "a", EvenLoad: evenLoad, Random: rand.New(rand.NewPCG(4, 1)).Float64, LogDecision: func(cropaque.Decision) {},
			ViewFresh: func() bool { return true }, ResetFlow: func(cropaque.Key, uint32) {},
		}
		var offered []cropaque.Key
		var to []netip.AddrPort
		s.Send = func(addr netip.AddrPort, f *cropaque.Frame) {
			sent = append(sent, addr.String()+" "+f.Kind.String()+" "+f.Key.Caller.String())
			if f.Kind == cropaque.FrameOffer {
				offered, to = append(offered, f.Key), append(to, addr)
			}
		}
		s.Init()
		s.SetView(now, sim.view)
		for i := range 5000 {
			now = now.Add(time.Duration(rnd.ExpFloat64() * float64(2*time.Millisecond)))
			p := cropaque.Packet{From: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1024), To: routeAddr, Open: true, Seq: 7}
			s.HandlePacket(now, p, []byte{1})
			answer := cropaque.Frame{Kind: cropaque.FrameTaken, Key: offered[len(offered)-1], Load: cropaque.Load{
				Busy: rnd.IntN(4), Queued: rnd.IntN(2), Slots: 2, MeanLatency: time.Duration(20+rnd.IntN(40)) * time.Millisecond, FailurePermille: rnd.IntN(20) * 20,
			}}
			if rnd.IntN(5) == 0 {
				answer.Kind, answer.Reason = cropaque.FrameRefused, cropaque.ReasonFull
			}
			s.HandleFrame(now, to[len(to)-1], &answer)
		}
		return sent
	}
	if diff := cmp.Diff(offers(false), offers(true)); diff != "" {
		t.Errorf("frames (-without +with even load):\n%s", diff)
	}
}

// TestKeptRoundTrip checks that the lasting load survives encoding, and that a report
// without kept flows takes no further bytes.
func TestKeptRoundTrip(t *testing.T) {
	f := cropaque.Frame{Kind: cropaque.FrameTaken, KeptRoute: true, Load: cropaque.Load{Slots: 2, Kept: 24, KeptRate: 3, LastingBusy: 137, KeptBusy: 88}}
	got, err := cropaque.ParseFrame(f.Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(f.Load, got.Load); diff != "" || !got.KeptRoute {
		t.Errorf("load (-want +got):\n%s", diff)
	}
	without := cropaque.Frame{Kind: cropaque.FrameTaken, Load: cropaque.Load{Slots: 2}}
	if more := len(f.Append(nil)) - len(without.Append(nil)); more > 14 {
		t.Errorf("the lasting load takes %d bytes, want at most 14", more)
	}
}
