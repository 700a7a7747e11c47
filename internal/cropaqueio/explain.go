package cropaqueio

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// maxExplanations limits the explanations in a second, which take time from
	// callers' packets: each about as much as a dozen new flows.
	maxExplanations = 10
	// maxListedRoutes limits the routes that an error names.
	maxListedRoutes = 8
)

// exampleCaller is the caller if none is named; the address belongs to nobody.
var exampleCaller = netip.MustParseAddrPort("192.0.2.1:1024")

// HandleExplain responds with a cropaque.Explanation of the flow from the query
// parameter caller (IP:PORT, may be absent) to the parameter address (IP:PORT of a route,
// or its IP if only one has it). It may be called before Run.
func (b *Balancer) HandleExplain(w http.ResponseWriter, r *http.Request) {
	if !b.admitExplanation(time.Now()) {
		http.Error(w, fmt.Sprintf("more than %d explanations in a second; try again", maxExplanations), http.StatusTooManyRequests)
		return
	}
	if err := b.Serving(); err != nil {
		http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	key, err := b.explainedKey(r.URL.Query().Get("address"), r.URL.Query().Get("caller"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	age, known := b.follower.ConfirmedAge()
	b.mu.Lock()
	e := b.steering.Explain(time.Now(), key)
	routes := b.steering.RouteAddrs()
	b.mu.Unlock()
	if e.Outcome == cropaque.OutcomeUnknown {
		more := ""
		if len(routes) > maxListedRoutes {
			more = fmt.Sprintf(" and %d more", len(routes)-maxListedRoutes)
			routes = routes[:maxListedRoutes]
		}
		http.Error(w, fmt.Sprintf("no route has the address %s in revision %d, so callers are reset. Routes: %v%s", key.Service, e.Revision, routes, more), http.StatusNotFound)
		return
	}
	if known {
		e.Age = (*crdoc.Duration)(&age)
	}
	crnet.WriteJSON(w, http.StatusOK, &e)
}

// admitExplanation reports whether there may be another explanation in this second,
// and counts it.
func (b *Balancer) admitExplanation(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.explainedAt) >= time.Second {
		b.explained, b.explainedAt = 0, now
	}
	b.explained++
	return b.explained <= maxExplanations
}

// explainedKey returns the flow that query parameters name.
func (b *Balancer) explainedKey(address, caller string) (cropaque.Key, error) {
	key := cropaque.Key{Caller: exampleCaller}
	if caller != "" {
		addr, err := netip.ParseAddrPort(caller)
		if err != nil {
			return key, fmt.Errorf("caller %q: want IP:PORT", caller)
		}
		key.Caller = addr
	}
	addr, err := netip.ParseAddrPort(address)
	if err == nil {
		key.Service = addr
		return key, nil
	}
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return key, fmt.Errorf("address %q: want IP:PORT or IP", address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, a := range b.steering.RouteAddrs() {
		if a.Addr() == ip {
			key.Service = a
			count++
		}
	}
	if count != 1 {
		return key, fmt.Errorf("%d routes have the IP address %s; name one with its port", count, ip)
	}
	return key, nil
}
