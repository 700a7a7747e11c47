package crreplica

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crstore"
)

// metrics are the Prometheus metrics of a replica.
type metrics struct {
	term, leading, commit         prometheus.Gauge
	diskFull                      prometheus.Gauge
	syncSeconds                   prometheus.Histogram
	proposals, elections, dropped prometheus.Counter

	lastTerm uint64
}

// register creates the metrics and registers them unless registry is nil.
func (m *metrics) register(registry *prometheus.Registry) {
	const prefix = "cardamomring_quorum_"
	m.term = prometheus.NewGauge(prometheus.GaugeOpts{Name: prefix + "term", Help: "Current term."})
	m.leading = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: prefix + "leading", Help: "1 when this instance is the leader.",
	})
	m.commit = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: prefix + "commit_index", Help: "Index of the last committed entry.",
	})
	m.diskFull = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: prefix + "disk_full", Help: "1 while this instance waits for room on its disk.",
	})
	m.syncSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: prefix + "sync_seconds", Help: "Time to sync the log.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
	})
	m.proposals = prometheus.NewCounter(prometheus.CounterOpts{
		Name: prefix + "proposals_total", Help: "Proposals that reached this instance.",
	})
	m.elections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: prefix + "elections_total", Help: "Changes of the term.",
	})
	m.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: prefix + "dropped_total", Help: "Messages dropped because a queue was full.",
	})
	if registry != nil {
		registry.MustRegister(m.term, m.leading, m.commit, m.diskFull, m.syncSeconds, m.proposals, m.elections, m.dropped)
	}
}

// setStatus updates the metrics from a status.
func (m *metrics) setStatus(s Status) {
	m.term.Set(float64(s.Term))
	m.commit.Set(float64(s.Commit))
	m.leading.Set(0)
	if s.Leading {
		m.leading.Set(1)
	}
	if s.Term != m.lastTerm {
		m.elections.Inc()
		m.lastTerm = s.Term
	}
}

// withSyncMetrics returns a copy of folder that measures the file syncs.
func (r *Replica) withSyncMetrics(folder *crstore.Folder) *crstore.Folder {
	out := *folder
	measure := func(open func(string) (*crstore.File, error)) func(string) (*crstore.File, error) {
		return func(name string) (*crstore.File, error) {
			f, err := open(name)
			if err != nil {
				return nil, err
			}
			sync := f.Sync
			f.Sync = func() error {
				start := time.Now()
				defer func() { r.metrics.syncSeconds.Observe(time.Since(start).Seconds()) }()
				return sync()
			}
			return f, nil
		}
	}
	out.Create, out.Append = measure(folder.Create), measure(folder.Append)
	return &out
}
