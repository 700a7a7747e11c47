package cregress_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cregress"
)

// newQueue returns a queue for a link that carries a packet in 10 ms, with room for two.
func newQueue(maxPackets int) *cregress.Queue {
	q := &cregress.Queue{Rate: 100 * packetBytes, Burst: 2 * packetBytes, MaxBytes: maxPackets * packetBytes}
	q.Init()
	q.Advance(start)
	return q
}

// push adds a packet of a flow with a turn.
func push(q *cregress.Queue, flow cregress.Flow, seq uint32) {
	q.Push(cregress.Packet{Flow: flow, Seq: seq, Bytes: packetBytes, GiveUpAt: start.Add(time.Second), ArrivedAt: start}, true)
}

// sent returns the flows and numbers of the packets that are sent until a time.
func sent(q *cregress.Queue, until time.Duration) []string {
	var out []string
	for at := time.Duration(0); at <= until; at += 5 * time.Millisecond {
		for p, ok := q.Pop(start.Add(at)); ok; p, ok = q.Pop(start.Add(at)) {
			q.Charge(p.Bytes)
			out = append(out, p.Flow.Caller.Addr().String()[len("100.64.0."):]+"/"+string(rune('0'+p.Seq)))
		}
	}
	return out
}

// TestQueueIsFair checks the order of two flows with a turn and one without, the pace,
// and that a copy of a packet that waits isn't sent.
func TestQueueIsFair(t *testing.T) {
	q := newQueue(100)
	long, short, later := flowOf(1, 1), flowOf(2, 1), flowOf(3, 1)
	push(q, later, 0)
	q.SetTurn(later, false)
	for seq := range uint32(4) {
		push(q, long, seq)
	}
	push(q, short, 0)
	push(q, long, 1)
	got := [][]string{sent(q, 0), sent(q, 20*time.Millisecond), sent(q, time.Second)}
	want := [][]string{{"1/0", "2/0"}, {"1/1", "1/2"}, {"1/3", "3/0"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sent at once, in 20 ms, and then (-want +got):\n%s", diff)
	}
	if q.Dropped(cregress.DropCopy) != 1 {
		t.Errorf("%d copies dropped", q.Dropped(cregress.DropCopy))
	}
}

// TestQueueDrops checks that the longest flow loses its last packets when too much waits,
// and that packets of ended flows and of callers who gave up aren't sent.
func TestQueueDrops(t *testing.T) {
	q := newQueue(6)
	long, ended, short := flowOf(1, 1), flowOf(2, 1), flowOf(3, 1)
	push(q, ended, 0)
	for seq := range uint32(6) {
		push(q, long, seq)
	}
	push(q, short, 0)
	q.Drop(ended)
	got := sent(q, 15*time.Millisecond)
	if late, ok := q.Pop(start.Add(2 * time.Second)); ok {
		t.Errorf("%v is sent after its caller gave up", late)
	}
	if diff := cmp.Diff([]string{"1/0", "3/0", "1/1"}, got); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
	drops := map[cregress.DropReason]uint64{}
	for _, reason := range cregress.DropReasonValues() {
		drops[reason] = q.Dropped(reason)
	}
	want := map[cregress.DropReason]uint64{cregress.DropCopy: 0, cregress.DropEnded: 1, cregress.DropExpired: 2, cregress.DropOverflow: 2}
	if diff := cmp.Diff(want, drops); diff != "" {
		t.Errorf("dropped (-want +got):\n%s", diff)
	}
}

// TestUrgentFramesAreCharged checks that packets wait for the link while urgent frames
// take it, and no longer than the link's own queue can be full.
func TestUrgentFramesAreCharged(t *testing.T) {
	q := newQueue(6)
	q.Charge(100 * packetBytes)
	push(q, flowOf(1, 1), 0)
	if got := sent(q, 150*time.Millisecond); len(got) > 0 {
		t.Errorf("sent in 150 ms: %v", got)
	}
	if diff := cmp.Diff([]string{"1/0"}, sent(q, 160*time.Millisecond)); diff != "" {
		t.Errorf("sent in 160 ms (-want +got):\n%s", diff)
	}
}

// TestOversizedPacket checks that a packet larger than a burst holds nobody up for longer
// than the link takes for it.
func TestOversizedPacket(t *testing.T) {
	q := newQueue(100)
	q.Push(cregress.Packet{Flow: flowOf(1, 1), Bytes: 7 * packetBytes, GiveUpAt: start.Add(time.Second)}, true)
	push(q, flowOf(2, 1), 0)
	if diff := cmp.Diff([]string{"2/0", "1/0"}, sent(q, 20*time.Millisecond)); diff != "" {
		t.Errorf("sent in 20 ms (-want +got):\n%s", diff)
	}
	push(q, flowOf(2, 1), 1)
	if got := sent(q, 55*time.Millisecond); len(got) > 0 {
		t.Errorf("sent while the link is busy: %v", got)
	}
	if diff := cmp.Diff([]string{"2/1"}, sent(q, 90*time.Millisecond)); diff != "" {
		t.Errorf("sent in 90 ms (-want +got):\n%s", diff)
	}
}
