package cragent

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crflow"
	"cardamomring.dev/internal/crroute"
)

// counters counts datagrams by drop reason and by action. All series exist from
// the start.
type counters struct {
	dropped []prometheus.Counter
	actions []prometheus.Counter
}

// newCounters creates and registers the counters.
func newCounters(r prometheus.Registerer) *counters {
	c := &counters{}
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cardamomring_agent_dropped_total",
		Help: "Datagrams dropped, by reason.",
	}, []string{"reason"})
	actions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cardamomring_agent_datagrams_total",
		Help: "Datagrams of callers, by what was decided about them.",
	}, []string{"action"})
	r.MustRegister(dropped, actions)
	for _, reason := range crroute.ReasonValues() {
		c.dropped = append(c.dropped, dropped.WithLabelValues(reason.String()))
	}
	for _, action := range crflow.ActionValues() {
		c.actions = append(c.actions, actions.WithLabelValues(action.String()))
	}
	return c
}

// countDrop counts a dropped datagram.
func (c *counters) countDrop(reason crroute.Reason) { c.dropped[reason].Inc() }

// countAction counts the action taken on a datagram.
func (c *counters) countAction(action crflow.Action) { c.actions[action].Inc() }
