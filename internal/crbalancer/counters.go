package crbalancer

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crroute"
)

// counters count datagrams. They are made before the first datagram, so that
// counting one allocates nothing.
type counters struct {
	forwarded prometheus.Counter
	answered  prometheus.Counter
	dropped   []prometheus.Counter

	mu sync.Mutex
	// failing holds the services whose address can't be bound.
	failing map[string]bool
}

// newCounters registers the counters.
func newCounters(r prometheus.Registerer) *counters {
	c := &counters{
		forwarded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cardamomring_balancer_forwarded_total",
			Help: "Datagrams of callers passed to agents.",
		}),
		answered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cardamomring_balancer_answered_total",
			Help: "Datagrams of agents passed to callers.",
		}),
		failing: map[string]bool{},
	}
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cardamomring_balancer_dropped_total",
		Help: "Datagrams dropped, by reason.",
	}, []string{"reason"})
	r.MustRegister(c.forwarded, c.answered, dropped)
	for _, reason := range crroute.ReasonValues() {
		c.dropped = append(c.dropped, dropped.WithLabelValues(reason.String()))
	}
	return c
}

// drop counts a dropped datagram.
func (c *counters) drop(reason crroute.Reason) { c.dropped[reason].Inc() }

// unbound notes that a service's address can't be bound; true the first time.
func (c *counters) unbound(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.failing[name]
	c.failing[name] = true
	return first
}

// bound notes that a service's address is bound.
func (c *counters) bound(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failing, name)
}
