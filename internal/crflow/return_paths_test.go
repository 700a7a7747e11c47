package crflow_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestReturnAvoidsSilentBalancer stops the balancer that forwarded a flow's last
// datagram while the caller waits. If answers kept going to that balancer, they
// would be lost.
func TestReturnAvoidsSilentBalancer(t *testing.T) {
	balancers := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:9"), netip.MustParseAddrPort("10.0.0.2:9"), netip.MustParseAddrPort("10.0.0.3:9"),
	}
	g := newAgentGroup(1)
	forward := func(by, caller int, at time.Duration) {
		e := envelope(0, 1)
		e.Caller, e.ReturnAddr = callerAt(caller), balancers[by]
		g.flows[1].Decide(e, 1, true, epoch.Add(at))
	}
	returnAddrs := func(at time.Duration) map[netip.AddrPort]int {
		out := map[netip.AddrPort]int{}
		for range 6 {
			to, ok := g.flows[1].ReturnAddr(callerAt(1), epoch.Add(at))
			if !ok {
				t.Fatal("no return address for the caller")
			}
			out[to]++
		}
		return out
	}
	for i := range balancers {
		forward(i, 10+i, 0)
	}
	forward(0, 1, time.Millisecond)
	for _, test := range []struct {
		name string
		at   time.Duration
		// othersSeen is when the other two balancers forward again; 0 for never.
		othersSeen time.Duration
		want       map[netip.AddrPort]int
	}{
		{"balancer seen recently", 200 * time.Millisecond, 0, map[netip.AddrPort]int{balancers[0]: 6}},
		{"all balancers silent, used in rotation", 5 * time.Second, 0, map[netip.AddrPort]int{balancers[0]: 2, balancers[1]: 2, balancers[2]: 2}},
		{"other balancers seen recently", 6 * time.Second, 6 * time.Second, map[netip.AddrPort]int{balancers[1]: 3, balancers[2]: 3}},
	} {
		if test.othersSeen > 0 {
			forward(1, 11, test.othersSeen)
			forward(2, 12, test.othersSeen)
		}
		if diff := cmp.Diff(test.want, returnAddrs(test.at), compareAddr); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// compareAddr compares addresses with ==.
var compareAddr = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
