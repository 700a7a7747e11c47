package crflow

import (
	"net/netip"
	"time"
)

// Key identifies an entry of a Table.
type Key struct {
	// Caller is the caller's address.
	Caller netip.AddrPort
	// OpeningKey is a hash of the connection ID that the caller chose for an
	// opening flow. 0 selects the entry of the caller's address, which holds the
	// return address for all its flows.
	OpeningKey uint32
}

// Flow is the value of an entry of a Table.
type Flow struct {
	// ReturnAddr is the balancer address to which answers are sent.
	ReturnAddr netip.AddrPort
	// ForwardedTo is the number of the agent that an opening flow was forwarded
	// to; 0 means that this agent owns the flow.
	ForwardedTo uint32
}

// Table is a flow table with a fixed number of entries. New flows are on probation:
// when that area is full, a new flow evicts the least recently used one. Confirm
// moves a flow to the confirmed area, from which flows are removed only when they
// are idle. A flood of first packets can therefore evict other opening flows, but
// never a confirmed flow. Set the exported fields before Init. Table isn't safe for
// concurrent use.
type Table struct {
	// MaxConfirmed is the largest number of confirmed flows; at least 1.
	MaxConfirmed int
	// MaxProbation is the largest number of flows on probation; at least 1.
	MaxProbation int
	// ConfirmedIdleTimeout is the time after which an unused confirmed flow is
	// removed.
	ConfirmedIdleTimeout time.Duration
	// ProbationIdleTimeout is the time after which an unused flow on probation is
	// removed.
	ProbationIdleTimeout time.Duration

	index     map[packedKey]int32
	entries   []entry
	confirmed list
	probation list
	free      list
}

// noEntry is the index that ends a list.
const noEntry = int32(-1)

// entry is one flow. prev and next link it into one of the lists, in the order of
// last use. It contains no pointers, so that the garbage collector doesn't scan
// the entries.
type entry struct {
	lastUsed    int64
	forwardedTo uint32
	prev        int32
	next        int32
	key         packedKey
	returnAddr  packedAddr
	confirmed   bool
}

// packedAddr is a netip.AddrPort in 18 bytes. IPv4 addresses are mapped to IPv6.
type packedAddr struct {
	ip   [16]byte
	port uint16
}

// packedKey is a Key in 24 bytes.
type packedKey struct {
	caller     packedAddr
	openingKey uint32
}

// packKey returns the packed form of a key.
func packKey(k Key) packedKey { return packedKey{caller: packAddr(k.Caller), openingKey: k.OpeningKey} }

// packAddr returns the packed form of an address.
func packAddr(a netip.AddrPort) packedAddr { return packedAddr{ip: a.Addr().As16(), port: a.Port()} }

// unpack returns the address as a netip.AddrPort.
func (a packedAddr) unpack() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.ip).Unmap(), a.port)
}

// list is a doubly linked list of entries, least recently used first.
type list struct {
	head, tail int32
	n          int
}

// Init prepares the table for use. It allocates the memory for all entries.
func (t *Table) Init() {
	t.index = make(map[packedKey]int32)
	t.entries = make([]entry, t.MaxConfirmed+t.MaxProbation)
	t.confirmed, t.probation, t.free = emptyList(), emptyList(), emptyList()
	for i := range t.entries {
		t.push(&t.free, int32(i))
	}
}

// Get returns the flow of a key and marks it as used.
func (t *Table) Get(k Key, now time.Time) (Flow, bool) {
	t.expire(now)
	i, ok := t.index[packKey(k)]
	if !ok {
		return Flow{}, false
	}
	t.touch(i, now)
	e := &t.entries[i]
	return Flow{ReturnAddr: e.returnAddr.unpack(), ForwardedTo: e.forwardedTo}, true
}

// Put sets the flow of a key and marks it as used. A new flow is on probation.
func (t *Table) Put(k Key, f Flow, now time.Time) {
	t.expire(now)
	packed, returnAddr := packKey(k), packAddr(f.ReturnAddr)
	if i, ok := t.index[packed]; ok {
		t.entries[i].returnAddr, t.entries[i].forwardedTo = returnAddr, f.ForwardedTo
		t.touch(i, now)
		return
	}
	if t.probation.n == t.MaxProbation {
		t.drop(&t.probation, t.probation.head)
	}
	i := t.free.head
	t.unlink(&t.free, i)
	t.entries[i] = entry{key: packed, returnAddr: returnAddr, forwardedTo: f.ForwardedTo, lastUsed: now.UnixNano()}
	t.push(&t.probation, i)
	t.index[packed] = i
}

// Confirm moves a flow from probation to the confirmed area. If that area is full,
// the flow stays on probation.
func (t *Table) Confirm(k Key, now time.Time) {
	t.expire(now)
	i, ok := t.index[packKey(k)]
	if !ok || t.entries[i].confirmed || t.confirmed.n == t.MaxConfirmed {
		return
	}
	t.unlink(&t.probation, i)
	t.push(&t.confirmed, i)
	t.entries[i].confirmed = true
	t.entries[i].lastUsed = now.UnixNano()
}

// Remove removes the flow of a key.
func (t *Table) Remove(k Key) {
	if i, ok := t.index[packKey(k)]; ok {
		t.drop(t.listOf(i), i)
	}
}

// Len returns the numbers of confirmed flows and of flows on probation.
func (t *Table) Len() (confirmed, probation int) { return t.confirmed.n, t.probation.n }

// touch marks an entry as used and moves it to the tail of its list.
func (t *Table) touch(i int32, now time.Time) {
	l := t.listOf(i)
	t.entries[i].lastUsed = now.UnixNano()
	t.unlink(l, i)
	t.push(l, i)
}

// expire drops the flows that have been idle for longer than their timeout.
func (t *Table) expire(now time.Time) {
	t.expireList(&t.confirmed, now.Add(-t.ConfirmedIdleTimeout).UnixNano())
	t.expireList(&t.probation, now.Add(-t.ProbationIdleTimeout).UnixNano())
}

// expireList drops the entries of a list that were last used before the given
// time, in nanoseconds since the Unix epoch.
func (t *Table) expireList(l *list, before int64) {
	for l.head != noEntry && t.entries[l.head].lastUsed < before {
		t.drop(l, l.head)
	}
}

// drop removes an entry from its list and the index, and frees it.
func (t *Table) drop(l *list, i int32) {
	t.unlink(l, i)
	delete(t.index, t.entries[i].key)
	t.push(&t.free, i)
}

// listOf returns the list that holds an entry in use.
func (t *Table) listOf(i int32) *list {
	if t.entries[i].confirmed {
		return &t.confirmed
	}
	return &t.probation
}

// emptyList returns a list without entries.
func emptyList() list { return list{head: noEntry, tail: noEntry} }

// push appends an entry to the tail of a list.
func (t *Table) push(l *list, i int32) {
	t.entries[i].prev, t.entries[i].next = l.tail, noEntry
	if l.tail == noEntry {
		l.head = i
	} else {
		t.entries[l.tail].next = i
	}
	l.tail = i
	l.n++
}

// unlink removes an entry from a list.
func (t *Table) unlink(l *list, i int32) {
	e := &t.entries[i]
	if e.prev == noEntry {
		l.head = e.next
	} else {
		t.entries[e.prev].next = e.next
	}
	if e.next == noEntry {
		l.tail = e.prev
	} else {
		t.entries[e.next].prev = e.prev
	}
	l.n--
}
