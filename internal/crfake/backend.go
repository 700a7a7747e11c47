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

// Backend is a backend server. Set the exported fields before Start.
type Backend struct {
	// Addr is the host:port to listen on.
	Addr string
	// Name is in each answer.
	Name string
	// ServiceTime is how long one request takes; it goes before Switches.ServiceTime.
	ServiceTime time.Duration
	// Switches are the first switches.
	Switches Switches

	mu       sync.Mutex
	switches Switches
	slots    chan struct{}
	runs     map[string]int
	under    int
	peak     int
	falls    int
	// cold is when the server is warm, down when it is up again.
	cold time.Time
	down time.Time
	// last is the ID of the request before, for crossed answers.
	last   string
	server *crnet.Server
}

// Start listens.
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

// Bound returns the address that the backend server listens on.
func (b *Backend) Bound() string { return b.server.Bound() }

// Close cuts everything at once, as a crash does.
func (b *Backend) Close() error { return b.server.Close() }

// Runs returns how often each request ran, by its body.
func (b *Backend) Runs() map[string]int { return b.State().Runs }

// serve answers health checks, the switches and requests.
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
	s := b.enter()
	defer b.leave()
	if !b.up() {
		panic(http.ErrAbortHandler)
	}
	if fails(w, r, s.Fault) {
		return
	}
	if !b.work(r.Context(), s, string(body)) {
		panic(http.ErrAbortHandler)
	}
	b.answer(w, r, s.Fault, fmt.Sprintf("%s %s %s by %s\n", r.Method, r.URL.Path, body, b.Name))
}

// health returns what the health check says.
func (b *Backend) health() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.switches.Health == 0 {
		return http.StatusOK
	}
	return b.switches.Health
}

// enter counts a request in; too many make a cold server fall over.
func (b *Backend) enter() Switches {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.under++
	b.peak = max(b.peak, b.under)
	now := time.Now()
	if b.switches.ColdCapacity > 0 && b.under > b.switches.ColdCapacity && now.Before(b.cold) && !now.Before(b.down) {
		b.falls++
		b.down = now.Add(b.switches.DownTime.D())
		b.cold = b.down.Add(b.switches.WarmUp.D())
	}
	return b.switches
}

// leave counts a request out.
func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.under--
}

// up tells whether the server has not fallen over.
func (b *Backend) up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !time.Now().Before(b.down)
}

// fails carries out the faults that run nothing; false when there is none.
func fails(w http.ResponseWriter, r *http.Request, fault Fault) bool {
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

// work runs a request; false when its caller gave up first or the server
// fell over meanwhile.
func (b *Backend) work(ctx context.Context, s Switches, body string) bool {
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
	total := s.ServiceTime.D()
	if s.Fault == FaultLate {
		total += s.LateDelay.D()
	}
	timer := time.NewTimer(total)
	defer timer.Stop()
	select {
	case <-timer.C:
		return b.up()
	case <-ctx.Done():
		return false
	}
}

// answer writes an answer under the request's ID.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, fault Fault, text string) {
	id := r.Header.Get(crwire.HeaderID)
	b.mu.Lock()
	last := b.last
	b.last = id
	b.mu.Unlock()
	if fault == FaultCrossed {
		id = "not-" + last
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
