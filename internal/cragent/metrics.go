package cragent

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crrun"
)

// requestMetrics counts requests, forwards, retries, preemptions and dropped
// answers.
type requestMetrics struct {
	outcomes       *prometheus.CounterVec
	answersDropped *prometheus.CounterVec
	preemptions    prometheus.Counter
	retries        prometheus.Counter
	forwards       prometheus.Counter
}

// newRequestMetrics registers the counters and the limiter's gauges.
func newRequestMetrics(r prometheus.Registerer, limit, load func() int) *requestMetrics {
	m := &requestMetrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cardamomring_agent_requests_total",
			Help: "Requests by class, outcome and the reason of a refusal.",
		}, []string{"class", "outcome", "reason"}),
		answersDropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cardamomring_agent_answers_dropped_total",
			Help: "Answers that came late, crossed or cut short, by reason.",
		}, []string{"reason"}),
		preemptions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cardamomring_agent_preemptions_total",
			Help: "Routine requests cancelled for priority ones or a cold backend server.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cardamomring_agent_retries_total",
			Help: "Requests tried again at another agent.",
		}),
		forwards: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cardamomring_agent_forwards_total",
			Help: "Requests handed to a less loaded agent before any try.",
		}),
	}
	r.MustRegister(m.outcomes, m.answersDropped, m.preemptions, m.retries, m.forwards)
	r.MustRegister(gauge("limit", "Concurrency limit of the backend server.", limit))
	r.MustRegister(gauge("load_percent", "Load of the backend server as other agents see it.", load))
	return m
}

// gauge returns a gauge whose value is returned by read.
func gauge(name, help string, read func() int) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cardamomring_agent_" + name, Help: help,
	}, func() float64 { return float64(read()) })
}

// count counts an answer that the agent returns.
func (m *requestMetrics) count(class string, answer crrun.Answer) crrun.Answer {
	m.outcomes.WithLabelValues(class, answer.Outcome.String(), answer.Reason).Inc()
	return answer
}

// countDropped counts an answer that was dropped because it was late, crossed
// or truncated.
func (m *requestMetrics) countDropped(reason string) {
	switch reason {
	case crrun.ReasonTimeout, crrun.ReasonCrossed, crrun.ReasonTruncated:
		m.answersDropped.WithLabelValues(reason).Inc()
	}
}
