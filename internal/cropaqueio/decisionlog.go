package cropaqueio

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crobs"
	"cardamomring.dev/internal/cropaque"
)

const (
	// maxRoutineLines and maxOtherLines limit the log lines per second, for
	// routine decisions and for the others. 60 lines of 200 bytes take about a
	// thousandth of a core.
	maxRoutineLines = 10
	maxOtherLines   = 50
)

// decisionLog counts all decisions and logs them up to a limit per second.
type decisionLog struct {
	logger *log.Logger
	events *prometheus.CounterVec
	now    func() time.Time

	mu sync.Mutex
	// windowStart is the start of the second that the following counts refer
	// to.
	windowStart              time.Time
	routineCount, otherCount int
	omitted                  int
}

// newDecisionLog returns a decision log and registers its counter.
func newDecisionLog(logger *log.Logger, registry *prometheus.Registry) *decisionLog {
	d := &decisionLog{logger: crobs.Routine(logger), now: time.Now}
	d.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "cardamomring", Subsystem: "opaque", Name: "decisions_total",
		Help: "Decisions about opaque flows by what was decided.",
	}, []string{"event"})
	registry.MustRegister(d.events)
	return d
}

// record counts a decision, and logs it if the limit allows.
func (d *decisionLog) record(decision cropaque.Decision) {
	d.events.WithLabelValues(decision.Event).Inc()
	if !d.allow(decision.Routine) {
		return
	}
	fields := log.Fields{}
	if decision.Key.Caller.IsValid() {
		fields["flow"], fields["service"] = decision.Key.Caller.String(), decision.Key.Service.String()
	}
	if decision.Agent.IsValid() {
		fields["agent"] = decision.Agent.String()
	}
	if decision.Reason != cropaque.ReasonNone {
		fields["reason"] = decision.Reason.String()
	}
	if decision.Age != 0 {
		fields["age"] = decision.Age.Round(time.Microsecond).String()
	}
	if decision.Revision != 0 {
		fields["rev"] = decision.Revision
	}
	if decision.Load.Slots != 0 {
		fields["busy"], fields["queued"], fields["slots"] = decision.Load.Busy, decision.Load.Queued, decision.Load.Slots
	}
	if decision.Load.Kept != 0 {
		fields["kept"], fields["lasting"] = decision.Load.Kept, decision.Load.LastingBusy
	}
	d.logger.WithFields(fields).Info(decision.Event)
}

// allow reports whether this second's limit allows another line. At the start
// of a new second it logs how many lines were omitted before.
func (d *decisionLog) allow(routine bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if now.Sub(d.windowStart) >= time.Second {
		if d.omitted > 0 {
			d.logger.WithField("lines", d.omitted).Info("log lines left out")
		}
		d.windowStart, d.routineCount, d.otherCount, d.omitted = now, 0, 0, 0
	}
	count, limit := &d.otherCount, maxOtherLines
	if routine {
		count, limit = &d.routineCount, maxRoutineLines
	}
	*count++
	if *count > limit {
		d.omitted++
		return false
	}
	return true
}
