package cropaque_test

import (
	"time"

	"cardamomring.dev/internal/cropaque"
)

const (
	// headerBytes is the size of the headers of a datagram below its data, and
	// packetHeadBytes the head of a flow's packet in the data.
	headerBytes, packetHeadBytes = 28, 32
	// defaultMaxQueue is how much work may wait at a bottleneck unless the
	// deployment says otherwise.
	defaultMaxQueue = time.Second
)

// bottleneck carries one datagram at a time, in order of arrival.
type bottleneck struct {
	freeAt time.Time
	// maxQueue is how much work may wait. Datagrams beyond it are lost, as in the
	// buffer of a socket or a link.
	maxQueue time.Duration
	// capacity is how many times as fast as the deployment's it is; 0 means the same.
	capacity float64
}

// pass returns after which time a datagram that arrives now has passed, and
// whether it isn't lost.
func (l *bottleneck) pass(now time.Time, cost time.Duration) (time.Duration, bool) {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.freeAt.Sub(now) > l.maxQueue {
		return 0, false
	}
	if l.capacity > 0 {
		cost = time.Duration(float64(cost) / l.capacity)
	}
	l.freeAt = l.freeAt.Add(cost)
	return l.freeAt.Sub(now), true
}

// linkTime returns how long a balancer's link takes for a frame.
func (sim *simulation) linkTime(f *cropaque.Frame) time.Duration {
	if sim.size.linkBytes == 0 {
		return 0
	}
	return sim.transferTime(sim.frameSize(f))
}

// transferTime returns how long a balancer's link takes for a datagram of a size in
// bytes.
func (sim *simulation) transferTime(size int) time.Duration {
	if sim.size.linkBytes == 0 {
		return 0
	}
	return time.Duration(float64(size) / sim.size.linkBytes * float64(time.Second))
}

// frameSize returns the size of a frame on the link, in bytes. The simulation
// stores packets elsewhere, so their size is added.
func (sim *simulation) frameSize(f *cropaque.Frame) int {
	n := headerBytes + len(f.Append(nil))
	if len(f.Data) > 0 {
		n += packetHeadBytes + sim.decode(f.Data).Size
	}
	return n
}

// count counts a frame to or from the balancer.
func (b *balancer) count(f *cropaque.Frame) {
	if b.sim.size.linkBytes == 0 {
		return
	}
	b.frames[f.Kind]++
	b.frameBytes[f.Kind] += b.sim.frameSize(f)
}

// readinessBytes is the size of a check of a balancer's readiness, or of its answer, on
// the link.
const readinessBytes = 150

// pollReadiness is the fabric's check of the balancer. It is lost in a full queue. After
// two that fail, the balancer is out of rotation until one succeeds.
func (b *balancer) pollReadiness() {
	cost := b.sim.transferTime(readinessBytes)
	_, received := b.ingress.pass(b.sim.now, cost)
	_, sent := b.egress.pass(b.sim.now, cost)
	b.missedPolls++
	if received && sent {
		b.missedPolls = 0
	}
	b.inRotation = !b.down && b.steering.Ready() && b.missedPolls < 2
}

// receive runs handle when the balancer's link, which takes linkTime for it, and
// its processor have passed a datagram, unless it is lost or the balancer is down
// by then.
func (b *balancer) receive(linkTime time.Duration, handle func()) {
	sim := b.sim
	if b.down {
		return
	}
	received, ok := b.ingress.pass(sim.now, linkTime)
	if !ok {
		return
	}
	sim.after(received, func() {
		handled, ok := b.processor.pass(sim.now, sim.size.datagramCost)
		if !ok {
			return
		}
		sim.after(handled, func() {
			if !b.down {
				handle()
			}
		})
	})
}
