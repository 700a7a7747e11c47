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
	// triesMax is how many agents a request is offered to.
	triesMax = 3
	// timeoutMax bounds a request; its class bounds it further at the agent.
	timeoutMax = 60 * time.Second
)

// serveHTTP answers a caller on the plain listener.
func (b *Balancer) serveHTTP(w http.ResponseWriter, r *http.Request) {
	b.running.Add(1)
	defer b.running.Add(-1)
	view := b.view.Load()
	doc := serviceOf(view, r.Host)
	if doc == nil {
		crrun.NewRejection(http.StatusNotFound, "service").Write(w)
		return
	}
	req, err := crrun.FromCaller(r, doc.Name, rand.Text())
	if err != nil {
		crrun.NewRejection(http.StatusRequestEntityTooLarge, "body").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeoutMax)
	defer cancel()
	b.run(ctx, view, req).Write(w)
}

// run offers a request to agents until one has run it or may have.
func (b *Balancer) run(ctx context.Context, view *crwire.View, req *crrun.Request) crrun.Answer {
	answer := crrun.NewFailure(crwire.OutcomeNotrun, "agents")
	for i, m := range candidates(view, req.Service) {
		if i == triesMax {
			break
		}
		answer = b.caller.SendToAgent(ctx, m.RunAddr, req)
		if answer.Outcome != crwire.OutcomeNotrun {
			return answer
		}
	}
	return answer
}

// candidates returns the agents that take new work for a service, shuffled.
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

// serviceOf returns the document that a host name selects.
func serviceOf(view *crwire.View, host string) *crdoc.Service {
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
