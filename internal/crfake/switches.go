package crfake

import (
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/pkg/crdoc"
)

// adminPath is the path that returns the State, and sets the switches on POST.
const adminPath = "/fake"

// maxSwitchesLen is the largest body of a POST to adminPath, in bytes.
const maxSwitchesLen = 1 << 16

// Switches configures the behaviour of a fake backend server. It can be changed
// while the server runs.
type Switches struct {
	// ServiceTime is how long one request takes.
	ServiceTime crdoc.Duration `json:"time"`
	// Parallel is the number of requests that run at once; others wait. 0 means
	// no limit.
	Parallel int `json:"parallel"`
	// ColdCapacity is the number of concurrent requests that a cold server has
	// capacity for; more start an outage. 0 means no limit.
	ColdCapacity int `json:"bears"`
	// WarmUp is how long the server is cold after its start, a call of Set and an
	// outage.
	WarmUp crdoc.Duration `json:"warm"`
	// DownTime is the length of an outage, after which the server is cold.
	DownTime crdoc.Duration `json:"down"`
	// LateDelay is how much FaultLate adds to ServiceTime.
	LateDelay crdoc.Duration `json:"late"`
	// Fault is the fault to inject.
	Fault Fault `json:"fault"`
	// Health is the HTTP status of /healthz, whatever the server's true state
	// is; 0 means 200.
	Health int `json:"health"`
}

// State is the response of a fake backend server at adminPath.
type State struct {
	Switches Switches `json:"switches"`
	// Runs maps the body of each request to its number of runs.
	Runs map[string]int `json:"runs"`
	// MaxRuns is the largest number in Runs.
	MaxRuns int `json:"most"`
	// InFlight is the number of requests in progress, including waiting ones.
	InFlight int `json:"under"`
	// PeakInFlight is the largest value of InFlight so far.
	PeakInFlight int `json:"peak"`
	// Outages is the number of outages so far.
	Outages int `json:"falls"`
}

// Set replaces the switches. The server is then cold for WarmUp.
func (b *Backend) Set(s Switches) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLocked(s)
}

// setLocked replaces the switches. The caller must hold b.mu.
func (b *Backend) setLocked(s Switches) {
	b.switches = s
	b.warmAt = time.Now().Add(s.WarmUp.D())
	b.slots = nil
	if s.Parallel > 0 {
		b.slots = make(chan struct{}, s.Parallel)
	}
}

// State returns the switches and counters.
func (b *Backend) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := State{Switches: b.switches, Runs: map[string]int{}, InFlight: b.inFlight, PeakInFlight: b.peakInFlight, Outages: b.outages}
	for body, n := range b.runs {
		out.Runs[body] = n
		out.MaxRuns = max(out.MaxRuns, n)
	}
	return out
}

// serveAdmin serves adminPath. On POST, fields that the body lacks keep their
// values.
func (b *Backend) serveAdmin(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		s := b.State().Switches
		if !crnet.ReadJSON(w, r, maxSwitchesLen, &s) {
			return
		}
		b.Set(s)
	}
	crnet.WriteJSON(w, http.StatusOK, b.State())
}

// RunCount returns the number of runs of requests with the given body.
func (b *Backend) RunCount(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}
