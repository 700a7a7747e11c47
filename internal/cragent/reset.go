package cragent

import (
	"time"

	"cardamomring.dev/internal/crroute"
)

const (
	// minResetTriggerLen is the length that a datagram of an unknown connection
	// needs for QUIC to answer it with a stateless reset, in bytes.
	minResetTriggerLen = 43
	// maxResetsPerSecond is how many datagrams are lengthened in a second.
	maxResetsPerSecond = 10_000
)

// resetPadder lengthens short datagrams of connections that ended with a former
// life of an agent. QUIC answers datagrams below resetTrigger with nothing,
// lest two endpoints reset each other for ever; but a caller that waits sends
// only such ones and would learn of the loss by its idle time-out. The bound
// for each second keeps a loop of resetPadder from growing. It is for one
// goroutine.
type resetPadder struct {
	// issued reports whether a connection ID is of this life of the agent.
	issued func(id crroute.ConnID) bool

	sealer      *crroute.Sealer
	buf         [minResetTriggerLen]byte
	windowStart time.Time
	count       int
}

// pad returns the datagram, longer if it is to be answered by a reset.
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

// allow counts against resetsMax.
func (r *resetPadder) allow(now time.Time) bool {
	if now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.count = now, 0
	}
	r.count++
	return r.count <= maxResetsPerSecond
}
