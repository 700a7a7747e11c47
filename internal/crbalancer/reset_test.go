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

// TestShortDatagramOfPreviousProcessIsReset sends an agent a datagram of a flow
// that a previous process of the agent held. A caller that waits for an answer
// sends only datagrams that are too short for QUIC to answer with a reset. The
// agent must reset such a caller nevertheless.
func TestShortDatagramOfPreviousProcessIsReset(t *testing.T) {
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
	returnAddr := netip.MustParseAddrPort(socket.LocalAddr().String())
	member := c.memberByName("agent")
	sealer := crroute.NewSealer(keys)
	id := sealer.AppendConnID(nil, crroute.ConnID{Agent: member.Num, ServiceTag: crroute.ServiceTag(serviceName), Nonce: 1})
	datagram := append(append([]byte{0x40}, id...), bytes.Repeat([]byte{7}, 20)...)
	env := crwire.Envelope{
		Kind: crwire.EnvelopeForward, Service: []byte(serviceName), Owned: true, Payload: datagram, ChainLen: 1,
		Caller: netip.MustParseAddrPort("192.0.2.1:4000"), ReturnAddr: returnAddr,
	}
	env.Chain[0] = member.Num
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(member.DatagramAddr))
	buf := make([]byte, 2048)
	for deadline := time.Now().Add(testTimeout); ; {
		// An agent drops datagrams until it receives its number, slightly after
		// control has registered it. The datagram is therefore repeated, as
		// waiting callers do.
		if _, err := socket.WriteToUDP(crwire.AppendEnvelope(nil, &env, sealer.MAC), to); err != nil {
			t.Fatal(err)
		}
		if err := socket.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := socket.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			continue
		}
		if err != nil {
			t.Fatalf("no reset received: %v", err)
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

// memberByName returns an agent's membership at control.
func (c *cluster) memberByName(name string) crwire.Member {
	c.t.Helper()
	for _, m := range c.control.source.View().Members {
		if m.Name == name {
			return m
		}
	}
	c.t.Fatalf("%s is not a member", name)
	return crwire.Member{}
}
