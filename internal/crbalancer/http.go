package crbalancer

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// maxAttempts limits how many agents a request is sent to.
	maxAttempts = 3
	// requestTimeout limits a request. The agent additionally applies the
	// deadline of the request's class.
	requestTimeout = 60 * time.Second
)

// serveHTTP serves a request on the plain HTTP listener.
func (b *Balancer) serveHTTP(w http.ResponseWriter, r *http.Request) {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	view := b.view.Load()
	doc := findService(view, r.Host)
	if doc == nil {
		crrun.NewRejection(http.StatusNotFound, "service").Write(w)
		return
	}
	req, err := crrun.FromCaller(r, doc.Name, rand.Text())
	if err != nil {
		crrun.NewRejection(http.StatusRequestEntityTooLarge, "body").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	b.run(ctx, view, req).Write(w)
}

// run sends a request to one agent after another, until an agent has run it or
// may have run it.
func (b *Balancer) run(ctx context.Context, view *crwire.View, req *crrun.Request) crrun.Answer {
	answer := crrun.NewFailure(crwire.OutcomeNotrun, "agents")
	for i, m := range candidates(view, req.Service) {
		if i == maxAttempts {
			break
		}
		answer = b.caller.SendToAgent(ctx, m.RunAddr, req)
		if answer.Outcome != crwire.OutcomeNotrun {
			return answer
		}
	}
	return answer
}

// candidates returns the agents that accept new requests for a service, in
// random order.
func candidates(view *crwire.View, service string) []crwire.Member {
	var out []crwire.Member
	for _, m := range view.Members {
		if m.Service != service || m.State != crwire.MemberActive || slices.Contains(view.ZonesOut, m.Zone) {
			continue
		}
		out = append(out, m)
	}
	mathrand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// findService returns the service whose name or host name is host, or nil.
func findService(view *crwire.View, host string) *crdoc.Service {
	host, _, _ = strings.Cut(host, ":")
	if doc := view.Services[host]; doc != nil {
		return doc
	}
	for _, doc := range view.Services {
		if slices.Contains(doc.Hosts, host) {
			return doc
		}
	}
	return nil
}
