package cropaque_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/pkg/crdoc"
)

// shareWindow and routeReserve are the agents' settings in the replays.
const (
	shareWindow  = time.Second
	routeReserve = 0.1
)

const (
	// shareAgents and shareWork are the agents of the simulated service and the
	// average work of its requests.
	shareAgents = 12
	shareWork   = 30 * time.Millisecond
	// fairAccounts is how many accounts stay within their shares, and fairLoad the
	// part of the capacity that they need together.
	fairAccounts = 40
	fairLoad     = 0.8
)

// urgentAddr is the address of a route that is more urgent than that of routeAddr.
var urgentAddr = netip.MustParseAddrPort("198.18.0.2:443")

// greedyAccount is an account that wants more than its share.
var greedyAccount = netip.MustParseAddr("100.127.0.1")

// demand is what some accounts send on a route.
type demand struct {
	route netip.AddrPort
	// accounts is how many accounts send, 0 for the greedy one. Load is the part of
	// the capacity that they need.
	accounts   int
	load       float64
	maxRetries int
	from, to   time.Duration
}

// shareReplay is a simulation of a service with two routes of different urgency.
type shareReplay struct {
	*simulation
	start    time.Time
	capacity float64
}

// newShareReplay returns a replay of demands.
func newShareReplay(seed uint64, slots int, ignoreShares bool, demands ...demand) *shareReplay {
	sim := &shareReplay{capacity: float64(shareAgents*slots) / shareWork.Seconds()}
	sim.simulation = newSimulationOf(seed, deploymentSize{
		agents: shareAgents, balancers: 6, zones: zones, slots: slots, requestDuration: shareWork,
		target: 300 * time.Millisecond, timeout: 1500 * time.Millisecond, ignoreShares: ignoreShares,
	})
	sim.start = sim.now
	urgent := sim.view.Catalog.Routes[0]
	urgent.Name, urgent.Address, urgent.Priority = "urgent", urgentAddr, 0
	sim.view.Catalog.Routes = append([]crdoc.Route{urgent}, sim.view.Catalog.Routes...)
	sim.applyView()
	for _, w := range demands {
		sim.addDemand(w)
	}
	return sim
}

// addDemand makes accounts send requests.
func (sim *shareReplay) addDemand(w demand) {
	interval := float64(time.Second) / (w.load * sim.capacity)
	for at := w.from; at < w.to; at += time.Duration(sim.rnd.ExpFloat64() * interval) {
		account := greedyAccount
		if w.accounts > 0 {
			account = netip.AddrFrom4([4]byte{100, 64, 0, byte(sim.rnd.IntN(w.accounts) + 1)})
		}
		sim.after(at, func() {
			r := &request{arrivedAt: sim.now, repeatable: true, account: account, route: w.route, maxRetries: w.maxRetries}
			sim.requests = append(sim.requests, r)
			sim.startAttempt(r)
		})
	}
}

// outcome is what became of a group of requests.
type outcome struct{ asked, inTime, answered, runs float64 }

// inTimeShare and answeredShare are shares of the requests.
func (o outcome) inTimeShare() float64   { return o.inTime / max(1, o.asked) }
func (o outcome) answeredShare() float64 { return o.answered / max(1, o.asked) }

// add adds what became of the requests that arrived in [from, to) and for which of
// holds.
func (o *outcome) add(sim *shareReplay, from, to time.Duration, of func(r *request) bool) {
	for _, r := range sim.requests {
		if at := r.arrivedAt.Sub(sim.start); at < from || at >= to || !of(r) {
			continue
		}
		o.asked++
		o.runs += float64(r.runs)
		if r.answeredAt.IsZero() {
			continue
		}
		o.answered++
		if r.answeredAt.Sub(r.arrivedAt) <= sim.size.target {
			o.inTime++
		}
	}
}

func isFair(r *request) bool   { return r.account != greedyAccount }
func isUrgent(r *request) bool { return r.route == urgentAddr }

// greedyReplay is a load with an account that wants more than its share.
type greedyReplay struct {
	name   string
	slots  int
	greedy demand
	// outage makes everything lose power after a second.
	outage bool
}

// greedyReplays returns the replays. The neighbours of the greedy account have room
// for all that they want.
func greedyReplays() []greedyReplay {
	var out []greedyReplay
	for _, slots := range []int{2, 5} {
		out = append(out,
			greedyReplay{name: "tenfold", slots: slots, greedy: demand{load: 10 * fairLoad / fairAccounts, maxRetries: 2}},
			greedyReplay{name: "retries", slots: slots, greedy: demand{load: 0.3, maxRetries: 200}},
			greedyReplay{name: "outage", slots: slots, greedy: demand{load: fairLoad / 2, maxRetries: 20}, outage: true})
	}
	return out
}

