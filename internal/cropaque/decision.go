package cropaque

import (
	"net/netip"
	"time"
)

// Decision is a log entry about a flow, or about a change in what a process
// knows of its peers.
type Decision struct {
	// Event says what was decided, in a few words.
	Event string
	// Key is the flow, the zero Key if there is none.
	Key Key
	// Agent is the agent that the decision concerns, if any.
	Agent netip.AddrPort
	// Reason is the reason of the refusal, if any.
	Reason Reason
	// Age is the age of the fact that led to the decision.
	Age time.Duration
	// Load is the load that led to the decision.
	Load Load
	// Revision is the revision of the view in use.
	Revision uint64
	// Routine marks an ordinary decision, which a busy process may omit from
	// its log.
	Routine bool
}
