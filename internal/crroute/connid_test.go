package crroute_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/pkg/crdoc"
)

// secrets maps names of key files to their contents.
var secrets = map[string]string{
	"one": strings.Repeat("01", 32), "two": strings.Repeat("02", 32) + "\n", "short": "0102",
}

// readSecret returns the content of a key file in secrets.
func readSecret(name string) ([]byte, error) {
	text, ok := secrets[name]
	if !ok {
		return nil, fmt.Errorf("no file %q", name)
	}
	return []byte(text), nil
}

// newSealer returns a Sealer with the named keys, the primary key first. Key
// "one" has ID 1 and key "two" has ID 2.
func newSealer(tb testing.TB, names ...string) *crroute.Sealer {
	tb.Helper()
	ids := map[string]int{"one": 1, "two": 2}
	var keys []crdoc.Key
	for _, name := range names {
		keys = append(keys, crdoc.Key{ID: ids[name], File: name})
	}
	ring, err := crroute.LoadKeyring(keys, readSecret)
	if err != nil {
		tb.Fatal(err)
	}
	return crroute.NewSealer(ring)
}

func TestConnIDRoundTrip(t *testing.T) {
	s := newSealer(t, "one")
	rapid.Check(t, func(t *rapid.T) {
		want := crroute.ConnID{
			Agent: rapid.Uint32().Draw(t, "agent"), ServiceTag: rapid.Uint32().Draw(t, "tag"),
			Nonce: rapid.Uint64Max(1<<40-1).Draw(t, "nonce"),
		}
		b := s.AppendConnID(nil, want)
		got, ok := s.OpenConnID(b)
		if diff := cmp.Diff(want, got); diff != "" || !ok || len(b) != crroute.ConnIDLen {
			t.Errorf("ok %v, length %d\n%s", ok, len(b), diff)
		}
	})
}

func TestConnIDKeyRotation(t *testing.T) {
	id := crroute.ConnID{Agent: 7, ServiceTag: 8, Nonce: 9}
	old := newSealer(t, "one").AppendConnID(nil, id)
	rotated := newSealer(t, "two", "one").AppendConnID(nil, id)
	for _, test := range []struct {
		name string
		keys []string
		id   []byte
		want bool
	}{
		{"ID under the new key, new key added as secondary", []string{"one", "two"}, rotated, true},
		{"ID under the old key, new key made primary", []string{"two", "one"}, old, true},
		{"ID under the old key, old key removed", []string{"two"}, old, false},
		{"ID under the new key, new key not added yet", []string{"one"}, rotated, false},
	} {
		if _, got := newSealer(t, test.keys...).OpenConnID(test.id); got != test.want {
			t.Errorf("%s: opened %v, want %v", test.name, got, test.want)
		}
	}
}

func TestConnIDForged(t *testing.T) {
	s := newSealer(t, "one", "two")
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 100_000 {
		b := s.AppendConnID(nil, crroute.ConnID{Agent: 1, ServiceTag: 2, Nonce: uint64(i)})
		bit := random.IntN(8 * len(b))
		b[bit/8] ^= 1 << (bit % 8)
		if id, ok := s.OpenConnID(b); ok {
			t.Fatalf("bit %d flipped: opened as %+v", bit, id)
		}
	}
}

func TestConnIDsDifferAcrossNonceOverflow(t *testing.T) {
	s := newSealer(t, "one")
	seen := map[string]bool{}
	nonce := uint64(1<<40 - 500)
	for range 1000 {
		nonce = crroute.NextNonce(nonce)
		seen[string(s.AppendConnID(nil, crroute.ConnID{Agent: 1, Nonce: nonce}))] = true
	}
	if diff := cmp.Diff(1000, len(seen)); diff != "" {
		t.Error(diff)
	}
}

func TestLoadKeyringErrors(t *testing.T) {
	_, err := crroute.LoadKeyring([]crdoc.Key{
		{ID: 1, File: "one"}, {ID: 1, File: "two"}, {ID: 8, File: "one"}, {ID: 2, File: "short"}, {ID: 3, File: "none"},
	}, readSecret)
	want := "keys[1]: id 1 is used twice\nkeys[2]: id 8: want 0 to 7\n" +
		"keys[3]: id 2: want 32 bytes in hexadecimal\nkeys[4]: no file \"none\""
	if diff := cmp.Diff(want, fmt.Sprint(err)); diff != "" {
		t.Error(diff)
	}
}

func TestMAC(t *testing.T) {
	one, two, both := newSealer(t, "one"), newSealer(t, "two"), newSealer(t, "two", "one")
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 1, 80).Draw(t, "header")
		mac := one.MAC(b)
		if !one.Verify(b, mac[:]) || !both.Verify(b, mac[:]) || two.Verify(b, mac[:]) {
			t.Error("a MAC does not verify under its own key, or verifies under another key")
		}
		i := rapid.IntRange(0, len(b)-1).Draw(t, "changed")
		b[i] ^= 0x40
		if one.Verify(b, mac[:]) || one.Verify(append(b, 0), mac[:]) {
			t.Error("the MAC of a header verifies for a changed header")
		}
	})
}

func FuzzOpenConnID(f *testing.F) {
	s := newSealer(f, "one", "two")
	f.Add(s.AppendConnID(nil, crroute.ConnID{Agent: 1, ServiceTag: 2, Nonce: 3}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		id, ok := s.OpenConnID(b)
		if !ok {
			return
		}
		again, same := s.OpenConnID(newSealer(t, "one", "two").AppendConnID(nil, id))
		if diff := cmp.Diff(id, again); diff != "" || !same {
			t.Errorf("an opened ID does not round-trip\n%s", diff)
		}
	})
}

func FuzzReadPacket(f *testing.F) {
	s := newSealer(f, "one")
	id := s.AppendConnID(nil, crroute.ConnID{Agent: 1})
	f.Add(append([]byte{0x40}, id...))
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, crroute.ConnIDLen}, id...))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 21})
	f.Add([]byte{0x80, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		packet, reason := crroute.ReadPacket(b)
		if reason != crroute.ReasonNone {
			return
		}
		if len(packet.DestID) > 20 || packet.LongHeader != (b[0]&0x80 != 0) || !packet.LongHeader && len(packet.DestID) != crroute.ConnIDLen {
			t.Errorf("read %+v", packet)
		}
	})
}
