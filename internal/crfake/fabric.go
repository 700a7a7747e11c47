package crfake

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cardamomring.dev/internal/crnet"
)

// Fabric is a fake of the network in front of the balancers: it listens on a
// service's address and forwards each datagram of a caller to a balancer chosen
// at random. Set the exported fields before Start.
type Fabric struct {
	// Addr is the service's host:port; port 0 means any free port.
	Addr string
	// Seed seeds the random choices. They are repeatable for the same order of
	// datagrams.
	Seed uint64
	// MaxDelay is the longest delay of a datagram to a balancer. Each datagram
	// has a random delay, so that datagrams are reordered.
	MaxDelay time.Duration
	// LossRate is the share of datagrams dropped in each direction, from 0 to 1.
	LossRate float64

	mu        sync.Mutex
	rng       *rand.Rand
	balancers []netip.AddrPort
	callers   map[netip.AddrPort]*crnet.Socket
	listener  *crnet.Socket
	sent      map[netip.AddrPort]int
	closed    bool
}

// Start starts the fabric; its error is that of listening on Addr.
func (f *Fabric) Start() error {
	f.rng = rand.New(rand.NewPCG(f.Seed, f.Seed))
	f.callers = map[netip.AddrPort]*crnet.Socket{}
	f.sent = map[netip.AddrPort]int{}
	f.listener = &crnet.Socket{Addr: f.Addr, Receive: f.forward}
	return f.listener.Start()
}

// Bound returns the service's address.
func (f *Fabric) Bound() netip.AddrPort { return f.listener.Bound() }

// SetBalancers replaces the addresses of the balancers.
func (f *Fabric) SetBalancers(balancers ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.Clone(balancers)
}

// Sent returns the number of datagrams forwarded to each balancer.
func (f *Fabric) Sent() map[netip.AddrPort]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[netip.AddrPort]int, len(f.sent))
	for addr, n := range f.sent {
		out[addr] = n
	}
	return out
}

// Rebind changes the address by which the balancers see each caller, like a
// network address translator that has lost its state.
func (f *Fabric) Rebind() {
	f.mu.Lock()
	callers := f.callers
	f.callers = map[netip.AddrPort]*crnet.Socket{}
	f.mu.Unlock()
	for _, socket := range callers {
		_ = socket.Close()
	}
}

// Close closes every socket.
func (f *Fabric) Close() error {
	err := f.listener.Close()
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.Rebind()
	return err
}

// forward forwards a caller's datagram to a random balancer.
func (f *Fabric) forward(b []byte, caller netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.balancers) == 0 || f.rng.Float64() < f.LossRate {
		return
	}
	balancer := f.balancers[f.rng.IntN(len(f.balancers))]
	socket := f.callerSocket(caller)
	if socket == nil {
		return
	}
	f.sent[balancer]++
	if f.MaxDelay == 0 {
		_ = socket.Send(b, balancer)
		return
	}
	data := slices.Clone(b)
	delay := time.Duration(f.rng.Int64N(int64(f.MaxDelay)))
	time.AfterFunc(delay, func() { _ = socket.Send(data, balancer) })
}

// callerSocket returns the socket that represents a caller, so that balancers see
// one address per caller. It returns nil if no socket can be opened. The caller
// of callerSocket must hold f.mu.
func (f *Fabric) callerSocket(caller netip.AddrPort) *crnet.Socket {
	if socket := f.callers[caller]; socket != nil {
		return socket
	}
	socket := &crnet.Socket{Addr: f.listener.Bound().Addr().String() + ":0"}
	socket.Receive = func(b []byte, _ netip.AddrPort) {
		if !f.drawLoss() {
			_ = f.listener.Send(b, caller)
		}
	}
	if socket.Start() != nil {
		return nil
	}
	f.callers[caller] = socket
	return socket
}

// drawLoss draws whether a datagram to a caller is dropped.
func (f *Fabric) drawLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.LossRate
}
