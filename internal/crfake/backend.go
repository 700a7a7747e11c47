// Package crfake holds small fakes for tests and the demo: a backend server
// and a fabric that sprays datagrams over balancers.
package crfake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cardamomring.dev/internal/crnet"
)

// Backend is a backend server. Set the exported fields before Start.
type Backend struct {
	// Addr is the host:port to listen on.
	Addr string
	// Name is in each answer.
	Name string
	// Service is how long one request takes.
	Service time.Duration

	mu     sync.Mutex
	runs   map[string]int
	server *crnet.Server
}

// Start listens.
func (b *Backend) Start() error {
	b.runs = map[string]int{}
	b.server = &crnet.Server{Addr: b.Addr, Handler: http.HandlerFunc(b.serve)}
	return b.server.Start()
}

// Bound returns the address that the backend server listens on.
func (b *Backend) Bound() string { return b.server.Bound() }

// Close cuts everything at once, as a crash does.
func (b *Backend) Close() error { return b.server.Close() }

// Runs returns how often each request ran, by its body.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.runs))
	for k, n := range b.runs {
		out[k] = n
	}
	return out
}

// serve runs one request.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.runs[string(body)]++
	b.mu.Unlock()
	time.Sleep(b.Service)
	fmt.Fprintf(w, "%s %s %s by %s\n", r.Method, r.URL.Path, body, b.Name)
}
