package cragent

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crrun"
)

// requests counts requests and what became of them.
type requests struct {
	outcomes    *prometheus.CounterVec
	answers     *prometheus.CounterVec
	preemptions prometheus.Counter
	retries     prometheus.Counter
	forwards    prometheus.Counter
}

// newRequests registers the counters, and the gauges of a gate.
func newRequests(r prometheus.Registerer, limit, load func() int) *requests {
	c := &requests{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cardamomring_agent_requests_total",
			Help: "Requests by class, outcome and the reason of a refusal.",
		}, []string{"class", "outcome", "reason"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
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
	r.MustRegister(c.outcomes, c.answers, c.preemptions, c.retries, c.forwards)
	r.MustRegister(gauge("limit", "Concurrency limit of the backend server.", limit))
	r.MustRegister(gauge("load_percent", "Load of the backend server as other agents see it.", load))
	return c
}

// gauge returns a gauge that reads a number.
func gauge(name, help string, read func() int) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cardamomring_agent_" + name, Help: help,
	}, func() float64 { return float64(read()) })
}

// count counts an answer that leaves the agent.
func (c *requests) count(class string, answer crrun.Answer) crrun.Answer {
	c.outcomes.WithLabelValues(class, answer.Outcome.String(), answer.Reason).Inc()
	return answer
}

// dropped counts an answer that was not taken.
func (c *requests) dropped(reason string) {
	switch reason {
	case crrun.ReasonTimeout, crrun.ReasonCrossed, crrun.ReasonTruncated:
		c.answers.WithLabelValues(reason).Inc()
	}
}
