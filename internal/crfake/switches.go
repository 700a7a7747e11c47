package crfake

import (
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/pkg/crdoc"
)

// adminPath reads the state by GET and sets the switches by POST.
const adminPath = "/fake"

// switchesMax bounds the body of a POST to adminPath, in bytes.
const switchesMax = 1 << 16

// Switches are what a fake backend server does. They may change while it
// serves.
type Switches struct {
	// Time is how long one request takes.
	Time crdoc.Duration `json:"time"`
	// Parallel is how many requests run at once; the rest wait. 0 is no bound.
	Parallel int `json:"parallel"`
	// Bears is how many requests a cold server bears; more make it fall
	// over. 0 bears all.
	Bears int `json:"bears"`
	// Warm is how long the server is cold after its start.
	Warm crdoc.Duration `json:"warm"`
	// Down is how long a server that fell over is down; then it is cold.
	Down crdoc.Duration `json:"down"`
	// Late is the delay of FaultLate.
	Late crdoc.Duration `json:"late"`
	// Fault is how it misbehaves.
	Fault Fault `json:"fault"`
	// Health is the status of /healthz, which may lie; 0 means 200.
	Health int `json:"health"`
}

// State is what a fake backend server tells at adminPath.
type State struct {
	Switches Switches `json:"switches"`
	// Runs counts the runs of each request by its body.
	Runs map[string]int `json:"runs"`
	// Most is the largest count in Runs.
	Most int `json:"most"`
	// Under is how many requests are inside the server.
	Under int `json:"under"`
	// Peak is the largest Under so far.
	Peak int `json:"peak"`
	// Falls counts how often the server fell over.
	Falls int `json:"falls"`
}

// Set changes the switches. A server that is told to be cold is cold from
// now on.
func (b *Backend) Set(s Switches) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(s)
}

// set changes the switches; the caller holds mu.
func (b *Backend) set(s Switches) {
	b.switches = s
	b.cold = time.Now().Add(s.Warm.D())
	b.slots = nil
	if s.Parallel > 0 {
		b.slots = make(chan struct{}, s.Parallel)
	}
}

// State returns the switches and counts.
func (b *Backend) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := State{Switches: b.switches, Runs: map[string]int{}, Under: b.under, Peak: b.peak, Falls: b.falls}
	for body, n := range b.runs {
		out.Runs[body] = n
		out.Most = max(out.Most, n)
	}
	return out
}

// serveAdmin answers adminPath.
func (b *Backend) serveAdmin(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		s := b.State().Switches
		if !crnet.ReadJSON(w, r, switchesMax, &s) {
			return
		}
		b.Set(s)
	}
	crnet.WriteJSON(w, http.StatusOK, b.State())
}

// Count returns how often requests with a body ran.
func (b *Backend) Count(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}
