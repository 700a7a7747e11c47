package crobs

import (
	"context"
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cardamomring.dev/internal/crnet"
)

// Admin serves /metrics, /healthz and /readyz for operators and the platform. The
// exported fields must be set before Start.
type Admin struct {
	// Addr is the host:port to listen on; empty disables the listener.
	Addr string
	// Registry contains the metrics of the process.
	Registry *prometheus.Registry
	// Ready returns nil if the process can serve, else the reason why not. It
	// must be safe for concurrent use.
	Ready func() error
	// EnablePprof adds the paths below /debug/pprof/.
	EnablePprof bool
	// Explain serves /explain, if it isn't nil.
	Explain http.HandlerFunc

	server *crnet.Server
}

// NewRegistry returns a registry with the metrics of the Go runtime and of
// the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// Start starts the listener, if Addr is set.
func (a *Admin) Start() error {
	if a.Addr == "" {
		return nil
	}
	server := &crnet.Server{Addr: a.Addr, Handler: a.routes()}
	if err := server.Start(); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	a.server = server
	return nil
}

// Bound returns the address of the listener; empty if it is disabled.
func (a *Admin) Bound() string {
	if a.server == nil {
		return ""
	}
	return a.server.Bound()
}

// Stop stops the listener, if there is one, and waits for its requests at most
// until ctx is cancelled.
func (a *Admin) Stop(ctx context.Context) error {
	if a.server == nil {
		return nil
	}
	return a.server.Stop(ctx)
}

// routes returns the handler of all paths.
func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", a.serveHealth)
	mux.HandleFunc("GET /readyz", a.serveReady)
	if a.Explain != nil {
		mux.HandleFunc("GET /explain", a.Explain)
	}
	if a.EnablePprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
		mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	}
	return mux
}

// serveHealth responds with status 200, which shows that the process is running.
func (a *Admin) serveHealth(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// serveReady responds with status 200 if the process can serve, else with status
// 503 and the reason.
func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
