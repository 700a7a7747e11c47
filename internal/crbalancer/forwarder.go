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
	// mtuDefault is the largest envelope when the settings name none, in
	// bytes: an Ethernet frame without the headers of IPv4 and UDP.
	mtuDefault = 1472
	// planTick is how often tables whose time is over are dropped.
	planTick = time.Second
)

// forwarder passes callers' datagrams to agents and agents' datagrams to
// callers. What it knows is made from the view alone.
type forwarder struct {
	settings *crdoc.Settings
	keys     *crroute.Keyring
	counters *counters
	logf     func(format string, args ...any)
	// ahead is called when an agent holds a later revision.
	ahead func(agent uint32, rev uint64)

	back *backSocket
	plan atomic.Pointer[crroute.Plan]

	// mu guards what follows; the packet path doesn't take it.
	mu     sync.Mutex
	router crroute.Router
	view   *crwire.View
	ports  map[string]*port
	// byName finds the port of a service for answers.
	byName atomic.Pointer[map[string]*port]
}

// open reads the keys and binds the socket that agents answer to.
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
	f.byName.Store(&map[string]*port{})
	f.plan.Store(&crroute.Plan{})
	f.back = &backSocket{f: f, sealer: crroute.NewSealer(keys)}
	return f.back.open(f.settings.Balancer.ReturnAddr)
}

// close closes every socket.
func (f *forwarder) close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var errs []error
	for _, p := range f.ports {
		errs = append(errs, p.socket.Close())
	}
	f.ports = map[string]*port{}
	return errors.Join(append(errs, f.back.socket.Close())...)
}

// run drops old tables and greets agents until done is closed.
func (f *forwarder) run(done <-chan struct{}) {
	tick := time.NewTicker(planTick)
	defer tick.Stop()
	greeter := &greeter{f: f, sealer: crroute.NewSealer(f.keys)}
	for {
		select {
		case now := <-tick.C:
			f.refresh(now)
			greeter.next()
		case <-done:
			return
		}
	}
}

// took makes the plan of a later view and opens and closes ports by it.
func (f *forwarder) took(v *crwire.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	f.plan.Store(f.router.Update(v, time.Now()))
	f.listen()
}

// refresh drops tables whose time is over, and tries ports again.
func (f *forwarder) refresh(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		return
	}
	if f.router.HasExpiring() {
		f.plan.Store(f.router.Update(f.view, now))
	}
	f.listen()
}

// listen opens the ports that the documents ask for and closes the others.
// A port that can't be bound is tried again at the next refresh.
func (f *forwarder) listen() {
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
		if err := p.open(f.localOf(doc.Address)); err != nil {
			if f.counters.unbound(name) {
				f.logf("service %s: %v", name, err)
			}
			continue
		}
		f.counters.bound(name)
		f.ports[name] = p
	}
	byName := make(map[string]*port, len(f.ports))
	for name, p := range f.ports {
		byName[name] = p
	}
	f.byName.Store(&byName)
}

// localOf returns the local address that the fabric delivers a service's
// datagrams on.
func (f *forwarder) localOf(address string) string {
	if local, ok := f.settings.Balancer.Listen[address]; ok {
		return local
	}
	return address
}

// mtu returns the largest envelope, in bytes.
func (f *forwarder) mtu() int {
	if f.settings.MTU > 0 {
		return f.settings.MTU
	}
	return mtuDefault
}

// portOf returns where a service's datagrams come in.
func (f *forwarder) portOf(name string) (netip.AddrPort, bool) {
	p, ok := (*f.byName.Load())[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	return p.socket.Bound(), true
}

// backSocket takes what agents send.
type backSocket struct {
	f      *forwarder
	sealer *crroute.Sealer
	env    crwire.Envelope
	socket *crnet.Socket
	// addr is where agents send to.
	addr netip.AddrPort
}

// open binds the socket.
func (s *backSocket) open(addr string) error {
	s.socket = &crnet.Socket{Addr: addr, Receive: s.receive}
	if err := s.socket.Start(); err != nil {
		return err
	}
	s.addr = s.socket.Bound()
	return nil
}

// receive sends an agent's datagram to its caller.
func (s *backSocket) receive(b []byte, _ netip.AddrPort) {
	f := s.f
	if err := crwire.OpenEnvelope(b, &s.env, s.sealer.Verify); err != nil {
		f.counters.drop(crroute.EnvelopeReason(err))
		return
	}
	plan := f.plan.Load()
	if s.env.Revision > plan.Revision {
		f.ahead(s.env.Sender, s.env.Revision)
	}
	if s.env.Kind != crwire.EnvelopeAnswer {
		return
	}
	// Answers of an agent whose zone is out still pass: its last ones tell
	// callers that their flows have ended.
	p := (*f.byName.Load())[string(s.env.Service)]
	if p == nil {
		f.counters.drop(crroute.ReasonService)
		return
	}
	if err := p.socket.Send(s.env.Payload, s.env.Caller); err != nil {
		f.counters.drop(crroute.ReasonSend)
		return
	}
	f.counters.answered.Inc()
}
