package crfake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// Backend is a fake backend server. Set the exported fields before Start.
type Backend struct {
	// Addr is the host:port to listen on; port 0 means any free port.
	Addr string
	// Name is included in each response.
	Name string
	// ServiceTime is how long one request takes. Unless 0, it overrides
	// Switches.ServiceTime.
	ServiceTime time.Duration
	// Switches holds the initial switches; Set changes them later.
	Switches Switches

	mu           sync.Mutex
	switches     Switches
	slots        chan struct{}
	runs         map[string]int
	inFlight     int
	peakInFlight int
	outages      int
	// warmAt is when the server ceases to be cold, upAt when an outage ends.
	warmAt time.Time
	upAt   time.Time
	// prevID is the ID of the previous request, for FaultCrossed.
	prevID string
	server *crnet.Server
}

// Start starts the server; its error is that of listening on Addr.
func (b *Backend) Start() error {
	b.runs = map[string]int{}
	s := b.Switches
	if b.ServiceTime > 0 {
		s.ServiceTime = crdoc.Duration(b.ServiceTime)
	}
	b.Set(s)
	b.server = &crnet.Server{Addr: b.Addr, Handler: http.HandlerFunc(b.serve)}
	return b.server.Start()
}

// Bound returns the address that the server listens on.
func (b *Backend) Bound() string { return b.server.Bound() }

// Close closes all connections at once, as in a crash.
func (b *Backend) Close() error { return b.server.Close() }

// Runs returns the number of runs of each request, by its body.
func (b *Backend) Runs() map[string]int { return b.State().Runs }

// serve handles health checks, calls of adminPath and requests.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case adminPath:
		b.serveAdmin(w, r)
		return
	case "/healthz":
		w.WriteHeader(b.health())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s := b.beginRequest()
	defer b.endRequest()
	if !b.isUp() {
		panic(http.ErrAbortHandler)
	}
	if injectFault(w, r, s.Fault) {
		return
	}
	if !b.run(r.Context(), s, string(body)) {
		panic(http.ErrAbortHandler)
	}
	b.respond(w, r, s.Fault, fmt.Sprintf("%s %s %s by %s\n", r.Method, r.URL.Path, body, b.Name))
}

// health returns the HTTP status of the health check.
func (b *Backend) health() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.switches.Health == 0 {
		return http.StatusOK
	}
	return b.switches.Health
}

// beginRequest counts a request and returns the switches. More requests than
// ColdCapacity on a cold server start an outage.
func (b *Backend) beginRequest() Switches {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.peakInFlight = max(b.peakInFlight, b.inFlight)
	now := time.Now()
	if b.switches.ColdCapacity > 0 && b.inFlight > b.switches.ColdCapacity && now.Before(b.warmAt) && !now.Before(b.upAt) {
		b.outages++
		b.upAt = now.Add(b.switches.DownTime.D())
		b.warmAt = b.upAt.Add(b.switches.WarmUp.D())
	}
	return b.switches
}

// endRequest counts the end of a request.
func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// isUp reports whether no outage is in progress.
func (b *Backend) isUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !time.Now().Before(b.upAt)
}

// injectFault injects a fault that prevents the request from running. It returns
// false for any other fault.
func injectFault(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch fault {
	case FaultShed:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultFrozen:
		<-r.Context().Done()
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultReset:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// run runs a request. It returns false if ctx ended first or an outage is in
// progress at the end.
func (b *Backend) run(ctx context.Context, s Switches, body string) bool {
	b.mu.Lock()
	slots := b.slots
	b.mu.Unlock()
	if slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return false
		}
	}
	b.mu.Lock()
	b.runs[body]++
	b.mu.Unlock()
	duration := s.ServiceTime.D()
	if s.Fault == FaultLate {
		duration += s.LateDelay.D()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return b.isUp()
	case <-ctx.Done():
		return false
	}
}

// respond writes a response with the request's ID, or with another one or only
// half of the body as fault demands.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, fault Fault, text string) {
	id := r.Header.Get(crwire.HeaderID)
	b.mu.Lock()
	prevID := b.prevID
	b.prevID = id
	b.mu.Unlock()
	if fault == FaultCrossed {
		id = "not-" + prevID
	}
	if id != "" {
		w.Header().Set(crwire.HeaderID, id)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault != FaultCut {
		fmt.Fprint(w, text)
		return
	}
	fmt.Fprint(w, text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
