package crbalancer

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crroute"
)

// counters count datagrams. All label values are created in advance, so that
// counting a datagram allocates nothing.
type counters struct {
	forwarded prometheus.Counter
	answered  prometheus.Counter
	dropped   []prometheus.Counter

	mu sync.Mutex
	// bindFailed holds the services whose address couldn't be bound.
	bindFailed map[string]bool
}

// newCounters creates and registers the counters.
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
		bindFailed: map[string]bool{},
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

// recordBindFailure records that a service's address couldn't be bound. It
// returns true if the previous attempt didn't fail.
func (c *counters) recordBindFailure(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.bindFailed[name]
	c.bindFailed[name] = true
	return first
}

// clearBindFailure records that a service's address is bound.
func (c *counters) clearBindFailure(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.bindFailed, name)
}
