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

// sum stands for the authenticator: it depends on every byte.
func sum(header []byte) [crwire.EnvelopeMACLen]byte {
	var out [crwire.EnvelopeMACLen]byte
	for i, b := range header {
		out[i%len(out)] = out[i%len(out)]*31 + b + 1
	}
	return out
}

// verify checks what sum made.
func verify(header, mac []byte) bool {
	want := sum(header)
	return slices.Equal(want[:], mac)
}

// compareAddr compares addresses.
var compareAddr = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// forward returns an envelope of a balancer.
func forward() crwire.Envelope {
	return crwire.Envelope{
		Service: []byte("loftbook"), Caller: netip.MustParseAddrPort("192.0.2.1:4242"),
		ReturnAddr: netip.MustParseAddrPort("[2001:db8::1]:9"), Revision: 1 << 40, Owned: true,
		Chain: [crwire.ChainMax]uint32{7, 8, 9}, ChainLen: 3, AcceptFrom: 1, Position: 2, Payload: []byte("datagram"),
	}
}

// drawAddr draws an address of either family.
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
		b := crwire.AppendEnvelope(nil, &want, sum)
		var got crwire.Envelope
		if err := crwire.OpenEnvelope(b, &got, verify); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, compareAddr); diff != "" {
			t.Error(diff)
		}
	})
}

func TestEnvelopeBad(t *testing.T) {
	change := func(f func(e *crwire.Envelope)) []byte {
		e := forward()
		f(&e)
		return crwire.AppendEnvelope(nil, &e, sum)
	}
	whole := change(func(*crwire.Envelope) {})
	version := slices.Clone(whole)
	version[0]++
	forged := slices.Clone(whole)
	forged[20]++
	for _, test := range []struct {
		name string
		b    []byte
		want error
	}{
		{"whole", whole, nil},
		{"answer", change(func(e *crwire.Envelope) { e.Kind, e.ChainLen = crwire.EnvelopeAnswer, 0 }), nil},
		{"empty", nil, crwire.ErrEnvelopeShort},
		{"cut in the header", whole[:30], crwire.ErrEnvelopeShort},
		{"version", version, crwire.ErrEnvelopeVersion},
		{"forged", forged, crwire.ErrEnvelopeForged},
		{"position beyond the chain", change(func(e *crwire.Envelope) { e.Position = 3 }), crwire.ErrEnvelopeHeader},
		{"accept beyond the chain", change(func(e *crwire.Envelope) { e.AcceptFrom = 4 }), crwire.ErrEnvelopeHeader},
		{"no caller", change(func(e *crwire.Envelope) { e.Caller = netip.AddrPort{} }), crwire.ErrEnvelopeHeader},
		{"no way back", change(func(e *crwire.Envelope) { e.ReturnAddr = netip.AddrPort{} }), crwire.ErrEnvelopeHeader},
		{"kind", change(func(e *crwire.Envelope) { e.Kind = 9 }), crwire.ErrEnvelopeHeader},
		{"long name", change(func(e *crwire.Envelope) { e.Service = make([]byte, 64) }), crwire.ErrEnvelopeHeader},
		{"no service", change(func(e *crwire.Envelope) { e.Service = nil }), crwire.ErrEnvelopeHeader},
		{"answer with a chain", change(func(e *crwire.Envelope) { e.Kind = crwire.EnvelopeAnswer }), crwire.ErrEnvelopeHeader},
	} {
		var e crwire.Envelope
		if err := crwire.OpenEnvelope(test.b, &e, verify); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
}

func FuzzOpenEnvelope(f *testing.F) {
	e := forward()
	f.Add(crwire.AppendEnvelope(nil, &e, sum))
	f.Add(crwire.AppendEnvelope(nil, &crwire.Envelope{Kind: crwire.EnvelopeNotice, Revision: 3}, sum))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got, again crwire.Envelope
		if crwire.OpenEnvelope(b, &got, func(_, _ []byte) bool { return true }) != nil {
			return
		}
		if err := crwire.OpenEnvelope(crwire.AppendEnvelope(nil, &got, sum), &again, verify); err != nil {
			t.Fatalf("%+v doesn't open again: %v", got, err)
		}
		if diff := cmp.Diff(got, again, compareAddr); diff != "" {
			t.Error(diff)
		}
	})
}
