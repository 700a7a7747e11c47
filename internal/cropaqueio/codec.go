// Package cropaqueio runs the roles that carry opaque flows: sockets, timers, the
// feed and the announcements around the decisions of cropaque.
package cropaqueio

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cropaque"
)

// Codec reads and writes the headers of the packets that callers and backend
// servers exchange. The roles know no format of their own.
type Codec struct {
	// Decode reads a packet's header; false when the bytes are no packet.
	Decode func(data []byte) (cropaque.Packet, bool)
	// EncodeReset returns a packet that tells the caller of a flow that the flow is
	// lost; seq is what the caller last acknowledged.
	EncodeReset func(key cropaque.Key, seq uint32) []byte
	// ClearReturned returns a packet that a backend server gave back in the form that
	// another one takes.
	ClearReturned func(data []byte) []byte
}

// newDatagrams returns the counter of datagrams that both roles have.
func newDatagrams() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "cardamomring", Subsystem: "opaque", Name: "datagrams_total",
		Help: "Datagrams by where they came from.",
	}, []string{"from"})
}
