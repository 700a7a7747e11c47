package cregress

import (
	"slices"
	"time"
)

const (
	// roundBytes is what a flow may send in a round: a whole packet.
	roundBytes = 1400
	// maxFlowPackets limits the packets of one flow that wait: a few windows of a
	// caller.
	maxFlowPackets = 64
	// maxDebtTime is how far urgent frames may be ahead of the link's rate. What is
	// further ahead is lost in the link's own queue.
	maxDebtTime = 150 * time.Millisecond
)

// DropReason is why a waiting packet is dropped.
type DropReason int

const (
	// DropCopy means that the caller has sent the packet again while it waited; the
	// later copy takes its place.
	DropCopy DropReason = iota
	// DropEnded means that the packet's flow has ended.
	DropEnded
	// DropExpired means that the packet's caller has given up.
	DropExpired
	// DropOverflow means that too much waits.
	DropOverflow
)

// Packet is a datagram of a transfer.
type Packet struct {
	Flow Flow
	// Seq and Size are the packet's sequence number and the length of its data.
	// Packets of a flow with the same Seq and Size are copies.
	Seq  uint32
	Size int
	// Data is the datagram. The queue keeps it.
	Data []byte
	// Bytes is what the packet takes of the link.
	Bytes int
	// GiveUpAt is when the packet's caller gives up.
	GiveUpAt time.Time
	// ArrivedAt is when the packet began to wait.
	ArrivedAt time.Time
}

// Queue holds back the packets of transfers while a link is busy. When many callers
// send a whole window at once, the link's own queue would drop what follows, urgent
// frames included, and callers would send it all again. Urgent frames aren't queued;
// they are only charged. Packets of flows with a turn go first, and flows take turns
// by bytes (deficit round robin). Set the exported fields before use. Queue is not
// safe for concurrent use.
type Queue struct {
	// Rate is what the link carries in a second, and Burst what its own queue takes
	// at any time, in bytes. Burst must be larger than a packet.
	Rate, Burst float64
	// MaxBytes limits the packets that wait.
	MaxBytes int

	// tokens are the bytes that may be sent at updatedAt; negative after more urgent
	// frames than the link has carried since.
	tokens    float64
	updatedAt time.Time
	flows     map[Flow]*flowQueue
	// rings hold the flows with waiting packets in the order of service: those with
	// a turn, then the others.
	rings          [2][]*flowQueue
	packets, bytes int
	dropped        [DropOverflow + 1]uint64
}

// flowQueue holds the waiting packets of a flow, oldest first.
type flowQueue struct {
	flow    Flow
	packets []Packet
	bytes   int
	// deficit is what the flow may send before the next flow is served.
	deficit int
	// ring is the index of the ring that holds the flow.
	ring int
}

// Init prepares the queue for use.
func (q *Queue) Init() {
	q.flows = map[Flow]*flowQueue{}
	q.tokens = q.Burst
}

// Advance accounts for what the link has carried until now.
func (q *Queue) Advance(now time.Time) {
	if !now.After(q.updatedAt) {
		return
	}
	if !q.updatedAt.IsZero() {
		q.tokens = min(q.Burst, q.tokens+now.Sub(q.updatedAt).Seconds()*q.Rate)
	}
	q.updatedAt = now
}

// Charge accounts for n bytes that were sent, both of urgent frames and of packets
// that Pop returned.
func (q *Queue) Charge(n int) {
	q.tokens = max(q.tokens-float64(n), -maxDebtTime.Seconds()*q.Rate)
}

// Idle reports whether a packet of n bytes can be sent at once: nothing waits, and the
// link's own queue has room.
func (q *Queue) Idle(n int) bool { return q.packets == 0 && q.hasRoom(n) }

// hasRoom reports whether the link's own queue has room for n bytes. A packet larger
// than a burst needs a whole one.
func (q *Queue) hasRoom(n int) bool { return q.tokens >= min(q.Burst, float64(n)) }

