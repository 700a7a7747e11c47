package cregress_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cregress"
)

// start is when the tests of turns begin.
var start = time.Unix(1_700_000_000, 0)

// flowOf returns a flow of a client account.
func flowOf(account byte, port uint16) cregress.Flow {
	return cregress.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, account}), port)}
}

// requestOf returns the request of a flow at a time.
func requestOf(flow cregress.Flow, at time.Time) cregress.Request {
	return cregress.Request{Flow: flow, ArrivedAt: at, TargetAt: at.Add(target), GiveUpAt: at.Add(timeout)}
}

// newTurns returns turns with one place, on a link that carries an upload of the assumed
// size in 200 ms.
func newTurns() *cregress.Turns {
	t := &cregress.Turns{
		Rate: 200_000, WindowBytes: 20_000, QueueTime: 150 * time.Millisecond, OpenLimit: time.Second,
		AccountSpacing: 400 * time.Millisecond, Waits: func(cregress.Flow) bool { return false },
	}
	t.Init()
	return t
}

// drain returns the flows for which decisions are due.
func drain(t *cregress.Turns, now time.Time) map[cregress.Flow]cregress.Verdict {
	out := map[cregress.Flow]cregress.Verdict{}
	for {
		flow, verdict, ok := t.Next(now)
		if !ok {
			return out
		}
		out[flow] = verdict
	}
}

// TestManyUploadsOfOneAccount checks that a client account that opens a thousand uploads
// doesn't delay another one's, and that those of it that can't be carried are refused at
// once.
func TestManyUploadsOfOneAccount(t *testing.T) {
	turns := newTurns()
	verdicts := map[cregress.Verdict]int{}
	for port := range uint16(1000) {
		verdicts[turns.Arrive(start, requestOf(flowOf(1, port), start))]++
	}
	want := map[cregress.Verdict]int{cregress.VerdictOpen: 1, cregress.VerdictWait: 30, cregress.VerdictRefuse: 969}
	if diff := cmp.Diff(want, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	other := flowOf(2, 1)
	if got := turns.Arrive(start, requestOf(other, start)); got != cregress.VerdictWait {
		t.Errorf("the other account's upload: %s", got)
	}
	turns.End(flowOf(1, 0))
	if diff := cmp.Diff(map[cregress.Flow]cregress.Verdict{other: cregress.VerdictOpen}, drain(turns, start), equateAddrs); diff != "" {
		t.Errorf("first in line (-want +got):\n%s", diff)
	}
	turns.End(other)
	if diff := cmp.Diff(map[cregress.Flow]cregress.Verdict{flowOf(1, 1): cregress.VerdictOpen}, drain(turns, start), equateAddrs); diff != "" {
		t.Errorf("next in line (-want +got):\n%s", diff)
	}
}

// equateAddrs makes cmp compare flows by value.
var equateAddrs = cmp.Comparer(func(a, b cregress.Flow) bool { return a == b })

// TestSilentUpload checks that an upload that sends nothing after it was opened loses its
// turn, and that one that only paused has a turn again with its next packet.
func TestSilentUpload(t *testing.T) {
	turns := newTurns()
	silent, next := flowOf(1, 1), flowOf(2, 1)
	turns.Arrive(start, requestOf(silent, start))
	turns.Arrive(start, requestOf(next, start))
	if got := drain(turns, start.Add(100*time.Millisecond)); len(got) > 0 {
		t.Errorf("due after 100 ms: %v", got)
	}
	now := start.Add(150 * time.Millisecond)
	if diff := cmp.Diff(map[cregress.Flow]cregress.Verdict{next: cregress.VerdictOpen}, drain(turns, now), equateAddrs); diff != "" {
		t.Errorf("due after 150 ms (-want +got):\n%s", diff)
	}
	if !turns.Carry(now, silent, start.Add(timeout)) {
		t.Error("the silent upload got no turn when it began to send")
	}
	now = now.Add(16 * time.Second)
	turns.Sweep(now)
	drain(turns, now)
	if open, waiting := turns.Counts(); open+waiting > 0 {
		t.Errorf("%d and %d uploads after 16 s of silence", open, waiting)
	}
}

// TestEndlessUpload checks that an upload that sends much more than others, or never ends,
// goes behind those that wait.
func TestEndlessUpload(t *testing.T) {
	turns := newTurns()
	endless, next := flowOf(1, 1), flowOf(2, 1)
	turns.Arrive(start, requestOf(endless, start))
	turns.Arrive(start, requestOf(next, start))
	now, sent := start, 0
	for turns.Carry(now, endless, start.Add(timeout)) && turns.Sent(now, endless, packetBytes) {
		now, sent = now.Add(6*time.Millisecond), sent+packetBytes
		if sent > 200_000 {
			t.Fatal("the endless upload keeps its turn")
		}
	}
	if diff := cmp.Diff(map[cregress.Flow]cregress.Verdict{next: cregress.VerdictOpen}, drain(turns, now), equateAddrs); diff != "" {
		t.Errorf("after %d bytes (-want +got):\n%s", sent, diff)
	}
	if turns.Carry(now, endless, start.Add(timeout)) {
		t.Error("the endless upload has its turn back at once")
	}
}

// TestLateOpening checks that an upload whose turn doesn't come is opened before its caller
// gives up opening, and refused then if it can't be carried any more.
func TestLateOpening(t *testing.T) {
	turns := newTurns()
	holder, patient, hasty := flowOf(1, 1), flowOf(2, 1), flowOf(3, 1)
	turns.Arrive(start, requestOf(holder, start))
	turns.Arrive(start, requestOf(patient, start))
	late := requestOf(hasty, start)
	late.GiveUpAt = start.Add(1100 * time.Millisecond)
	turns.Arrive(start, late)
	now := start
	for range 40 {
		turns.Carry(now, holder, start.Add(timeout))
		if got := drain(turns, now); len(got) > 0 {
			t.Fatalf("due after %s: %v", now.Sub(start), got)
		}
		now = now.Add(24 * time.Millisecond)
	}
	now = start.Add(time.Second)
	turns.Carry(now, holder, start.Add(timeout))
	want := map[cregress.Flow]cregress.Verdict{patient: cregress.VerdictOpen, hasty: cregress.VerdictRefuse}
	if diff := cmp.Diff(want, drain(turns, now), equateAddrs); diff != "" {
		t.Errorf("due after a second (-want +got):\n%s", diff)
	}
}

// TestUploadOfAnotherBalancer checks that an upload whose opening wasn't seen is carried
// with a turn, and counted.
func TestUploadOfAnotherBalancer(t *testing.T) {
	turns := newTurns()
	turns.Arrive(start, requestOf(flowOf(1, 1), start))
	if !turns.Carry(start, flowOf(2, 1), start.Add(timeout)) || turns.Moved() != 1 {
		t.Errorf("no turn, or %d uploads counted", turns.Moved())
	}
}

// TestUploadsAreBounded checks that state is bounded when many flows send packets.
func TestUploadsAreBounded(t *testing.T) {
	turns := newTurns()
	for account := range byte(100) {
		for port := range uint16(100) {
			turns.Carry(start, flowOf(account, port), start.Add(timeout))
		}
	}
	if open, _ := turns.Counts(); open > 4096 {
		t.Errorf("%d uploads are remembered", open)
	}
}
