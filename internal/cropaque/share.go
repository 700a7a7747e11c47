package cropaque

import (
	"math"
	"net/netip"
	"time"

	"cardamomring.dev/internal/crshare"
)

const (
	// maxAccounts limits the client accounts that are remembered for a window, at
	// about 60 bytes each.
	maxAccounts = 4_096
	// maxRoutes limits the routes that are remembered, as maxAccounts does.
	maxRoutes = 256
)

// shares knows the work that client accounts and routes got at the backend
// server lately. It is lost with the agent; the shares then begin anew.
type shares struct {
	accounts crshare.Usage[netip.Addr]
	routes   crshare.Usage[netip.AddrPort]
}

// newShares returns shares over a window, nil if it is 0.
func newShares(window time.Duration) *shares {
	if window <= 0 {
		return nil
	}
	return &shares{
		accounts: crshare.Usage[netip.Addr]{Window: window, MaxHolders: maxAccounts},
		routes:   crshare.Usage[netip.AddrPort]{Window: window, MaxHolders: maxRoutes},
	}
}

// add adds work to the account and the route of a flow.
func (s *shares) add(now time.Time, key Key, work time.Duration) {
	if s == nil {
		return
	}
	s.accounts.Add(now, key.Caller.Addr(), work)
	s.routes.Add(now, key.Service, work)
}

// rankByShare updates the fields of waiting flows by which shares change their
// order. For each flow of an account, the work of those that go before it and can
// still be answered in time is added to what the account got: after an outage all accounts
// begin with nothing, and one that sends much is known by its flows that wait.
func (g *Gate) rankByShare(now time.Time, flows []*agentFlow) {
	if g.shares == nil || len(flows) < 2 {
		return
	}
	completion, accounts := g.expectedCompletion(now), &g.shares.accounts
	waiting := time.Duration(waitQueue(flows).countOnTime(completion)) * g.meanLatency
	slotInterval := g.meanLatency / time.Duration(max(1, g.server.Slots))
	newestFirst := waitQueue(flows).crowded(completion, slotInterval, math.MaxInt64)
	limit := crshare.Limit(accounts.Total(now)+waiting, accounts.Holders(now), g.meanLatency)
	work := make(map[netip.Addr]time.Duration, len(flows))
	routesCompete := false
	for i := range flows {
		f := flows[i]
		if newestFirst {
			f = flows[len(flows)-1-i]
		}
		account := f.key.Caller.Addr()
		if _, known := work[account]; !known {
			work[account] = accounts.Of(now, account)
		}
		f.excess, f.starved = max(0, work[account]-limit), false
		if !f.missesTarget(completion) {
			work[account] += g.meanLatency
		}
		routesCompete = routesCompete || f.priority != flows[0].priority || f.target != flows[0].target
	}
	if routesCompete && g.RouteReserve > 0 {
		g.rankRoutes(now, flows)
	}
}

// rankRoutes marks one flow of each route that gets less than its minimum, the
// oldest that can still be answered in time. Marking them all would let a new flow
// of another route expect to wait for them all.
func (g *Gate) rankRoutes(now time.Time, flows []*agentFlow) {
	completion := g.expectedCompletion(now)
	starved, next := map[netip.AddrPort]bool{}, map[netip.AddrPort]*agentFlow{}
	for _, f := range flows {
		route := f.key.Service
		starved[route] = starved[route] || crshare.Starved(now, &g.shares.routes, route, g.RouteReserve, now.Sub(f.arrivedAt), f.target)
		if first := next[route]; first == nil || f.goesBefore(first, completion, false) {
			next[route] = f
		}
	}
	for route, f := range next {
		f.starved = starved[route]
	}
}

// reserveWork counts the work of a request that is about to begin as that of an
// average one.
func (g *Gate) reserveWork(now time.Time, f *agentFlow) {
	f.countedWork = g.meanLatency
	g.shares.add(now, f.key, f.countedWork)
}

// countWork counts the work of a request that has ended. Beyond the slots,
// requests wait at the backend server, which is no work.
func (g *Gate) countWork(now time.Time, f *agentFlow) {
	work := now.Sub(f.requestAt)
	if slots := max(1, g.server.Slots); g.running > slots {
		work = work * time.Duration(slots) / time.Duration(g.running)
	}
	g.shares.add(now, f.key, work-f.countedWork)
	f.countedWork = 0
}

// routeMayQueue reports whether a flow may wait because its route gets less than
// its minimum: more urgent flows go ahead of it, but they leave the minimum.
func (g *Gate) routeMayQueue(now time.Time, f *agentFlow) bool {
	if g.shares == nil {
		return false
	}
	if !crshare.BelowMinimum(now, &g.shares.routes, f.key.Service, g.RouteReserve) {
		return false
	}
	minimum := crshare.Minimum(g.RouteReserve, g.shares.routes.Holders(now))
	ahead, urgent := g.queue.countOfRoute(f)
	if urgent == 0 {
		return false
	}
	wait := float64(g.meanLatency) * float64(ahead+1) / (minimum * float64(max(1, g.server.Slots)))
	return wait <= queueWaitShare*float64(f.timeout-now.Sub(f.arrivedAt))
}

// refuseDisplaced refuses the last waiting flow of an account beyond its share, if
// flows that came later and go before it leave it no time. One new flow
// displaces at most one.
func (g *Gate) refuseDisplaced(now time.Time, newFlow *agentFlow) {
	if g.shares == nil || newFlow.excess > 0 {
		return
	}
	completion := g.expectedCompletion(now)
	last := g.queue.lastOverShare(completion)
	if last == nil || g.flows[last.key] != last {
		return
	}
	ahead := g.queue.countAhead(last, completion)
	wait := g.meanLatency * time.Duration(ahead+1) / time.Duration(max(1, g.server.Slots))
	if now.Sub(last.arrivedAt)+wait+g.meanLatency <= min(last.timeout, callerOpenTimeout) {
		return
	}
	g.queue.retain(func(f *agentFlow) bool { return f != last })
	g.removeFlow(last)
	g.refuseOverShare(now, last)
}

// refuseOverShare refuses a flow because its account is beyond its share while
// others wait. Balancers treat it like a full backend server: another one may
// have room.
func (g *Gate) refuseOverShare(now time.Time, f *agentFlow) {
	g.refuseWith(now, f.offer, Decision{
		Event: "flow is refused: its account is beyond its share", Key: f.key, Reason: ReasonFull, Age: f.excess,
	})
}

// RouteShares returns the share of the work of each route in the catalog that
// got any lately, by its name.
func (g *Gate) RouteShares(now time.Time) map[string]float64 {
	out := map[string]float64{}
	if g.shares == nil {
		return out
	}
	for addr, r := range g.routes {
		if share := g.shares.routes.Share(now, addr); share > 0 {
			out[r.Name] = share
		}
	}
	return out
}