// play plays the fair accounts, beside the greedy one or alone, and returns what
// became of their requests and of all.
func (p greedyReplay) play(ignoreShares, alone bool) (fair, all outcome) {
	end := 3 * time.Second
	if p.outage {
		end = 4500 * time.Millisecond
	}
	demands := []demand{{route: routeAddr, accounts: fairAccounts, load: fairLoad, to: end}}
	if p.outage {
		demands[0].load /= 2
	}
	if p.greedy.route, p.greedy.to = routeAddr, end; !alone {
		demands = append(demands, p.greedy)
	}
	sim := newShareReplay(1, p.slots, ignoreShares, demands...)
	from := time.Second
	if p.outage {
		sim.run(from)
		from = sim.losePower().Sub(sim.start) + startupSpread
	}
	sim.run(end + 2*time.Second)
	fair.add(sim, from, end, isFair)
	all.add(sim, from, end, func(*request) bool { return true })
	return fair, all
}

// TestGreedyAccount replays callers who compete for too little room: one account
// sends ten times as much as each of its neighbours, or comes back at once whenever
// it is refused, or does both while everybody returns after a loss of power. The
// neighbours, who stay within their shares, must get at least 0.95 of what they get
// without it. As many requests as without shares must be served, but for 0.01.
func TestGreedyAccount(t *testing.T) {
	for _, p := range greedyReplays() {
		t.Run(fmt.Sprintf("%s-%d", p.name, p.slots), func(t *testing.T) {
			t.Parallel()
			alone, _ := p.play(false, true)
			fair, all := p.play(false, false)
			before, allBefore := p.play(true, false)
			t.Logf("neighbours in time: %.3f, alone %.3f, without shares %.3f", fair.inTimeShare(), alone.inTimeShare(), before.inTimeShare())
			t.Logf("all in time: %.3f, without shares %.3f; answered: %.3f, %.3f", all.inTimeShare(), allBefore.inTimeShare(), all.answeredShare(), allBefore.answeredShare())
			t.Run("neighbours", func(t *testing.T) {
				wantAtLeast(t, "in time", fair.inTimeShare(), 0.95*alone.inTimeShare())
			})
			t.Run("in time", func(t *testing.T) {
				wantAtLeast(t, "in time", all.inTimeShare(), allBefore.inTimeShare()-0.01)
			})
			t.Run("answered", func(t *testing.T) {
				wantAtLeast(t, "answered", all.answeredShare(), allBefore.answeredShare()-0.01)
			})
		})
	}
}

// wantAtLeast compares a share with its bound.
func wantAtLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %.3f, want at least %.3f", what, got, want)
	}
}

// TestRouteMinimum replays bursts by route at 1.7 times the usual load: 1.9 and 2.4
// times as many requests on the urgent route, which alone are more than the capacity.
// The other route must get its minimum of the work, a twentieth.
func TestRouteMinimum(t *testing.T) {
	const usual, other, minimum, from, to = 0.35 * 1.7, 0.2 * 1.7, 0.05, time.Second, 3 * time.Second
	for _, slots := range []int{2, 5} {
		for _, burst := range []float64{1.9, 2.4} {
			t.Run(fmt.Sprintf("%.1f-%d", burst, slots), func(t *testing.T) {
				t.Parallel()
				for _, ignoreShares := range []bool{true, false} {
					sim := newShareReplay(1, slots, ignoreShares,
						demand{route: routeAddr, accounts: fairAccounts, load: other, to: to},
						demand{route: urgentAddr, accounts: fairAccounts, load: usual * burst, from: from, to: to})
					sim.run(to + 2*time.Second)
					var urgent, routine outcome
					urgent.add(sim, from+500*time.Millisecond, to, isUrgent)
					routine.add(sim, from+500*time.Millisecond, to, func(r *request) bool { return !isUrgent(r) })
					share := routine.runs / (routine.runs + urgent.runs)
					t.Logf("without shares %v: other route %.3f of the work, in time %.3f, answered %.3f; urgent in time %.3f, answered %.3f",
						ignoreShares, share, routine.inTimeShare(), routine.answeredShare(), urgent.inTimeShare(), urgent.answeredShare())
					if !ignoreShares {
						wantAtLeast(t, "share of the work", share, minimum)
					}
				}
			})
		}
	}
}

