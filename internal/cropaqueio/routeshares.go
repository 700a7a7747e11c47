package cropaqueio

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// routeShareDesc describes the metric of routeShares.
var routeShareDesc = prometheus.NewDesc("cardamomring_opaque_route_share",
	"Share of the backend server's work that each route got in the last second.", []string{"route"}, nil)

// routeShares is the metric of the work by route. It is computed when it is read.
type routeShares struct{ agent *Agent }

// Describe implements prometheus.Collector.
func (*routeShares) Describe(ch chan<- *prometheus.Desc) { ch <- routeShareDesc }

// Collect implements prometheus.Collector.
func (r *routeShares) Collect(ch chan<- prometheus.Metric) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	if r.agent.gate == nil {
		return
	}
	for route, share := range r.agent.gate.RouteShares(time.Now()) {
		ch <- prometheus.MustNewConstMetric(routeShareDesc, prometheus.GaugeValue, share, route)
	}
}
