package cropaqueio

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cregress"
	"cardamomring.dev/internal/cropaque"
)

// uplinkMetrics are the metrics of a balancer's entry link.
type uplinkMetrics struct {
	turnWait, packetWait prometheus.Histogram
	// bytes counts what is sent to agents by the kind of its frame.
	bytes *prometheus.CounterVec
}

// registerUplinkMetrics registers the metrics of a balancer's entry link.
func (b *Balancer) registerUplinkMetrics() {
	newHistogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "cardamomring", Subsystem: "uplink", Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		})
	}
	b.uplink = uplinkMetrics{
		turnWait:   newHistogram("turn_wait_seconds", "Time from an upload's first packet until it was opened to agents."),
		packetWait: newHistogram("packet_wait_seconds", "Time that a packet of an upload waited for the link."),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "cardamomring", Subsystem: "uplink", Name: "bytes_total", Help: "Bytes of frames sent to agents, without the headers of datagrams.",
		}, []string{"kind"}),
	}
	gauge := func(name, help string, value func(s cropaque.UplinkStats) float64) prometheus.Collector {
		opts := prometheus.GaugeOpts{Namespace: "cardamomring", Subsystem: "uplink", Name: name, Help: help}
		return prometheus.NewGaugeFunc(opts, func() float64 { return value(b.uplinkStats()) })
	}
	b.Registry.MustRegister(b.uplink.turnWait, b.uplink.packetWait, b.uplink.bytes,
		gauge("packets_waiting", "Packets of uploads that wait for the link.", func(s cropaque.UplinkStats) float64 { return float64(s.Packets) }),
		gauge("bytes_waiting", "Bytes of uploads that wait for the link.", func(s cropaque.UplinkStats) float64 { return float64(s.Bytes) }),
		gauge("turns", "Uploads that have a turn.", func(s cropaque.UplinkStats) float64 { return float64(s.Turns) }),
		gauge("turns_waiting", "Uploads that wait for a turn.", func(s cropaque.UplinkStats) float64 { return float64(s.Waiting) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "cardamomring", Subsystem: "uplink", Name: "moved_total", Help: "Uploads that another balancer opened.",
		}, func() float64 { return float64(b.uplinkStats().Moved) }))
	for _, reason := range cregress.DropReasonValues() {
		b.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "cardamomring", Subsystem: "uplink", Name: "dropped_total", Help: "Packets of uploads that were dropped while they waited for the link.",
			ConstLabels: prometheus.Labels{"reason": reason.String()},
		}, func() float64 { return float64(b.uplinkStats().Dropped[reason]) }))
	}
}

// uplinkStats returns the figures of the entry link.
func (b *Balancer) uplinkStats() cropaque.UplinkStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.steering == nil {
		return cropaque.UplinkStats{}
	}
	return b.steering.UplinkStats()
}

// observeTurnWait records how long an upload waited to be opened.
func (b *Balancer) observeTurnWait(d time.Duration) { b.uplink.turnWait.Observe(d.Seconds()) }

// observeUplinkWait records how long a packet waited for the link.
func (b *Balancer) observeUplinkWait(d time.Duration) { b.uplink.packetWait.Observe(d.Seconds()) }