// TestSharesAfterAgentRestart checks that agents that restart lose the shares and
// nothing else: no flow is reset, and the neighbours of a greedy account get at
// least 0.95 of what they get without it from a second later on.
func TestSharesAfterAgentRestart(t *testing.T) {
	const end = 5 * time.Second
	var results []outcome
	for _, loads := range [][]demand{
		{{route: routeAddr, accounts: fairAccounts, load: fairLoad, to: end}},
		{{route: routeAddr, accounts: fairAccounts, load: fairLoad, to: end}, {route: routeAddr, load: 0.2, maxRetries: 2, to: end}},
	} {
		sim := newShareReplay(1, 5, false, loads...)
		sim.run(2 * time.Second)
		for i := range 3 {
			a := sim.agents[machineAddr(1, i)]
			a.down = true
			sim.after(300*time.Millisecond, a.start)
		}
		sim.run(end)
		var fair outcome
		fair.add(sim, 3300*time.Millisecond, end, isFair)
		results = append(results, fair)
		if diff := cmp.Diff(0, sim.brokenFlows); diff != "" {
			t.Errorf("resets of living flows (-want +got):\n%s", diff)
		}
	}
	wantAtLeast(t, "neighbours in time", results[1].inTimeShare(), 0.95*results[0].inTimeShare())
}

// TestGreedyAccountIsRefusedAtOnce checks that a flow of an account beyond its share
// is refused by the answer to its offer while others wait, and that flows of others
// may wait in its place.
func TestGreedyAccountIsRefusedAtOnce(t *testing.T) {
	h := newGateHarness()
	h.gate.ShareWindow, h.gate.RouteReserve = shareWindow, routeReserve
	h.gate.Init()
	h.setView(nil, "ledger")
	h.announce(2, false, 0)
	refused := 0
	offer := func(account byte, n int) {
		key := cropaque.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 2, account}), uint16(1024+n)), Service: routeAddr}
		h.gate.HandleFrame(h.now, balancerAddr, &cropaque.Frame{Kind: cropaque.FrameOffer, Key: key, MayQueue: true, Data: []byte{1}},
			cropaque.Packet{From: key.Caller, To: key.Service, Open: true, Seq: 7})
		h.now = h.now.Add(time.Microsecond)
	}
	for n := range 10 {
		offer(byte(10+n), n)
	}
	for n := range 200 {
		offer(1, n)
		if h.lastReply() == "refused full" {
			refused++
		}
	}
	if refused < 100 {
		t.Errorf("%d of 200 flows were refused at once, want at least 100", refused)
	}
	offer(2, 0)
	want := []string{"taken none", "refused full"}
	if diff := cmp.Diff(want, h.replies[len(h.replies)-2:]); diff != "" {
		t.Errorf("another account is taken, and a waiting flow refused for it (-want +got):\n%s", diff)
	}
}

// TestOrderWithoutCompetition checks that accounts with one flow each, on one route,
// get the same slots and the same refusals with and without shares: at the return
// of everybody, with flows that are late already and flows that aren't.
func TestOrderWithoutCompetition(t *testing.T) {
	var logs [2][]string
	for i, window := range []time.Duration{0, shareWindow} {
		h := newGateHarness()
		h.gate.ShareWindow, h.gate.RouteReserve = window, routeReserve
		h.gate.ToServer = func(data []byte) { logs[i] = append(logs[i], fmt.Sprintf("to server %d", data)) }
		h.gate.Reply = func(_ netip.AddrPort, f *cropaque.Frame) {
			logs[i] = append(logs[i], fmt.Sprintf("%s %s %s", f.Kind, f.Reason, f.Key.Caller))
		}
		h.gate.Init()
		h.setView(nil, "ledger")
		h.announce(2, false, 0)
		var running []cropaque.Key
		for n := range 200 {
			key := cropaque.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 1, byte(n)}), 1024), Service: routeAddr}
			h.gate.HandleFrame(h.now, balancerAddr, &cropaque.Frame{
				Kind: cropaque.FrameOffer, Key: key, MayQueue: true, Age: time.Duration(n*n%7) * 50 * time.Millisecond, Data: []byte{byte(n)},
			}, cropaque.Packet{From: key.Caller, To: key.Service, Open: true, Seq: 7})
			running = append(running, key)
			h.now = h.now.Add(5 * time.Millisecond)
			if n%2 == 0 {
				done := running[0]
				running = running[1:]
				h.gate.HandleServerPacket(h.now, cropaque.Packet{From: done.Service, To: done.Caller, Ack: true, End: true, Size: 600}, nil)
			}
			h.gate.Tick(h.now)
		}
	}
	if diff := cmp.Diff(logs[0], logs[1]); diff != "" || len(logs[0]) < 300 {
		t.Errorf("%d effects; (-without shares +with):\n%s", len(logs[0]), diff)
	}
}
