package crbalancer

import "net/netip"

// openDatagrams starts to pass datagrams if the settings enable them. To stop,
// close done and call closeDatagrams.
func (b *Balancer) openDatagrams(done <-chan struct{}) error {
	if !b.Settings.Balancer.Datagrams {
		return nil
	}
	f := &forwarder{
		settings: b.Settings, counters: newCounters(b.Registry), logf: b.Logf, onNewerRevision: b.requestNewerView,
	}
	if err := f.open(); err != nil {
		return err
	}
	b.forwarder = f
	b.wg.Go(func() { f.run(done) })
	return nil
}

// closeDatagrams closes the sockets for datagrams.
func (b *Balancer) closeDatagrams() error {
	if b.forwarder == nil {
		return nil
	}
	return b.forwarder.close()
}

// requestNewerView requests the feed from an agent that has a newer revision.
// If the view doesn't contain this agent yet, it requests the feed from another
// agent.
func (b *Balancer) requestNewerView(agent uint32, rev uint64) {
	view := b.view.Load()
	if m, ok := view.Members[agent]; ok {
		b.pullFrom(m.RunAddr, rev)
		return
	}
	for _, m := range view.Members {
		b.pullFrom(m.RunAddr, rev)
		return
	}
}

// DatagramAddr returns the local address that receives a service's datagrams,
// or false if it is not bound. Call it after Ready.
func (b *Balancer) DatagramAddr(service string) (netip.AddrPort, bool) {
	if b.forwarder == nil {
		return netip.AddrPort{}, false
	}
	return b.forwarder.boundAddr(service)
}