// Push adds a packet that waits; turn tells whether its flow has a turn.
func (q *Queue) Push(p Packet, turn bool) {
	f := q.flows[p.Flow]
	if f == nil {
		f = &flowQueue{flow: p.Flow, ring: ringOf(turn)}
		q.flows[p.Flow] = f
		q.rings[f.ring] = append(q.rings[f.ring], f)
	}
	q.SetTurn(p.Flow, turn)
	for i := range f.packets {
		if w := &f.packets[i]; w.Seq == p.Seq && w.Size == p.Size && w.Bytes == p.Bytes {
			w.Data = p.Data
			q.dropped[DropCopy]++
			return
		}
	}
	if len(f.packets) >= maxFlowPackets {
		q.dropped[DropOverflow]++
		return
	}
	f.packets = append(f.packets, p)
	f.bytes += p.Bytes
	q.packets++
	q.bytes += p.Bytes
	for q.bytes > q.MaxBytes {
		q.dropLongest()
	}
}

// dropLongest drops the last packet of the flow with the most bytes waiting.
func (q *Queue) dropLongest() {
	var longest *flowQueue
	for _, ring := range q.rings {
		for _, f := range ring {
			if longest == nil || f.bytes > longest.bytes {
				longest = f
			}
		}
	}
	last := len(longest.packets) - 1
	q.count(longest, longest.packets[last])
	longest.packets = longest.packets[:last]
	q.dropped[DropOverflow]++
	if last == 0 {
		q.remove(longest)
	}
}

// count subtracts a packet that doesn't wait any more.
func (q *Queue) count(f *flowQueue, p Packet) {
	f.bytes -= p.Bytes
	q.bytes -= p.Bytes
	q.packets--
}

// remove removes a flow.
func (q *Queue) remove(f *flowQueue) {
	ring := q.rings[f.ring]
	if i := slices.Index(ring, f); i >= 0 {
		q.rings[f.ring] = slices.Delete(ring, i, i+1)
	}
	delete(q.flows, f.flow)
}

// SetTurn records whether a flow has a turn.
func (q *Queue) SetTurn(flow Flow, turn bool) {
	f := q.flows[flow]
	if f == nil || f.ring == ringOf(turn) {
		return
	}
	q.remove(f)
	f.ring = ringOf(turn)
	q.flows[flow] = f
	q.rings[f.ring] = append(q.rings[f.ring], f)
}

// ringOf returns the index of the ring for flows with or without a turn.
func ringOf(turn bool) int {
	if turn {
		return 0
	}
	return 1
}

// Waits reports whether packets of a flow wait.
func (q *Queue) Waits(flow Flow) bool { return q.flows[flow] != nil }

// Drop drops the waiting packets of a flow that has ended.
func (q *Queue) Drop(flow Flow) {
	f := q.flows[flow]
	if f == nil {
		return
	}
	q.dropped[DropEnded] += uint64(len(f.packets))
	q.packets -= len(f.packets)
	q.bytes -= f.bytes
	q.remove(f)
}

// Pop returns the next packet that the link has room for, and false if there is none.
// Charge accounts for it once it is sent.
func (q *Queue) Pop(now time.Time) (Packet, bool) {
	q.Advance(now)
	for i := range q.rings {
		for len(q.rings[i]) > 0 {
			f := q.rings[i][0]
			head := f.packets[0]
			if now.After(head.GiveUpAt) {
				q.dropped[DropExpired]++
				q.popHead(f)
				continue
			}
			if !q.hasRoom(head.Bytes) {
				return Packet{}, false
			}
			if f.deficit < head.Bytes {
				f.deficit += roundBytes
				q.rings[i] = append(q.rings[i][1:], f)
				continue
			}
			f.deficit -= head.Bytes
			q.popHead(f)
			return head, true
		}
	}
	return Packet{}, false
}

// popHead removes the oldest packet of a flow.
func (q *Queue) popHead(f *flowQueue) {
	q.count(f, f.packets[0])
	f.packets[0] = Packet{}
	f.packets = f.packets[1:]
	if len(f.packets) == 0 {
		q.remove(f)
	}
}

// NextAt returns when Pop is worth calling again, the zero time if nothing waits. It
// lets half a burst gather, so that a busy link needs few calls.
func (q *Queue) NextAt() time.Time {
	if q.packets == 0 {
		return time.Time{}
	}
	missing := min(float64(q.bytes), max(roundBytes, q.Burst/2)) - q.tokens
	return q.updatedAt.Add(time.Duration(max(0, missing) / q.Rate * float64(time.Second)))
}

// Waiting returns the number and the bytes of the packets that wait.
func (q *Queue) Waiting() (packets, bytes int) { return q.packets, q.bytes }

// Dropped returns how many packets were dropped for a reason.
func (q *Queue) Dropped(reason DropReason) uint64 { return q.dropped[reason] }
