package crcontrol

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crreplica"
)

// metrics are the role's counters.
type metrics struct {
	changes   *prometheus.CounterVec
	claims    *prometheus.CounterVec
	feeds     *prometheus.CounterVec
	feedBytes prometheus.Counter
	renewals  prometheus.Counter
	expired   prometheus.Counter
	denied    prometheus.Counter
	skipped   prometheus.Counter
	// unadmitted counts failed requests to be admitted.
	unadmitted prometheus.Counter
	agents     prometheus.Gauge
	leading    prometheus.Gauge
	fresh      prometheus.Gauge
	term       prometheus.Gauge
}

// newMetrics registers the metrics.
func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		changes:    counters("changes_total", "Operators' changes by answer.", "code"),
		claims:     counters("claims_total", "Claims of keyed requests by verdict.", "verdict"),
		feeds:      counters("feed_answers_total", "Answers of the feed by kind.", "kind"),
		feedBytes:  counter("feed_bytes_total", "Bytes of the feed's answers."),
		renewals:   counter("renewals_total", "Announcements of agents that the leader took."),
		expired:    counter("leases_expired_total", "Agents that did not renew their lease."),
		denied:     counter("denied_total", "Calls refused for their credentials."),
		skipped:    counter("entries_skipped_total", "Entries of the log that could not be read."),
		unadmitted: counter("admissions_failed_total", "Requests to be admitted that failed."),
		agents:     gauge("agents", "Agents that hold a lease."),
		leading:    gauge("leading", "1 while this instance leads."),
		fresh:      gauge("fresh", "1 while this instance has contact with the quorum."),
		term:       gauge("term", "The current term."),
	}
	r.MustRegister(m.changes, m.claims, m.feeds, m.feedBytes, m.renewals, m.expired, m.denied, m.skipped, m.unadmitted,
		m.agents, m.leading, m.fresh, m.term)
	return m
}

// setStatus shows the instance's place in the quorum.
func (m *metrics) setStatus(s crreplica.Status) {
	m.leading.Set(number(s.Leading))
	m.fresh.Set(number(s.Fresh))
	m.term.Set(float64(s.Term))
}

// countFeed counts an answer of the feed.
func (m *metrics) countFeed(kind string, n int) {
	m.feeds.WithLabelValues(kind).Inc()
	m.feedBytes.Add(float64(n))
}

// number returns 1 for true.
func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// counters returns a counter with one label.
func counters(name, help, label string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: "cardamomring", Subsystem: "control", Name: name, Help: help}
	return prometheus.NewCounterVec(opts, []string{label})
}

// counter returns a counter.
func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "cardamomring", Subsystem: "control", Name: name, Help: help,
	})
}

// gauge returns a gauge.
func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "cardamomring", Subsystem: "control", Name: name, Help: help,
	})
}
