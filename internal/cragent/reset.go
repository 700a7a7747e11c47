package cragent

import (
	"time"

	"cardamomring.dev/internal/crroute"
)

const (
	// minResetTriggerLen is the minimum length in bytes of a datagram of an
	// unknown connection that QUIC answers with a stateless reset.
	minResetTriggerLen = 43
	// maxResetsPerSecond bounds the datagrams that are padded, which bounds a
	// loop of resets between two endpoints.
	maxResetsPerSecond = 10_000
)

// resetPadder pads short datagrams of connections that an earlier process of an
// agent held. QUIC ignores datagrams of unknown connections below
// minResetTriggerLen, so that two endpoints don't reset each other endlessly. A
// caller that waits for an answer sends only such short datagrams; without a
// reset it would detect the loss only by its idle timeout. A resetPadder is not
// safe for concurrent use.
type resetPadder struct {
	// issued reports whether this process of the agent issued a connection ID.
	issued func(id crroute.ConnID) bool

	sealer      *crroute.Sealer
	buf         [minResetTriggerLen]byte
	windowStart time.Time
	count       int
}

// pad returns the datagram, padded if it must trigger a stateless reset.
func (r *resetPadder) pad(payload []byte, head *crroute.Packet, now time.Time) []byte {
	if head.LongHeader || len(payload) >= minResetTriggerLen {
		return payload
	}
	id, ok := r.sealer.OpenConnID(head.DestID)
	if !ok || r.issued(id) || !r.allow(now) {
		return payload
	}
	n := copy(r.buf[:], payload)
	clear(r.buf[n:])
	return r.buf[:]
}

// allow counts a datagram and reports whether it is within maxResetsPerSecond.
func (r *resetPadder) allow(now time.Time) bool {
	if now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.count = now, 0
	}
	r.count++
	return r.count <= maxResetsPerSecond
}
