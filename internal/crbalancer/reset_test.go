package crbalancer_test

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

// TestShortDatagramOfAFormerLifeIsReset sends an agent what a waiting caller
// of its former life sends: a datagram too short for QUIC to answer. The
// caller must be told by a reset nevertheless.
func TestShortDatagramOfAFormerLifeIsReset(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 9})
	c.startAgent("agent", zones[0], 1)
	keys, err := crroute.LoadKeyring(c.settings("", "").Keys, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	back := netip.MustParseAddrPort(socket.LocalAddr().String())
	member := c.memberOf("agent")
	sealer := crroute.NewSealer(keys)
	id := sealer.AppendConnID(nil, crroute.ConnID{Agent: member.Num, ServiceTag: crroute.ServiceTag(ledger), Nonce: 1})
	ping := append(append([]byte{0x40}, id...), bytes.Repeat([]byte{7}, 20)...)
	env := crwire.Envelope{
		Kind: crwire.EnvelopeForward, Service: []byte(ledger), Owned: true, Payload: ping, ChainLen: 1,
		Caller: netip.MustParseAddrPort("192.0.2.1:4000"), ReturnAddr: back,
	}
	env.Chain[0] = member.Num
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(member.DatagramAddr))
	buf := make([]byte, 2048)
	for end := time.Now().Add(patience); ; {
		// An agent drops what comes before it has learned its number, which
		// control knows a moment earlier; callers that wait send again.
		if _, err := socket.WriteToUDP(crwire.AppendEnvelope(nil, &env, sealer.MAC), to); err != nil {
			t.Fatal(err)
		}
		if err := socket.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := socket.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(end) {
			continue
		}
		if err != nil {
			t.Fatalf("no reset: %v", err)
		}
		var answer crwire.Envelope
		if err := crwire.OpenEnvelope(buf[:n], &answer, sealer.Verify); err != nil {
			t.Fatal(err)
		}
		if answer.Kind == crwire.EnvelopeAnswer && answer.Caller == env.Caller {
			return
		}
	}
}

// memberOf returns an agent as control knows it.
func (c *cluster) memberOf(name string) crwire.Member {
	c.t.Helper()
	for _, m := range c.control.source.View().Members {
		if m.Name == name {
			return m
		}
	}
	c.t.Fatalf("%s is no member", name)
	return crwire.Member{}
}
