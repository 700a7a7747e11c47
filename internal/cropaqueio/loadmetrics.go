package cropaqueio

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cropaque"
)

// choiceMetrics counts how agents were chosen, by the age of the reports that were
// used.
type choiceMetrics struct {
	reportAge *prometheus.HistogramVec
}

// newChoiceMetrics returns the metrics and registers them.
func newChoiceMetrics(registry *prometheus.Registry) *choiceMetrics {
	m := &choiceMetrics{reportAge: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "cardamomring", Subsystem: "opaque", Name: "report_age_seconds",
		Help:    "Age of the chosen agent's report of load, by how the agent was chosen.",
		Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
	}, []string{"choice"})}
	registry.MustRegister(m.reportAge)
	return m
}

// observe records a choice.
func (m *choiceMetrics) observe(kind cropaque.ChoiceKind, reportAge time.Duration) {
	m.reportAge.WithLabelValues(kind.String()).Observe(reportAge.Seconds())
}

// registerLoadMetrics registers gauges of the load that an agent reports.
func registerLoadMetrics(registry *prometheus.Registry, load func() cropaque.Load) {
	gauge := func(name, help string, value func(l cropaque.Load) float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "cardamomring", Subsystem: "opaque", Name: name, Help: help},
			func() float64 { return value(load()) },
		))
	}
	gauge("slots", "Requests that the backend server runs at the same time.", func(l cropaque.Load) float64 { return float64(l.Slots) })
	gauge("busy", "Requests in progress or queued.", func(l cropaque.Load) float64 { return float64(l.Busy + l.Queued) })
	gauge("kept_flows", "Open flows that their callers keep for many requests.", func(l cropaque.Load) float64 { return float64(l.Kept) })
}
