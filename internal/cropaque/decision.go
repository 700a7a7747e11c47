package cropaque

import (
	"net/netip"
	"time"
)

// Decision is a decision that touches a flow, or a change of what a process
// believes, for the log.
type Decision struct {
	// Event is what was decided, in a few words.
	Event string
	// Key is the flow, the zero Key for none.
	Key Key
	// Agent is the agent that the decision names, if any.
	Agent netip.AddrPort
	// Reason is the refusal that decided, if any.
	Reason Reason
	// Age is how old the deciding fact is.
	Age time.Duration
	// Load is the load that decided.
	Load Load
	// Revision is the revision of the view that was used.
	Revision uint64
	// Routine marks the ordinary case, which a busy process may leave out.
	Routine bool
}
