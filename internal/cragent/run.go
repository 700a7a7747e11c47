package cragent

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
)

// serveRun answers a run call of a balancer or another agent.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	req, remain, err := crrun.FromPeer(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a.state.Load() != int64(crwire.MemberActive) {
		// The connection ends with this answer: one that is idle when the
		// listener stops could carry a request that nobody reads.
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithTimeout(r.Context(), remain)
	defer cancel()
	a.Serve(ctx, req).WritePeer(w, req.ID)
}

// Serve runs one request within its class's deadline, and says truthfully
// what became of it.
func (a *Agent) Serve(ctx context.Context, req *crrun.Request) crrun.Answer {
	doc := a.view.Load().Services[req.Service]
	if doc == nil || req.Service != a.member.Service {
		return crrun.Refuse(crwire.OutcomeNotrun, "service")
	}
	path, _, _ := strings.Cut(req.Target, "?")
	class, ok := doc.Classify(req.Method, path)
	if !ok {
		return crrun.Reject(http.StatusNotFound, "class")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(class.Deadline))
	defer cancel()
	return a.caller.Backend(ctx, a.Settings.Agent.Backend, req, !class.Repeat)
}
