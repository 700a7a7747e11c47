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
