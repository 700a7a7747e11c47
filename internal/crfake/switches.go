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
	// ServiceTime is how long one request takes.
	ServiceTime crdoc.Duration `json:"time"`
	// Parallel is how many requests run at once; the rest wait. 0 is no bound.
	Parallel int `json:"parallel"`
	// ColdCapacity is how many requests a cold server bears; more make it fall
	// over. 0 bears all.
	ColdCapacity int `json:"bears"`
	// WarmUp is how long the server is cold after its start.
	WarmUp crdoc.Duration `json:"warm"`
	// DownTime is how long a server that fell over is down; then it is cold.
	DownTime crdoc.Duration `json:"down"`
	// LateDelay is the delay of FaultLate.
	LateDelay crdoc.Duration `json:"late"`
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
	// MaxRuns is the largest count in Runs.
	MaxRuns int `json:"most"`
	// InFlight is how many requests are inside the server.
	InFlight int `json:"under"`
	// PeakInFlight is the largest InFlight so far.
	PeakInFlight int `json:"peak"`
	// Outages counts how often the server fell over.
	Outages int `json:"falls"`
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
	b.cold = time.Now().Add(s.WarmUp.D())
	b.slots = nil
	if s.Parallel > 0 {
		b.slots = make(chan struct{}, s.Parallel)
	}
}

// State returns the switches and counts.
func (b *Backend) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := State{Switches: b.switches, Runs: map[string]int{}, InFlight: b.under, PeakInFlight: b.peak, Outages: b.falls}
	for body, n := range b.runs {
		out.Runs[body] = n
		out.MaxRuns = max(out.MaxRuns, n)
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

// RunCount returns how often requests with a body ran.
func (b *Backend) RunCount(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}
