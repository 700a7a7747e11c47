package crwire

// MemberState is where an agent is in its life.
type MemberState int

const (
	// MemberActive takes new flows and requests.
	MemberActive MemberState = iota
	// MemberDraining keeps its flows and takes no new work.
	MemberDraining
	// MemberGone has left or has not renewed its lease.
	MemberGone
)

// Member is one agent as control knows it.
type Member struct {
	// Num is given by control to a name once and never to another name.
	Num uint32 `json:"num"`
	// Name is the agent's unique name.
	Name string `json:"name"`
	// Service is the service of its backend server.
	Service string `json:"service"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Host names the machine that carries it.
	Host string `json:"host"`
	// RunAddr is its TCP host:port for run calls.
	RunAddr string `json:"run"`
	// DatagramAddr is its UDP host:port for envelopes; empty takes none.
	DatagramAddr string `json:"datagram,omitempty"`
	// Weight is its relative speed, at least 1.
	Weight int `json:"weight"`
	// State is where it is in its life.
	State MemberState `json:"state"`
}
