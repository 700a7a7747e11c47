package crstate

import (
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// Entry is one command of the replicated log. Exactly the fields of its
// Kind are set. Applying an entry reads no clock: Time is the leader's.
type Entry struct {
	Kind crwire.Kind `json:"kind"`
	// Time is the leader's clock when it proposed the entry.
	Time time.Time `json:"time"`
	// Change is set for KindApply, KindZoneOut and KindZoneIn.
	Change *crwire.Change `json:"change,omitempty"`
	// Findings are what the leader found wrong with the change by its own
	// settings, which the state machine doesn't know.
	Findings []crdoc.Finding `json:"findings,omitempty"`
	// Members is set for KindMembers. Num is ignored.
	Members []crwire.Member `json:"members,omitempty"`
	// Claims is set for KindClaims.
	Claims []crwire.Claim `json:"claims,omitempty"`
	// Settles is set for KindOutcomes.
	Settles []crwire.Settle `json:"settles,omitempty"`
}

// Reply is what applying an entry answers.
type Reply struct {
	// Result answers a change.
	Result crwire.Result
	// ClaimResults answers each claim, in order.
	ClaimResults []crwire.ClaimResponse
	// Delta is what daemons must learn, nil for none.
	Delta *crwire.Delta
}
