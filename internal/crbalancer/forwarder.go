package crbalancer

import (
	"errors"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// defaultMTU is the size of the largest envelope in bytes if the settings
	// set none: an Ethernet frame without the headers of IPv4 and UDP.
	defaultMTU = 1472
	// refreshInterval is the time between two removals of expired tables.
	refreshInterval = time.Second
)

// forwarder passes datagrams from callers to agents and from agents to callers.
// All its state is derived from the view.
type forwarder struct {
	settings *crdoc.Settings
	keys     *crroute.Keyring
	counters *counters
	logf     func(format string, args ...any)
	// onNewerRevision is called when an agent has a newer revision.
	onNewerRevision func(agent uint32, rev uint64)

	returnSocket *returnSocket
	plan         atomic.Pointer[crroute.Plan]

	// mu guards the following fields. The packet path doesn't lock it.
	mu     sync.Mutex
	router crroute.Router
	view   *crwire.View
	ports  map[string]*port
	// portsByName is a copy of ports for the packet path, which uses it to find
	// the service of an answer.
	portsByName atomic.Pointer[map[string]*port]
}

// open loads the keys and binds the socket that receives answers from agents.
func (f *forwarder) open() error {
	if f.settings.Balancer.ReturnAddr == "" {
		return errors.New("balancer.return: is missing")
	}
	keys, err := crroute.LoadKeyring(f.settings.Keys, os.ReadFile)
	if err != nil {
		return err
	}
	f.keys = keys
	f.ports = map[string]*port{}
	f.portsByName.Store(&map[string]*port{})
	f.plan.Store(&crroute.Plan{})
	f.returnSocket = &returnSocket{forwarder: f, sealer: crroute.NewSealer(keys)}
	return f.returnSocket.open(f.settings.Balancer.ReturnAddr)
}

// close closes all sockets.
func (f *forwarder) close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var errs []error
	for _, p := range f.ports {
		errs = append(errs, p.socket.Close())
	}
	f.ports = map[string]*port{}
	return errors.Join(append(errs, f.returnSocket.socket.Close())...)
}

// run removes expired tables and announces the return address to agents until
// done is closed.
func (f *forwarder) run(done <-chan struct{}) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	announcer := &returnAnnouncer{forwarder: f, sealer: crroute.NewSealer(f.keys)}
	for {
		select {
		case now := <-tick.C:
			f.refresh(now)
			announcer.announce()
		case <-done:
			return
		}
	}
}

// setView builds the plan for a new view, and opens and closes ports
// accordingly.
func (f *forwarder) setView(v *crwire.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	f.plan.Store(f.router.Update(v, time.Now()))
	f.updatePorts()
}

// refresh removes expired tables and retries ports that couldn't be bound.
func (f *forwarder) refresh(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		return
	}
	if f.router.HasExpiring() {
		f.plan.Store(f.router.Update(f.view, now))
	}
	f.updatePorts()
}

// updatePorts opens the ports of the services in the view and closes all
// others. The next refresh retries ports that couldn't be bound.
func (f *forwarder) updatePorts() {
	for name, p := range f.ports {
		if doc := f.view.Services[name]; doc == nil || doc.Address != p.address {
			_ = p.socket.Close()
			delete(f.ports, name)
			f.logf("service %s: no longer listens on %s", name, p.address)
		}
	}
	for name, doc := range f.view.Services {
		if f.ports[name] != nil {
			continue
		}
		p := newPort(f, name, doc.Address)
		if err := p.open(f.localAddr(doc.Address)); err != nil {
			if f.counters.recordBindFailure(name) {
				f.logf("service %s: %v", name, err)
			}
			continue
		}
		f.counters.clearBindFailure(name)
		f.ports[name] = p
	}
	byName := make(map[string]*port, len(f.ports))
	for name, p := range f.ports {
		byName[name] = p
	}
	f.portsByName.Store(&byName)
}

// localAddr returns the local address to which the fabric delivers the
// datagrams for a service's address.
func (f *forwarder) localAddr(address string) string {
	if local, ok := f.settings.Balancer.Listen[address]; ok {
		return local
	}
	return address
}

// mtu returns the size of the largest envelope in bytes.
func (f *forwarder) mtu() int {
	if f.settings.MTU > 0 {
		return f.settings.MTU
	}
	return defaultMTU
}

// boundAddr returns the local address that receives a service's datagrams.
func (f *forwarder) boundAddr(name string) (netip.AddrPort, bool) {
	p, ok := (*f.portsByName.Load())[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	return p.socket.Bound(), true
}

// returnSocket receives datagrams from agents and passes answers to callers.
type returnSocket struct {
	forwarder *forwarder
	sealer    *crroute.Sealer
	envelope  crwire.Envelope
	socket    *crnet.Socket
	// addr is the address to which agents send.
	addr netip.AddrPort
}

// open binds the socket.
func (s *returnSocket) open(addr string) error {
	s.socket = &crnet.Socket{Addr: addr, Receive: s.receive}
	if err := s.socket.Start(); err != nil {
		return err
	}
	s.addr = s.socket.Bound()
	return nil
}

// receive passes an agent's answer to its caller. It also detects that the
// agent has a newer revision.
func (s *returnSocket) receive(b []byte, _ netip.AddrPort) {
	f := s.forwarder
	if err := crwire.OpenEnvelope(b, &s.envelope, s.sealer.Verify); err != nil {
		f.counters.drop(crroute.EnvelopeReason(err))
		return
	}
	plan := f.plan.Load()
	if s.envelope.Revision > plan.Revision {
		f.onNewerRevision(s.envelope.Sender, s.envelope.Revision)
	}
	if s.envelope.Kind != crwire.EnvelopeAnswer {
		return
	}
	// Answers from an agent in a zone that is out of service still pass,
	// because its last answers notify callers that their flows have ended.
	p := (*f.portsByName.Load())[string(s.envelope.Service)]
	if p == nil {
		f.counters.drop(crroute.ReasonService)
		return
	}
	if err := p.socket.Send(s.envelope.Payload, s.envelope.Caller); err != nil {
		f.counters.drop(crroute.ReasonSend)
		return
	}
	f.counters.answered.Inc()
}
