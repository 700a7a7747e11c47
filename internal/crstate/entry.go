package crstate

import (
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// Entry is a command in the replicated log. Only the fields that belong to its
// Kind are set.
type Entry struct {
	Kind crwire.Kind `json:"kind"`
	// Time is the leader's clock when it proposed the entry. Applying the
	// entry uses this time and reads no clock.
	Time time.Time `json:"time"`
	// Change is set for KindApply, KindZoneOut, KindZoneIn, KindInstance and
	// KindCatalog.
	Change *crwire.Change `json:"change,omitempty"`
	// Findings are the errors that the leader found in the change. The leader
	// checks the change against its own settings, which the state machine
	// does not have.
	Findings []crdoc.Finding `json:"findings,omitempty"`
	// FlowLifetime is the greatest age of an open flow, for KindCatalog and
	// KindMembers; 0 means defaultFlowLifetime.
	FlowLifetime time.Duration `json:"lifetime,omitempty"`
	// Members is set for KindMembers. Num is ignored.
	Members []crwire.Member `json:"members,omitempty"`
	// Claims is set for KindClaims.
	Claims []crwire.Claim `json:"claims,omitempty"`
	// Settles is set for KindOutcomes.
	Settles []crwire.Settle `json:"settles,omitempty"`
}

// Reply is the result of applying an entry.
type Reply struct {
	// Result is the result of Entry.Change.
	Result crwire.Result
	// ClaimResults holds one result for each of Entry.Claims, in order.
	ClaimResults []crwire.ClaimResponse
	// Delta is the update to send to agents and balancers; nil if there is none.
	Delta *crwire.Delta
}
