package cropaque_test

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/cropaque"
)

// load sends requests at a rate for a time.
func (w *world) load(rate float64, d time.Duration, repeats bool) {
	for at := time.Duration(0); at < d; at += time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second)) {
		w.after(at, func() {
			r := &request{came: w.now, repeats: repeats}
			w.requests = append(w.requests, r)
			w.try(r)
		})
	}
}

// try opens a flow for a request.
func (w *world) try(r *request) {
	r.tries++
	n := len(w.callers)
	key := cropaque.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 14), byte(n >> 6)}), uint16(1024+n%64)),
		Service: entrance,
	}
	at := &attempt{r: r, key: key}
	w.callers[key] = at
	r.attempts = append(r.attempts, at)
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.after(pause, func() {
			if !at.opened && !at.ended && w.waits(r) {
				w.toBalancer(at, cropaque.Packet{From: key.Caller, To: key.Service, Open: true, Seq: 7, Age: pause})
			}
		})
	}
	w.after(1400*time.Millisecond, func() {
		if !at.opened {
			w.end(at)
		}
	})
}

// waits says whether a caller still waits for its answer.
func (w *world) waits(r *request) bool {
	return r.done.IsZero() && !r.failed && w.now.Sub(r.came) < w.deadline
}

// toBalancer sends a caller's packet to a balancer that is up, by the flow's
// hash.
func (w *world) toBalancer(at *attempt, p cropaque.Packet) {
	data := w.encode(p)
	w.after(callerDelay, func() {
		var up []*balancer
		for _, b := range w.balancers {
			if !b.down || w.blind {
				up = append(up, b)
			}
		}
		h := int(at.key.Caller.Port()) * 31
		for _, c := range at.key.Caller.Addr().As4() {
			h = h*31 + int(c)
		}
		if b := up[h%len(up)]; !b.down {
			b.steering.HandlePacket(w.now, p, data)
		}
	})
}

// answer takes a packet of a backend server at the caller.
func (w *world) answer(from *agent, key cropaque.Key, p cropaque.Packet) {
	at := w.callers[key]
	if at == nil || at.ended || !w.waits(at.r) {
		return
	}
	switch {
	case p.Open && p.Ack && !at.opened:
		at.opened, at.isn, at.at = true, p.Seq, from
		at.r.opened = true
		w.ask(at, 200*time.Millisecond)
	case p.Reset:
		w.end(at)
	case p.End:
		at.ended = true
		at.r.done = w.now
		w.toBalancer(at, cropaque.Packet{From: key.Caller, To: key.Service, Ack: true, End: true, Acked: p.Seq + 600})
	}
}

// ask sends the request, and again until it is answered.
func (w *world) ask(at *attempt, pause time.Duration) {
	if at.ended || !w.waits(at.r) {
		return
	}
	w.toBalancer(at, cropaque.Packet{
		From: at.key.Caller, To: at.key.Service, Ack: true, Seq: 8, Acked: at.isn + 1, Size: 100,
	})
	w.after(pause, func() { w.ask(at, min(2*pause, 1600*time.Millisecond)) })
}

// reset tells a caller that its flow is lost.
func (w *world) reset(key cropaque.Key) {
	at := w.callers[key]
	if at != nil && at.opened && !at.ended && at.at != nil && !at.at.server.down && at.at.server.flows[key] != nil {
		w.brokenFlows++
	}
	w.after(callerDelay, func() {
		if at != nil && !at.ended && w.waits(at.r) {
			w.end(at)
		}
	})
}

// end ends an attempt without an answer; the caller tries again if it may.
func (w *world) end(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	r := at.r
	if !w.waits(r) {
		return
	}
	if r.tries > w.retries || at.opened && !r.repeats {
		r.failed = true
		return
	}
	w.after(10*time.Millisecond, func() { w.try(r) })
}

// share returns the part of the requests that came in a span of time and were
// answered within a time.
func (w *world) share(from, to time.Duration, within time.Duration) float64 {
	start := w.requests[0].came
	n, ok := 0, 0
	for _, r := range w.requests {
		if at := r.came.Sub(start); at < from || at >= to {
			continue
		}
		n++
		if !r.done.IsZero() && r.done.Sub(r.came) <= within {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n))
}
