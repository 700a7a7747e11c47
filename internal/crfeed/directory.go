package crfeed

import "slices"

const (
	// maxAcceptedAddrs bounds the list of control instances that a daemon keeps.
	maxAcceptedAddrs = 64
	// maxHeardAddrs bounds the addresses that a daemon keeps beside it.
	maxHeardAddrs = 16
)

// Directory is what a daemon knows of the control instances. An accepted list is replaced
// only by one that is as late in the order of accepted configurations; addresses from any
// other answer are tried after it and displace nothing in it. An instance that was isolated
// while the others were replaced thus leads no daemon back to those. It is not safe for
// concurrent use.
type Directory struct {
	// accepted is the latest accepted list, and index the index of its configuration in
	// the replicated log. It is 0 before the first list, and for a list of an instance of
	// an earlier release, which doesn't tell.
	accepted []string
	index    uint64
	// heard is the list of the last answer that didn't become the accepted one.
	heard []string
}

// Learn takes the list of an answer. index is the index of the list's configuration, 0 if
// the sender doesn't tell; stale is whether the sender can't prove contact with the quorum.
func (d *Directory) Learn(addrs []string, index uint64, stale bool) {
	if len(addrs) == 0 {
		return
	}
	accept := index >= d.index
	if index == 0 {
		accept = d.index == 0 && (!stale || len(d.accepted) == 0)
	}
	if !accept {
		d.heard = bounded(addrs, maxHeardAddrs)
		return
	}
	d.accepted, d.index, d.heard = bounded(addrs, maxAcceptedAddrs), index, nil
}

// Index returns the index of the accepted list.
func (d *Directory) Index() uint64 { return d.index }

// Addrs returns the addresses to try in this order, each once: the accepted list, those
// from other answers, and the seeds of the settings.
func (d *Directory) Addrs(seeds []string) []string {
	out := slices.Clone(d.accepted)
	for _, addr := range slices.Concat(d.heard, seeds) {
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// bounded returns a copy of the first addresses, n at most.
func bounded(addrs []string, n int) []string { return slices.Clone(addrs[:min(n, len(addrs))]) }
