package crwire_test

import (
	"errors"
	"net/netip"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crwire"
)

// testMAC is a substitute for the real MAC. It depends on every byte of header.
func testMAC(header []byte) [crwire.EnvelopeMACLen]byte {
	var out [crwire.EnvelopeMACLen]byte
	for i, b := range header {
		out[i%len(out)] = out[i%len(out)]*31 + b + 1
	}
	return out
}

// verifyTestMAC reports whether mac is the testMAC of header.
func verifyTestMAC(header, mac []byte) bool {
	want := testMAC(header)
	return slices.Equal(want[:], mac)
}

// compareAddr compares addresses with ==.
var compareAddr = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// forwardEnvelope returns an envelope that a balancer forwards to an agent.
func forwardEnvelope() crwire.Envelope {
	return crwire.Envelope{
		Service: []byte("loftbook"), Caller: netip.MustParseAddrPort("192.0.2.1:4242"),
		ReturnAddr: netip.MustParseAddrPort("[2001:db8::1]:9"), Revision: 1 << 40, Owned: true,
		Chain: [crwire.ChainMax]uint32{7, 8, 9}, ChainLen: 3, AcceptFrom: 1, Position: 2, Payload: []byte("datagram"),
	}
}

// drawAddr draws an IPv4 or IPv6 address.
func drawAddr(t *rapid.T, label string) netip.AddrPort {
	n := rapid.SampledFrom([]int{4, 16}).Draw(t, label+" length")
	ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), n, n).Draw(t, label))
	return netip.AddrPortFrom(ip.Unmap(), rapid.Uint16().Draw(t, label+" port"))
}

func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := crwire.Envelope{
			Service:    rapid.SliceOfN(rapid.Byte(), 1, 63).Draw(t, "service"),
			Caller:     drawAddr(t, "caller"),
			ReturnAddr: drawAddr(t, "return"),
			Revision:   rapid.Uint64().Draw(t, "revision"),
			Sender:     rapid.Uint32().Draw(t, "sender"),
			Owned:      rapid.Bool().Draw(t, "owned"),
			ChainLen:   rapid.IntRange(1, crwire.ChainMax).Draw(t, "len"),
			Payload:    rapid.SliceOfN(rapid.Byte(), 1, 1500).Draw(t, "payload"),
		}
		for i := range want.ChainLen {
			want.Chain[i] = rapid.Uint32().Draw(t, "agent")
		}
		want.AcceptFrom = rapid.IntRange(0, want.ChainLen).Draw(t, "accept")
		want.Position = rapid.IntRange(0, want.ChainLen-1).Draw(t, "position")
		b := crwire.AppendEnvelope(nil, &want, testMAC)
		var got crwire.Envelope
		if err := crwire.OpenEnvelope(b, &got, verifyTestMAC); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, compareAddr); diff != "" {
			t.Error(diff)
		}
	})
}

func TestOpenEnvelopeErrors(t *testing.T) {
	changed := func(f func(e *crwire.Envelope)) []byte {
		e := forwardEnvelope()
		f(&e)
		return crwire.AppendEnvelope(nil, &e, testMAC)
	}
	valid := changed(func(*crwire.Envelope) {})
	badVersion := slices.Clone(valid)
	badVersion[0]++
	forged := slices.Clone(valid)
	forged[20]++
	for _, test := range []struct {
		name string
		b    []byte
		want error
	}{
		{"valid", valid, nil},
		{"answer", changed(func(e *crwire.Envelope) { e.Kind, e.ChainLen = crwire.EnvelopeAnswer, 0 }), nil},
		{"empty", nil, crwire.ErrEnvelopeShort},
		{"truncated header", valid[:30], crwire.ErrEnvelopeShort},
		{"unsupported version", badVersion, crwire.ErrEnvelopeVersion},
		{"forged header", forged, crwire.ErrEnvelopeForged},
		{"position after the chain", changed(func(e *crwire.Envelope) { e.Position = 3 }), crwire.ErrEnvelopeHeader},
		{"accept index after the chain", changed(func(e *crwire.Envelope) { e.AcceptFrom = 4 }), crwire.ErrEnvelopeHeader},
		{"no caller", changed(func(e *crwire.Envelope) { e.Caller = netip.AddrPort{} }), crwire.ErrEnvelopeHeader},
		{"no return address", changed(func(e *crwire.Envelope) { e.ReturnAddr = netip.AddrPort{} }), crwire.ErrEnvelopeHeader},
		{"unknown kind", changed(func(e *crwire.Envelope) { e.Kind = 9 }), crwire.ErrEnvelopeHeader},
		{"service name too long", changed(func(e *crwire.Envelope) { e.Service = make([]byte, 64) }), crwire.ErrEnvelopeHeader},
		{"no service", changed(func(e *crwire.Envelope) { e.Service = nil }), crwire.ErrEnvelopeHeader},
		{"answer with a chain", changed(func(e *crwire.Envelope) { e.Kind = crwire.EnvelopeAnswer }), crwire.ErrEnvelopeHeader},
	} {
		var e crwire.Envelope
		if err := crwire.OpenEnvelope(test.b, &e, verifyTestMAC); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
}

func FuzzOpenEnvelope(f *testing.F) {
	e := forwardEnvelope()
	f.Add(crwire.AppendEnvelope(nil, &e, testMAC))
	f.Add(crwire.AppendEnvelope(nil, &crwire.Envelope{Kind: crwire.EnvelopeNotice, Revision: 3}, testMAC))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got, again crwire.Envelope
		if crwire.OpenEnvelope(b, &got, func(_, _ []byte) bool { return true }) != nil {
			return
		}
		if err := crwire.OpenEnvelope(crwire.AppendEnvelope(nil, &got, testMAC), &again, verifyTestMAC); err != nil {
			t.Fatalf("%+v does not open again: %v", got, err)
		}
		if diff := cmp.Diff(got, again, compareAddr); diff != "" {
			t.Error(diff)
		}
	})
}
