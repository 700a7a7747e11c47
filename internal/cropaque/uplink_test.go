package cropaque_test

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cardamomring.dev/internal/cregress"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// Addresses of the uplink's tests.
var (
	uploadAddr = netip.MustParseAddrPort("198.18.0.2:443")
	intakeAddr = netip.MustParseAddrPort("10.0.0.9:7660")
)

// thinLink is the rate of a thin link in bytes a second, on which one upload at a time
// has a turn, and wholePacket the data of a whole packet.
const thinLink, wholePacket = 1.5e6 / 8, 1200

// uplinkRig drives a Steering whose only agent takes all flows.
type uplinkRig struct {
	now      time.Time
	steering *cropaque.Steering
	// answers are the agent's answers that were not handled yet.
	answers []cropaque.Frame
	// frames are the frames sent to the agent, resets the flows that were reset.
	frames []cropaque.Frame
	resets []cropaque.Key
	events []string
}

// newUplinkRig returns a rig whose link carries rate bytes a second, with a route for
// uploads if upload is set.
func newUplinkRig(rate float64, upload bool) *uplinkRig {
	r := &uplinkRig{now: time.Unix(1_700_000_000, 0)}
	r.steering = &cropaque.Steering{
		Zone: "a", LinkBytes: rate, Random: func() float64 { return 0 }, ViewFresh: func() bool { return true },
		ResetFlow:   func(key cropaque.Key, _ uint32) { r.resets = append(r.resets, key) },
		LogDecision: func(d cropaque.Decision) { r.events = append(r.events, d.Event) },
		Send: func(_ netip.AddrPort, f *cropaque.Frame) {
			r.frames = append(r.frames, *f)
			switch f.Kind {
			case cropaque.FrameOffer:
				r.answers = append(r.answers, cropaque.Frame{Kind: cropaque.FrameTaken, Key: f.Key})
			case cropaque.FrameSeek:
				r.answers = append(r.answers, cropaque.Frame{Kind: cropaque.FrameOwn, Key: f.Key})
			case cropaque.FramePing:
				r.answers = append(r.answers, cropaque.Frame{Kind: cropaque.FramePong})
			}
		},
	}
	r.steering.Init()
	share := []crdoc.Share{{Service: "intake", Weight: 1}}
	r.steering.SetView(r.now, &crwire.View{
		Revision: 1, Members: map[uint32]crwire.Member{
			1: {Name: "i", Service: "intake", Zone: "a", DatagramAddr: intakeAddr.String(), State: crwire.MemberActive},
		},
		Catalog: &crdoc.Catalog{Version: 1, Services: []crdoc.OpaqueService{{Name: "intake"}}, Routes: []crdoc.Route{
			{Name: "upload", Address: uploadAddr, Upload: upload, Timeout: crdoc.Duration(6 * time.Second), Target: crdoc.Duration(800 * time.Millisecond), Shares: share},
			{Name: "small", Address: routeAddr, Timeout: crdoc.Duration(time.Second), Target: crdoc.Duration(100 * time.Millisecond), Shares: share},
		}},
	})
	return r
}

// packet handles a packet of a caller, and what the agent answers.
func (r *uplinkRig) packet(caller int, p cropaque.Packet) {
	p.From = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), 1024)
	if !p.To.IsValid() {
		p.To = uploadAddr
	}
	r.steering.HandlePacket(r.now, p, make([]byte, 32+p.Size))
	r.handleAnswers()
}

// handleAnswers handles the agent's answers.
func (r *uplinkRig) handleAnswers() {
	for len(r.answers) > 0 {
		f := r.answers[0]
		r.answers = r.answers[1:]
		r.steering.HandleFrame(r.now, intakeAddr, &f)
	}
}

// run lets time pass.
func (r *uplinkRig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tickInterval)
		r.steering.Tick(r.now)
		r.handleAnswers()
	}
}

// countFrames counts the frames of a kind.
func (r *uplinkRig) countFrames(kind cropaque.FrameKind) int {
	n := 0
	for _, f := range r.frames {
		if f.Kind == kind {
			n++
		}
	}
	return n
}

// window sends a window of a caller's upload from a sequence number on.
func (r *uplinkRig) window(caller int, seq uint32) {
	for i := range uint32(16) {
		r.packet(caller, cropaque.Packet{Ack: true, Acked: 1, Seq: seq + i*wholePacket, Size: wholePacket})
	}
}

// TestUploadsOpenInTurn checks that an upload is opened when the one before it has
// ended or pauses, or in time for its caller, and that the copies of its opening packet
// don't open it earlier.
func TestUploadsOpenInTurn(t *testing.T) {
	r := newUplinkRig(thinLink, true)
	r.packet(1, cropaque.Packet{Open: true})
	r.window(1, 1)
	r.packet(2, cropaque.Packet{Open: true})
	r.packet(3, cropaque.Packet{Open: true})
	r.packet(3, cropaque.Packet{Open: true, Age: 200 * time.Millisecond})
	offers := []int{r.countFrames(cropaque.FrameOffer)}
	r.packet(1, cropaque.Packet{Ack: true, End: true, Seq: 1 + 16*wholePacket})
	offers = append(offers, r.countFrames(cropaque.FrameOffer))
	for i := range uint32(12) {
		r.run(95 * time.Millisecond)
		r.window(2, 1+i*16*wholePacket)
	}
	offers = append(offers, r.countFrames(cropaque.FrameOffer))
	if diff := cmp.Diff([]int{1, 2, 3}, offers); diff != "" {
		t.Errorf("offers at first, after an end, and after 1.1 s (-want +got):\n%s\n%v", diff, r.events)
	}
}

