package crdoc

// Settings is the settings file of one process. The role's section must be
// present for the verb that starts the role.
type Settings struct {
	// Name identifies the process. Unique in the whole system.
	Name string `json:"name"`
	// Zone is the availability zone of the process; one of Zones.
	Zone string `json:"zone"`
	// Zones are all availability zones of the system.
	Zones []string `json:"zones"`
	// Admin is the host:port of metrics, /healthz and /readyz.
	Admin string `json:"admin"`
	// Profile serves the Go profiler on Admin as well.
	Profile bool `json:"profile,omitempty"`
	// Log sets the log's level and format.
	Log Log `json:"log"`
	// Control lists the host:port of each control instance.
	Control []string `json:"control"`
	// TLS protects the calls between processes; nil leaves them plain.
	TLS *TLS `json:"tls,omitempty"`
	// Keys seal connection IDs, newest first. The same on all processes.
	Keys []Key `json:"keys,omitempty"`
	// MTU is the largest datagram between our machines, in bytes.
	MTU int `json:"mtu,omitempty"`

	Balancer *Balancer `json:"balancer,omitempty"`
	Agent    *Agent    `json:"agent,omitempty"`
	Replica  *Replica  `json:"replica,omitempty"`
}

// Format is the form of log lines.
type Format int

const (
	// FormatText writes lines for people.
	FormatText Format = iota
	// FormatJSON writes one JSON object a line.
	FormatJSON
)

// Log sets up the log.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level,omitempty"`
	// Format is the form of the lines.
	Format Format `json:"format,omitempty"`
}

// TLS names the PEM files of one process.
type TLS struct {
	// Cert and Key are this process's certificate and private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA holds the certificates that sign its peers.
	CA string `json:"ca"`
}

// Key is a secret shared by all processes.
type Key struct {
	// ID names the key on the wire, 0 to 7. Unique in the list.
	ID int `json:"id"`
	// File holds 32 bytes in hexadecimal.
	File string `json:"file"`
}

// Balancer is the section of a balancer.
type Balancer struct {
	// HTTP is the host:port of the plain HTTP/1.1 listener.
	HTTP string `json:"http"`
	// Datagrams listens on the UDP addresses of services when true.
	Datagrams bool `json:"datagrams,omitempty"`
	// ReturnAddr is the UDP host:port that agents send answers back through.
	ReturnAddr string `json:"return,omitempty"`
	// Listen maps a service's address to the local host:port that the
	// fabric delivers its datagrams on; absent means the address itself.
	Listen map[string]string `json:"listen,omitempty"`
}

// Reply is how an agent's datagrams reach the caller.
type Reply int

const (
	// ReplyBalancer sends answers back through the balancer that forwarded
	// the flow's last datagram.
	ReplyBalancer Reply = iota
	// ReplyDirect sends from the service's address, which the agent binds.
	// It is not supported yet.
	ReplyDirect
)

// Agent is the section of an agent.
type Agent struct {
	// Service is the service that the backend server belongs to.
	Service string `json:"service"`
	// Host names the machine that carries the backend server.
	Host string `json:"host"`
	// Backend is the host:port of the backend server.
	Backend string `json:"backend"`
	// Listen is the host:port for calls from balancers and agents.
	Listen string `json:"run"`
	// DatagramAddr is the UDP host:port for envelopes; empty takes none.
	DatagramAddr string `json:"datagram,omitempty"`
	// Weight is the relative speed of the backend server. At least 1.
	Weight int `json:"weight"`
	// Reply is how datagrams reach callers.
	Reply Reply `json:"reply,omitempty"`
	// Cert and Key are the PEM files shown to HTTP/3 callers.
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
}

// Replica is the section of a control instance.
type Replica struct {
	// ID is the instance's number, at least 1. Unique.
	ID uint64 `json:"id"`
	// Listen is the host:port for operators, daemons and other instances.
	Listen string `json:"listen"`
	// DataDir is the data folder. One process at a time uses it.
	DataDir string `json:"data"`
	// Members maps the ID of each initial instance to its host:port.
	Members map[uint64]string `json:"members"`
	// Address is the host:port that others call, for an instance that isn't
	// an initial one: it asks the others to admit it.
	Address string `json:"address,omitempty"`
	// Lease is how long a silent agent stays a member.
	Lease Duration `json:"lease,omitempty"`
	// Tokens maps an operator's name to the SHA-256 of the token, in
	// hexadecimal. An operator's certificate, whose common name begins with
	// "operator.", does as well. Without tokens and without TLS every
	// operator is admitted, marked as unverified.
	Tokens map[string]string `json:"tokens,omitempty"`
}
