package crflow

import (
	"net/netip"
	"time"
)

// Key names an entry of a table.
type Key struct {
	// Caller is the caller's address.
	Caller netip.AddrPort
	// OpeningKey stands for the connection ID that the caller chose for an
	// opening flow; 0 names the caller's address alone, by which its flows
	// are answered.
	OpeningKey uint32
}

// Flow is what is known under a key.
type Flow struct {
	// ReturnAddr is where answers go.
	ReturnAddr netip.AddrPort
	// ForwardedTo is the agent that an opening flow was passed on to, 0 when it
	// is ours.
	ForwardedTo uint32
}

// Table holds flows within a fixed number of entries. New flows go into a small area on probation, where the oldest
// makes room for the next; a flow that Confirm has named moves to the live
// area, where only an idle one makes room. So a flood of first packets
// pushes out other first packets and never a live flow. Set the exported
// fields before Init. It is for one goroutine at a time.
type Table struct {
	// MaxConfirmed is the largest number of confirmed flows. At least 1.
	MaxConfirmed int
	// MaxProbation is the largest number of flows that are opening. At least 1.
	MaxProbation int
	// ConfirmedIdleTimeout ends a confirmed flow that no datagram has used.
	ConfirmedIdleTimeout time.Duration
	// ProbationIdleTimeout ends a flow on probation that no datagram has used.
	ProbationIdleTimeout time.Duration

	index     map[key]int32
	entries   []entry
	live      list
	probation list
	free      list
}

// none ends a list.
const none = int32(-1)

// entry is one flow. prev and next link it into one of the lists, oldest
// first. It holds no pointer, so that the collector passes over the table.
type entry struct {
	seen      int64
	passed    uint32
	prev      int32
	next      int32
	key       key
	back      address
	confirmed bool
}

// address is a netip.AddrPort in 18 bytes; IPv4 is mapped into IPv6.
type address struct {
	ip   [16]byte
	port uint16
}

// key is a Key in 24 bytes.
type key struct {
	caller  address
	opening uint32
}

// keyOf returns the short form of a key.
func keyOf(k Key) key { return key{caller: addressOf(k.Caller), opening: k.OpeningKey} }

// addressOf returns the short form of an address.
func addressOf(a netip.AddrPort) address { return address{ip: a.Addr().As16(), port: a.Port()} }

// addrPort returns the long form.
func (a address) addrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.ip).Unmap(), a.port)
}

// list is a doubly linked list through the entries.
type list struct {
	head, tail int32
	n          int
}

// Init makes the table ready. It takes all the memory that the table's
// entries will ever take.
func (t *Table) Init() {
	t.index = make(map[key]int32)
	t.entries = make([]entry, t.MaxConfirmed+t.MaxProbation)
	t.live, t.probation, t.free = emptyList(), emptyList(), emptyList()
	for i := range t.entries {
		t.push(&t.free, int32(i))
	}
}

// Get returns the flow under a key and notes that a datagram used it.
func (t *Table) Get(k Key, now time.Time) (Flow, bool) {
	t.age(now)
	i, ok := t.index[keyOf(k)]
	if !ok {
		return Flow{}, false
	}
	t.touch(i, now)
	e := &t.entries[i]
	return Flow{ReturnAddr: e.back.addrPort(), ForwardedTo: e.passed}, true
}

// Put records a flow, on probation when it is new.
func (t *Table) Put(k Key, f Flow, now time.Time) {
	t.age(now)
	short, back := keyOf(k), addressOf(f.ReturnAddr)
	if i, ok := t.index[short]; ok {
		t.entries[i].back, t.entries[i].passed = back, f.ForwardedTo
		t.touch(i, now)
		return
	}
	if t.probation.n == t.MaxProbation {
		t.drop(&t.probation, t.probation.head)
	}
	i := t.free.head
	t.unlink(&t.free, i)
	t.entries[i] = entry{key: short, back: back, passed: f.ForwardedTo, seen: now.UnixNano()}
	t.push(&t.probation, i)
	t.index[short] = i
}

// Confirm moves a flow to the live area, if it has room; otherwise the flow
// stays on probation.
func (t *Table) Confirm(k Key, now time.Time) {
	t.age(now)
	i, ok := t.index[keyOf(k)]
	if !ok || t.entries[i].confirmed || t.live.n == t.MaxConfirmed {
		return
	}
	t.unlink(&t.probation, i)
	t.push(&t.live, i)
	t.entries[i].confirmed = true
	t.entries[i].seen = now.UnixNano()
}

// Remove forgets the flow under a key.
func (t *Table) Remove(k Key) {
	if i, ok := t.index[keyOf(k)]; ok {
		t.drop(t.listOf(i), i)
	}
}

// Len returns the number of confirmed flows and of those on probation.
func (t *Table) Len() (live, probation int) { return t.live.n, t.probation.n }

// touch moves an entry to the young end of its list.
func (t *Table) touch(i int32, now time.Time) {
	l := t.listOf(i)
	t.entries[i].seen = now.UnixNano()
	t.unlink(l, i)
	t.push(l, i)
}

// age drops the flows that have been idle too long.
func (t *Table) age(now time.Time) {
	t.ageList(&t.live, now.Add(-t.ConfirmedIdleTimeout).UnixNano())
	t.ageList(&t.probation, now.Add(-t.ProbationIdleTimeout).UnixNano())
}

// ageList drops the entries of a list that were last used before a time.
func (t *Table) ageList(l *list, before int64) {
	for l.head != none && t.entries[l.head].seen < before {
		t.drop(l, l.head)
	}
}

// drop forgets an entry.
func (t *Table) drop(l *list, i int32) {
	t.unlink(l, i)
	delete(t.index, t.entries[i].key)
	t.push(&t.free, i)
}

// listOf returns the list that holds an entry in use.
func (t *Table) listOf(i int32) *list {
	if t.entries[i].confirmed {
		return &t.live
	}
	return &t.probation
}

// emptyList returns a list without entries.
func emptyList() list { return list{head: none, tail: none} }

// push appends an entry at a list's young end.
func (t *Table) push(l *list, i int32) {
	t.entries[i].prev, t.entries[i].next = l.tail, none
	if l.tail == none {
		l.head = i
	} else {
		t.entries[l.tail].next = i
	}
	l.tail = i
	l.n++
}

// unlink takes an entry out of a list.
func (t *Table) unlink(l *list, i int32) {
	e := &t.entries[i]
	if e.prev == none {
		l.head = e.next
	} else {
		t.entries[e.prev].next = e.next
	}
	if e.next == none {
		l.tail = e.prev
	} else {
		t.entries[e.next].prev = e.prev
	}
	l.n--
}
