package crfake

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cardamomring.dev/internal/crnet"
)

// Fabric stands for the network before the balancers: it listens on a
// service's address and hands each datagram of a caller to any balancer.
// Set the exported fields before Start.
type Fabric struct {
	// Addr is the service's host:port; port 0 takes a free one.
	Addr string
	// Seed makes the choices repeatable for one order of datagrams.
	Seed uint64
	// MaxDelay is the longest delay of a datagram towards a balancer; each one
	// draws its own, so that they overtake one another.
	MaxDelay time.Duration
	// LossRate is the share of datagrams lost in each direction, 0 to 1.
	LossRate float64

	mu        sync.Mutex
	random    *rand.Rand
	balancers []netip.AddrPort
	callers   map[netip.AddrPort]*crnet.Socket
	front     *crnet.Socket
	sent      map[netip.AddrPort]int
	closed    bool
}

// Start listens.
func (f *Fabric) Start() error {
	f.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	f.callers = map[netip.AddrPort]*crnet.Socket{}
	f.sent = map[netip.AddrPort]int{}
	f.front = &crnet.Socket{Addr: f.Addr, Receive: f.receive}
	return f.front.Start()
}

// Bound returns the service's address.
func (f *Fabric) Bound() netip.AddrPort { return f.front.Bound() }

// SetBalancers replaces the balancers' addresses.
func (f *Fabric) SetBalancers(balancers ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.Clone(balancers)
}

// Sent returns how many datagrams each balancer was handed.
func (f *Fabric) Sent() map[netip.AddrPort]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[netip.AddrPort]int, len(f.sent))
	for addr, n := range f.sent {
		out[addr] = n
	}
	return out
}

// Rebind gives every caller another address towards the balancers, as a
// network address translator does that has lost its state.
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
	err := f.front.Close()
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.Rebind()
	return err
}

// receive hands a caller's datagram to a balancer drawn at random.
func (f *Fabric) receive(b []byte, caller netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.balancers) == 0 || f.random.Float64() < f.LossRate {
		return
	}
	to := f.balancers[f.random.IntN(len(f.balancers))]
	f.sent[to]++
	socket := f.socketOf(caller)
	if socket == nil {
		return
	}
	if f.MaxDelay == 0 {
		_ = socket.Send(b, to)
		return
	}
	data := slices.Clone(b)
	delay := time.Duration(f.random.Int64N(int64(f.MaxDelay)))
	time.AfterFunc(delay, func() { _ = socket.Send(data, to) })
}

// socketOf returns the socket that stands for a caller, so that balancers
// see one address for each; the caller of socketOf holds mu.
func (f *Fabric) socketOf(caller netip.AddrPort) *crnet.Socket {
	if socket := f.callers[caller]; socket != nil {
		return socket
	}
	socket := &crnet.Socket{Addr: f.front.Bound().Addr().String() + ":0"}
	socket.Receive = func(b []byte, _ netip.AddrPort) {
		if !f.lost() {
			_ = f.front.Send(b, caller)
		}
	}
	if socket.Start() != nil {
		return nil
	}
	f.callers[caller] = socket
	return socket
}

// lost draws whether a datagram towards a caller is lost.
func (f *Fabric) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.LossRate
}
