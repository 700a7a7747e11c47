package crbalancer

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// exampleCaller is the caller if none is named; the address belongs to nobody.
var exampleCaller = netip.MustParseAddrPort("192.0.2.1:1024")

// Explanation is where a request would go, and why.
type Explanation struct {
	// Revision is that of the view in force. Fresh is set while control confirms it.
	Revision uint64 `json:"rev"`
	Fresh    bool   `json:"fresh"`
	// Age is the time since control confirmed the view, nil if that isn't known.
	Age     *crdoc.Duration `json:"age,omitempty"`
	Service string          `json:"service"`
	// Class is the class that the agent puts the request into, nil if the request
	// matches none and is refused.
	Class  *crdoc.Class   `json:"class"`
	Caller netip.AddrPort `json:"caller"`
	// Chain lists the agents that a new flow of the caller is tried at, in order.
	Chain []ChainLink `json:"chain"`
	// Agents lists all agents of the service. The plain listener tries the ready ones in
	// random order, up to maxAttempts.
	Agents []AgentOutlook `json:"agents"`
}

// ChainLink is an agent in a chain.
type ChainLink struct {
	Name string `json:"name"`
	// Accepts is set if the agent may accept a new flow. The others handle it only if
	// they own it.
	Accepts bool `json:"accepts"`
}

// AgentOutlook is an agent of a service.
type AgentOutlook struct {
	Name  string             `json:"name"`
	Zone  string             `json:"zone"`
	State crwire.MemberState `json:"state"`
	// ZoneOut is set if the agent's availability zone is out of service.
	ZoneOut bool `json:"out,omitempty"`
	// Odds is the probability that the plain listener tries the agent first.
	Odds float64 `json:"odds"`
}

// HandleExplain responds with an Explanation of a request with the query parameters
// host, path, method and caller. It may be called before Run.
func (b *Balancer) HandleExplain(w http.ResponseWriter, r *http.Request) {
	if err := b.Serving(); err != nil {
		http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	query, caller := r.URL.Query(), exampleCaller
	if text := query.Get("caller"); text != "" {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			http.Error(w, fmt.Sprintf("caller %q: want IP:PORT", text), http.StatusBadRequest)
			return
		}
		caller = addr
	}
	view := b.view.Load()
	doc := findService(view, query.Get("host"))
	if doc == nil {
		http.Error(w, fmt.Sprintf("no service has the host %q in revision %d", query.Get("host"), view.Revision), http.StatusNotFound)
		return
	}
	plan := &crroute.Plan{}
	if b.forwarder != nil {
		plan = b.forwarder.plan.Load()
	}
	e := explain(view, plan, doc, cmp.Or(query.Get("method"), http.MethodGet), cmp.Or(query.Get("path"), "/"), caller)
	if follower := b.follower.Load(); follower != nil {
		e.Fresh = !follower.Stale()
		if age, known := follower.ConfirmedAge(); known {
			e.Age = (*crdoc.Duration)(&age)
		}
	}
	crnet.WriteJSON(w, http.StatusOK, &e)
}

// explain returns where a request would go, by the functions that decide it.
func explain(view *crwire.View, plan *crroute.Plan, doc *crdoc.Service, method, path string, caller netip.AddrPort) Explanation {
	e := Explanation{Revision: view.Revision, Service: doc.Name, Caller: caller, Chain: []ChainLink{}, Agents: []AgentOutlook{}}
	if class, ok := doc.Classify(method, path); ok {
		e.Class = &class
	}
	var route crroute.Route
	if plan.Foresee(doc.Name, caller, &route) == crroute.ReasonNone {
		for i, num := range route.Chain[:route.ChainLen] {
			e.Chain = append(e.Chain, ChainLink{Name: view.Members[num].Name, Accepts: i >= route.AcceptFrom})
		}
	}
	ready := candidates(view, doc.Name)
	for _, m := range view.Members {
		if m.Service != doc.Name {
			continue
		}
		a := AgentOutlook{Name: m.Name, Zone: m.Zone, State: m.State, ZoneOut: slices.Contains(view.ZonesOut, m.Zone)}
		if slices.ContainsFunc(ready, func(r crwire.Member) bool { return r.Num == m.Num }) {
			a.Odds = 1 / float64(len(ready))
		}
		e.Agents = append(e.Agents, a)
	}
	slices.SortFunc(e.Agents, func(a, b AgentOutlook) int { return cmp.Compare(a.Name, b.Name) })
	return e
}
