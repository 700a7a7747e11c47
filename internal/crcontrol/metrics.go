package crcontrol

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crreplica"
)

// metrics are the Prometheus metrics of the control role.
type metrics struct {
	changes        *prometheus.CounterVec
	claims         *prometheus.CounterVec
	feedAnswers    *prometheus.CounterVec
	feedBytes      prometheus.Counter
	renewals       prometheus.Counter
	expiredLeases  prometheus.Counter
	deniedCalls    prometheus.Counter
	skippedEntries prometheus.Counter
	// failedAdmissions counts the failed admission requests of this instance.
	failedAdmissions prometheus.Counter
	// memberChanges counts the changes of the voters that this instance made as leader.
	memberChanges *prometheus.CounterVec
	agents        prometheus.Gauge
	leading       prometheus.Gauge
	fresh         prometheus.Gauge
	term          prometheus.Gauge
}

// newMetrics creates and registers the metrics.
func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		changes:          newCounterVec("changes_total", "Operators' changes by answer.", "code"),
		claims:           newCounterVec("claims_total", "Claims of keyed requests by verdict.", "verdict"),
		feedAnswers:      newCounterVec("feed_answers_total", "Answers of the feed by kind.", "kind"),
		feedBytes:        newCounter("feed_bytes_total", "Bytes of the feed's answers."),
		renewals:         newCounter("renewals_total", "Announcements of agents that the leader took."),
		expiredLeases:    newCounter("leases_expired_total", "Agents that did not renew their lease."),
		deniedCalls:      newCounter("denied_total", "Calls refused for their credentials."),
		skippedEntries:   newCounter("entries_skipped_total", "Entries of the log that could not be read."),
		failedAdmissions: newCounter("admissions_failed_total", "Requests to be admitted that failed."),
		memberChanges:    newCounterVec("member_changes_total", "Changes of the voters that this instance made as leader, by kind.", "kind"),
		agents:           newGauge("agents", "Agents that hold a lease."),
		leading:          newGauge("leading", "1 while this instance leads."),
		fresh:            newGauge("fresh", "1 while this instance has contact with the quorum."),
		term:             newGauge("term", "The current term."),
	}
	r.MustRegister(m.changes, m.claims, m.feedAnswers, m.feedBytes, m.renewals, m.expiredLeases, m.deniedCalls, m.skippedEntries, m.failedAdmissions, m.memberChanges,
		m.agents, m.leading, m.fresh, m.term)
	return m
}

// setStatus updates the metrics of the instance's role in the quorum.
func (m *metrics) setStatus(s crreplica.Status) {
	m.leading.Set(boolToFloat(s.Leading))
	m.fresh.Set(boolToFloat(s.Fresh))
	m.term.Set(float64(s.Term))
}

// countFeedAnswer counts an answer of the feed and its n bytes.
func (m *metrics) countFeedAnswer(kind string, n int) {
	m.feedAnswers.WithLabelValues(kind).Inc()
	m.feedBytes.Add(float64(n))
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// newCounterVec returns a counter with one label.
func newCounterVec(name, help, label string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: "cardamomring", Subsystem: "control", Name: name, Help: help}
	return prometheus.NewCounterVec(opts, []string{label})
}

// newCounter returns a counter without labels.
func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "cardamomring", Subsystem: "control", Name: name, Help: help,
	})
}

// newGauge returns a gauge without labels.
func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "cardamomring", Subsystem: "control", Name: name, Help: help,
	})
}