// TestUrgentFramesPassUploads checks that opening packets and lookups are sent at once
// while windows of uploads wait, that the link isn't overrun, and that copies of what
// waits aren't sent.
func TestUrgentFramesPassUploads(t *testing.T) {
	r := newUplinkRig(thinLink, true)
	for caller := range 4 {
		r.packet(caller, cropaque.Packet{Ack: true, Acked: 1, Seq: 1})
		r.window(caller, 1)
		r.window(caller, 1)
	}
	carried := r.countFrames(cropaque.FrameCarry)
	r.packet(9, cropaque.Packet{Open: true, To: routeAddr})
	r.packet(10, cropaque.Packet{Ack: true, Acked: 1, To: routeAddr})
	if carried > 12 || r.countFrames(cropaque.FrameOffer) != 1 || r.countFrames(cropaque.FrameSeek) != 5 {
		t.Errorf("%d packets, %d offers and %d lookups were sent at once", carried,
			r.countFrames(cropaque.FrameOffer), r.countFrames(cropaque.FrameSeek))
	}
	r.run(time.Second)
	seen := map[string]bool{}
	for _, f := range r.frames {
		if f.Kind == cropaque.FrameCarry && len(f.Data) > wholePacket {
			seen[f.Key.Caller.String()] = true
		}
	}
	stats := r.steering.UplinkStats()
	if diff := cmp.Diff([]any{4, 0, uint64(4)}, []any{len(seen), stats.Packets, stats.Moved}); diff != "" {
		t.Errorf("callers carried, packets waiting, uploads moved (-want +got):\n%s", diff)
	}
	copies := stats.Dropped[cregress.DropCopy]
	delete(stats.Dropped, cregress.DropCopy)
	if copies == 0 || slices.Max(slices.Collect(maps.Values(stats.Dropped))) > 0 || len(r.resets) > 0 {
		t.Errorf("%d copies and %v dropped, %d resets", copies, stats.Dropped, len(r.resets))
	}
}

// TestUnscheduledLink checks that without a known link, or without a route for uploads,
// windows of many callers are offered and carried at once and in the order of arrival.
func TestUnscheduledLink(t *testing.T) {
	type outcome struct {
		Frames []cropaque.Frame
		Events []string
		Stats  cropaque.UplinkStats
	}
	play := func(rate float64, upload bool) outcome {
		r := newUplinkRig(rate, upload)
		for caller := range 20 {
			r.packet(caller, cropaque.Packet{Open: true})
			r.window(caller, 1)
			r.packet(caller, cropaque.Packet{End: true})
		}
		r.run(time.Second)
		return outcome{r.frames, r.events, r.steering.UplinkStats()}
	}
	want := play(0, false)
	if len(want.Frames) != 20*(1+16+1) {
		t.Errorf("%d frames without a link or uploads", len(want.Frames))
	}
	for name, got := range map[string]outcome{"no link": play(0, true), "no uploads": play(thinLink, false)} {
		if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestUploadRefusal checks that uploads which the link can't carry in time are reset at
// once and before any agent got them, and that none is reset whose first copy may have
// opened it by way of another balancer.
func TestUploadRefusal(t *testing.T) {
	for name, age := range map[string]time.Duration{"first copy": 0, "later copy": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r := newUplinkRig(thinLink, true)
			for caller := range 200 {
				r.packet(caller, cropaque.Packet{Open: true, Age: age})
			}
			offered := map[cropaque.Key]bool{}
			for _, f := range r.frames {
				offered[f.Key] = true
			}
			for _, key := range r.resets {
				if offered[key] {
					t.Errorf("%s is reset although an agent got it", key.Caller)
				}
			}
			if (len(r.resets) > 0) != (age == 0) {
				t.Errorf("%d resets", len(r.resets))
			}
			if got := len(offered) + len(r.resets) + r.steering.UplinkStats().Waiting; got != 200 {
				t.Errorf("%d of 200 uploads are offered, reset or wait", got)
			}
		})
	}
}

// TestUnknownUploadsTakeNoTurn checks that packets of flows that no agent owns don't keep
// an upload from being opened.
func TestUnknownUploadsTakeNoTurn(t *testing.T) {
	r := newUplinkRig(thinLink, true)
	for caller := range 100 {
		r.steering.HandlePacket(r.now, cropaque.Packet{
			From: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, 0, byte(caller)}), 1), To: uploadAddr, Ack: true, Seq: 1, Size: wholePacket,
		}, make([]byte, wholePacket+32))
	}
	r.answers = nil
	r.packet(1, cropaque.Packet{Open: true})
	if got := r.countFrames(cropaque.FrameOffer); got != 1 {
		t.Errorf("%d offers", got)
	}
}

// TestMovedUploadKeepsItsWindow checks that a window that arrives while the owner of an
// upload is looked up is carried whole, and each packet once.
func TestMovedUploadKeepsItsWindow(t *testing.T) {
	r := newUplinkRig(thinLink, true)
	for range 2 {
		for i := range uint32(16) {
			data := make([]byte, wholePacket+32)
			data[0] = byte(i)
			r.steering.HandlePacket(r.now, cropaque.Packet{
				From: netip.MustParseAddrPort("100.64.0.1:1"), To: uploadAddr, Ack: true, Seq: 1 + i*wholePacket, Size: wholePacket,
			}, data)
		}
	}
	r.handleAnswers()
	seen := map[byte]bool{}
	for _, f := range r.frames {
		if f.Kind == cropaque.FrameCarry {
			seen[f.Data[0]] = true
		}
	}
	if got := []int{len(seen), r.countFrames(cropaque.FrameCarry)}; got[0] != 16 || got[1] > 20 {
		t.Errorf("%d packets of the window in %d frames", got[0], got[1])
	}
}
