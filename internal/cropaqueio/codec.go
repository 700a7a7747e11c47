// Package cropaqueio runs the balancer and the agent of opaque flows. It does
// the input and output around the decisions of cropaque: sockets, timers, logs,
// the feed from control and the announcements to control.
package cropaqueio

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cropaque"
)

// Codec reads and writes the headers of the packets that callers and backend
// servers exchange. Nothing else in this package depends on their format.
type Codec struct {
	// Decode reads a packet's header. It returns false if data is not a valid
	// packet.
	Decode func(data []byte) (cropaque.Packet, bool)
	// EncodeReset returns a packet that resets a flow towards its caller; seq
	// is the caller's last acknowledgement.
	EncodeReset func(key cropaque.Key, seq uint32) []byte
	// ClearReturned returns a copy of a packet that a backend server returned,
	// without the marks of its return, so that another backend server accepts
	// it.
	ClearReturned func(data []byte) []byte
}

// newDatagramCounter returns the datagram counter of a balancer or an agent.
func newDatagramCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "cardamomring", Subsystem: "opaque", Name: "datagrams_total",
		Help: "Datagrams by where they came from.",
	}, []string{"from"})
}
