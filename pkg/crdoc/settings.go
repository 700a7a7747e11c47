package crdoc

// Settings is the settings file of one process. It must contain the section of
// the role that the process is started as. The host in each host:port is an IP
// number.
type Settings struct {
	// Name identifies the process. Unique in the whole system.
	Name string `json:"name"`
	// Zone is the availability zone of the process. Must be one of Zones.
	Zone string `json:"zone"`
	// Zones lists all availability zones of the system. Not empty.
	Zones []string `json:"zones"`
	// Admin is the host:port that serves /metrics, /healthz and /readyz; empty
	// disables them.
	Admin string `json:"admin"`
	// Profile enables the Go profiler on Admin.
	Profile bool `json:"profile,omitempty"`
	// Log sets the log's level and format.
	Log Log `json:"log"`
	// Control lists the host:port of each control instance. Balancers and agents
	// need at least one.
	Control []string `json:"control"`
	// TLS secures the calls between processes; nil leaves them unencrypted.
	TLS *TLS `json:"tls,omitempty"`
	// Keys encrypt connection IDs and authenticate envelopes, newest first. They
	// must be the same in all processes. Not empty where datagrams are served.
	Keys []Key `json:"keys,omitempty"`
	// MTU is the largest datagram between the system's machines, in bytes, from
	// 1280 to 65535; 0 means the balancers' default.
	MTU int `json:"mtu,omitempty"`

	Balancer *Balancer `json:"balancer,omitempty"`
	Agent    *Agent    `json:"agent,omitempty"`
	Replica  *Replica  `json:"replica,omitempty"`
}

// Format is the form of log lines.
type Format int

const (
	// FormatText writes human-readable lines.
	FormatText Format = iota
	// FormatJSON writes one JSON object per line.
	FormatJSON
)

// Log holds the settings of the log.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level,omitempty"`
	// Format is the form of the log lines.
	Format Format `json:"format,omitempty"`
}

// TLS holds the paths of a process's PEM files.
type TLS struct {
	// Cert and Key are this process's certificate and private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA contains the certificates of the authorities that sign those of peers.
	CA string `json:"ca"`
}

// Key is a secret shared by all processes.
type Key struct {
	// ID identifies the key on the wire, 0 to 7. Unique in the list.
	ID int `json:"id"`
	// File is the path of the key file, which holds 32 bytes in hexadecimal.
	File string `json:"file"`
}

// Balancer is the section of a balancer.
type Balancer struct {
	// HTTP is the host:port of the plain HTTP/1.1 listener; port 0 means any free
	// port, as for all addresses to listen on.
	HTTP string `json:"http"`
	// Datagrams enables listening on the UDP addresses of services.
	Datagrams bool `json:"datagrams,omitempty"`
	// ReturnAddr is the UDP host:port that agents send answers to, for the
	// balancer to forward to callers. Required with Datagrams.
	ReturnAddr string `json:"return,omitempty"`
	// Listen maps a service's address to the local host:port where the network
	// delivers its datagrams. A service without an entry uses its address.
	Listen map[string]string `json:"listen,omitempty"`
}

// Reply is the path of an agent's answers to callers.
type Reply int

const (
	// ReplyBalancer sends answers back through the balancer that forwarded
	// the flow's last datagram.
	ReplyBalancer Reply = iota
	// ReplyDirect sends answers from the service's address, to which the agent
	// binds. It is not supported yet.
	ReplyDirect
)

// Agent is the section of an agent.
type Agent struct {
	// Service is the service that the backend server belongs to.
	Service string `json:"service"`
	// Host is the name of the machine that the backend server runs on. Not empty.
	Host string `json:"host"`
	// Backend is the host:port of the backend server.
	Backend string `json:"backend"`
	// Listen is the TCP host:port for calls from balancers and agents.
	Listen string `json:"run"`
	// DatagramAddr is the UDP host:port for envelopes from balancers; empty
	// disables datagrams.
	DatagramAddr string `json:"datagram,omitempty"`
	// Weight is the relative speed of the backend server. At least 1.
	Weight int `json:"weight"`
	// Reply is the path of answers to callers.
	Reply Reply `json:"reply,omitempty"`
	// Cert and Key are the PEM files of the certificate presented to HTTP/3
	// callers and of its private key.
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
}

// Replica is the section of a control instance.
type Replica struct {
	// ID is the instance's number, at least 1. Unique.
	ID uint64 `json:"id"`
	// Listen is the host:port for operators, balancers, agents and other
	// instances.
	Listen string `json:"listen"`
	// DataDir is the data folder. Only one process at a time may use it.
	DataDir string `json:"data"`
	// Members maps the ID of each initial instance to its host:port.
	Members map[uint64]string `json:"members"`
	// Address is the host:port under which other processes reach an instance
	// that isn't an initial one. With Address set, the instance asks the others
	// to admit it.
	Address string `json:"address,omitempty"`
	// Lease is how long an agent stays a member after its last announcement; 0
	// means 3s.
	Lease Duration `json:"lease,omitempty"`
	// Tokens maps an operator's name to the SHA-256 digest of the token, in
	// hexadecimal. Instead of a token, an operator may present a certificate
	// whose common name begins with "operator.". Without tokens and without TLS,
	// every operator is admitted and recorded as unverified.
	Tokens map[string]string `json:"tokens,omitempty"`
}
