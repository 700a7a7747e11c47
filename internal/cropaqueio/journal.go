package cropaqueio

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cropaque"
)

const (
	// routineLines and otherLines bound the log lines a second, for ordinary
	// decisions and for the rest: 60 lines of 200 bytes take about a
	// thousandth of a core.
	routineLines = 10
	otherLines   = 50
)

// journal writes decisions to the log within a budget, and counts all of them.
type journal struct {
	logger *log.Logger
	events *prometheus.CounterVec
	now    func() time.Time

	mu sync.Mutex
	// second is the second that the budget is for.
	second         time.Time
	routine, other int
	omitted        int
}

// newJournal registers the counters.
func newJournal(logger *log.Logger, registry *prometheus.Registry) *journal {
	j := &journal{logger: logger, now: time.Now}
	j.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "cardamomring", Subsystem: "opaque", Name: "decisions_total",
		Help: "Decisions about opaque flows by what was decided.",
	}, []string{"event"})
	registry.MustRegister(j.events)
	return j
}

// note writes a decision.
func (j *journal) note(n cropaque.Decision) {
	j.events.WithLabelValues(n.Event).Inc()
	if !j.admit(n.Routine) {
		return
	}
	fields := log.Fields{}
	if n.Key.Caller.IsValid() {
		fields["flow"], fields["service"] = n.Key.Caller.String(), n.Key.Service.String()
	}
	if n.Agent.IsValid() {
		fields["agent"] = n.Agent.String()
	}
	if n.Reason != cropaque.ReasonNone {
		fields["reason"] = n.Reason.String()
	}
	if n.Age != 0 {
		fields["age"] = n.Age.Round(time.Microsecond).String()
	}
	if n.Revision != 0 {
		fields["rev"] = n.Revision
	}
	if n.Load.Slots != 0 {
		fields["busy"], fields["queued"], fields["slots"] = n.Load.Busy, n.Load.Queued, n.Load.Slots
	}
	j.logger.WithFields(fields).Info(n.Event)
}

// admit says whether the budget of this second has a line left. It reports
// how many lines the last second left out.
func (j *journal) admit(routine bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	if now.Sub(j.second) >= time.Second {
		if j.omitted > 0 {
			j.logger.WithField("lines", j.omitted).Info("log lines left out")
		}
		j.second, j.routine, j.other, j.omitted = now, 0, 0, 0
	}
	count, bound := &j.other, otherLines
	if routine {
		count, bound = &j.routine, routineLines
	}
	*count++
	if *count > bound {
		j.omitted++
		return false
	}
	return true
}
