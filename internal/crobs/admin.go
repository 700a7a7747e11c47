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

// Admin serves what operators and the platform look at: /metrics, /healthz
// and /readyz. Set the exported fields before Start.
type Admin struct {
	// Addr is the host:port to listen on; empty starts nothing.
	Addr string
	// Registry holds the process's metrics.
	Registry *prometheus.Registry
	// Ready says why the process can't serve yet; nil when it can. It is
	// called by several goroutines.
	Ready func() error
	// EnablePprof serves /debug/pprof/ as well.
	EnablePprof bool

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

// Start listens.
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

// Bound returns the address that it listens on, empty for none.
func (a *Admin) Bound() string {
	if a.server == nil {
		return ""
	}
	return a.server.Bound()
}

// Stop ends the listener.
func (a *Admin) Stop(ctx context.Context) error {
	if a.server == nil {
		return nil
	}
	return a.server.Stop(ctx)
}

// routes returns the pages.
func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", a.serveHealth)
	mux.HandleFunc("GET /readyz", a.serveReady)
	if a.EnablePprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
		mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	}
	return mux
}

// serveHealth answers as long as the process runs.
func (a *Admin) serveHealth(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// serveReady answers 200 once the process can serve.
func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
