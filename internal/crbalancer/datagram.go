package crbalancer

import "net/netip"

// openDatagrams starts to pass datagrams, when the settings ask for it,
// until done is closed and closeDatagrams has returned.
func (b *Balancer) openDatagrams(done <-chan struct{}) error {
	if !b.Settings.Balancer.Datagrams {
		return nil
	}
	f := &forwarder{
		settings: b.Settings, counters: newCounters(b.Registry), logf: b.Logf, ahead: b.ahead,
	}
	if err := f.open(); err != nil {
		return err
	}
	b.forwarder = f
	b.loops.Go(func() { f.run(done) })
	return nil
}

// closeDatagrams closes the sockets.
func (b *Balancer) closeDatagrams() error {
	if b.forwarder == nil {
		return nil
	}
	return b.forwarder.close()
}

// ahead asks an agent for the feed, because it holds a later revision. An
// agent that this balancer doesn't know yet is stood for by any other.
func (b *Balancer) ahead(agent uint32, rev uint64) {
	view := b.view.Load()
	if m, ok := view.Members[agent]; ok {
		b.hint(m.RunAddr, rev)
		return
	}
	for _, m := range view.Members {
		b.hint(m.RunAddr, rev)
		return
	}
}

// DatagramAddr returns the local address that a service's datagrams come in
// on; false while it is not bound. Call it after Ready.
func (b *Balancer) DatagramAddr(service string) (netip.AddrPort, bool) {
	if b.forwarder == nil {
		return netip.AddrPort{}, false
	}
	return b.forwarder.portOf(service)
}
