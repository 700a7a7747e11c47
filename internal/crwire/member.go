package crwire

// MemberState is the lifecycle state of an agent.
type MemberState int

const (
	// MemberActive means that the agent takes new flows and requests.
	MemberActive MemberState = iota
	// MemberDraining means that the agent keeps its flows and takes no new
	// flows or requests.
	MemberDraining
	// MemberGone means that the agent has left or its lease has expired.
	MemberGone
)

// Member is an agent as registered at control.
type Member struct {
	// Num is the number that control assigned to Name. It is never assigned to
	// another name.
	Num uint32 `json:"num"`
	// Name is the agent's unique name.
	Name string `json:"name"`
	// Service is the name of the backend server's service.
	Service string `json:"service"`
	// Zone is the agent's availability zone.
	Zone string `json:"zone"`
	// Host is the name of the machine that the agent runs on.
	Host string `json:"host"`
	// RunAddr is the agent's TCP host:port for run calls.
	RunAddr string `json:"run"`
	// DatagramAddr is the agent's UDP host:port for envelopes; empty if the
	// agent takes no envelopes.
	DatagramAddr string `json:"datagram,omitempty"`
	// Weight is the backend server's relative speed, at least 1.
	Weight int `json:"weight"`
	// State is the agent's lifecycle state.
	State MemberState `json:"state"`
	// Since is the revision since which the agent has been a member without a break,
	// and First the one at which it became a member first. Either is 0 once no flow can
	// be open that is older. Control sets them.
	Since uint64 `json:"since,omitempty"`
	First uint64 `json:"first,omitempty"`
}
