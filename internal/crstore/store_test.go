package crstore_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
	"cardamomring.dev/internal/crstore/crdisk"
)

// open opens a store on a disk.
func open(folder *crstore.Folder) (*crstore.Store, crstore.State, error) {
	s := &crstore.Store{Folder: folder, Rand: func() uint64 { return 7 }}
	state, err := s.Open()
	return s, state, err
}

// entries returns n entries from an index on.
func entries(first uint64, n int) []crquorum.Entry {
	var out []crquorum.Entry
	for i := range uint64(n) {
		out = append(out, crquorum.Entry{Index: first + i, Term: 2, Data: fmt.Appendf(nil, "data-%d", first+i)})
	}
	return out
}

// What was synced is there after any crash; of what was not, whole writes are
// there or nothing.
func TestStoreCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		disk := crdisk.New(rnd.IntN)
		want := crstore.State{Incarnation: 7}
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			s, got, err := open(disk.Folder())
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(want, "TornBytes")); d != "" {
				t.Fatal(d)
			}
			disk.OpsUntilCrash = rapid.IntRange(1, 30).Draw(t, "operations")
			for err == nil {
				next := want
				if rnd.IntN(4) == 0 {
					index := rnd.Uint64N(20) + 1
					next.Snapshot = &crquorum.Snapshot{Index: index, Term: 2, Data: []byte("state")}
					next.Entries = entries(index+1, rnd.IntN(3))
					err = s.Replace(next.HardState, *next.Snapshot, next.Entries)
				} else {
					next.HardState = crquorum.HardState{Term: rnd.Uint64N(9), Vote: 2, Cluster: 3}
					at := 0
					if len(want.Entries) > 0 {
						at = rnd.IntN(len(want.Entries) + 1)
					}
					first := uint64(1)
					if want.Snapshot != nil {
						first = want.Snapshot.Index + 1
					}
					added := entries(first+uint64(at), 1+rnd.IntN(3))
					next.Entries = append(append([]crquorum.Entry(nil), want.Entries[:at]...), added...)
					err = s.Append(&next.HardState, added)
				}
				if err == nil {
					want = next
				} else if again := s.Append(&next.HardState, nil); !errors.Is(again, crstore.ErrBroken) {
					t.Fatalf("after %v the store took a write: %v", err, again)
				} else if disk.Crash(); holds(disk, next) {
					want = next
				}
			}
		}
	})
}

// holds says whether a disk holds a state.
func holds(disk *crdisk.Disk, want crstore.State) bool {
	s, got, err := open(disk.Folder())
	if err != nil {
		return false
	}
	_ = s.Close()
	return cmp.Equal(want, got, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(want, "TornBytes"))
}

// Any changed byte before the last frame is refused with file and offset.
func TestStoreCorruptMiddle(t *testing.T) {
	disk := crdisk.New(func(int) int { return 0 })
	s, _, err := open(disk.Folder())
	for i := uint64(1); i <= 3 && err == nil; i++ {
		err = s.Append(nil, entries(i, 1))
	}
	if err != nil {
		t.Fatal(err)
	}
	last := len(disk.Bytes("log")) - len("data-3") - 25
	for at := range last {
		disk.Crash()
		disk.Bytes("log")[at] ^= 0x40
		_, _, err := open(disk.Folder())
		var corrupt *crstore.CorruptError
		if !errors.As(err, &corrupt) || corrupt.File != "log" || corrupt.Offset > int64(at) {
			t.Errorf("byte %d: %v", at, err)
		}
		disk.Bytes("log")[at] ^= 0x40
	}
}

// A full disk and a failed sync end the use of a store; what was synced stays.
func TestStoreDiskFails(t *testing.T) {
	for name, fail := range map[string]func(d *crdisk.Disk){
		"full": func(d *crdisk.Disk) { d.FreeBytes = 10 },
		"sync": func(d *crdisk.Disk) { d.SyncError = syscall.EIO },
	} {
		disk := crdisk.New(func(int) int { return 0 })
		s, _, _ := open(disk.Folder())
		if err := s.Append(nil, entries(1, 2)); err != nil {
			t.Fatal(err)
		}
		fail(disk)
		err := s.Append(nil, entries(3, 1))
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: %v", name, err)
		}
		disk.FreeBytes = -1
		if err := s.Append(nil, entries(3, 1)); !errors.Is(err, crstore.ErrBroken) {
			t.Errorf("%s: the store went on: %v", name, err)
		}
		disk.Crash()
		_, state, err := open(disk.Folder())
		if d := cmp.Diff(entries(1, 2), state.Entries); d != "" || err != nil {
			t.Errorf("%s: %v %s", name, err, d)
		}
	}
}

// One process uses a folder; the state survives on the real file system.
func TestStoreFolder(t *testing.T) {
	dir := t.TempDir() + "/data"
	folder, err := crstore.OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := open(folder); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
	hard := crquorum.HardState{Term: 2, Vote: 1, Cluster: 7}
	snap := crquorum.Snapshot{Index: 4, Term: 2, Data: []byte("state")}
	err = errors.Join(s.Append(&hard, entries(1, 5)), s.Replace(hard, snap, entries(4, 2)),
		s.Append(nil, entries(6, 1)), s.Close())
	if err != nil {
		t.Fatal(err)
	}
	s, got, err := open(folder)
	if err = errors.Join(err, s.Close()); err != nil {
		t.Fatal(err)
	}
	want := crstore.State{Incarnation: 7, HardState: hard, Snapshot: &snap, Entries: entries(4, 3)}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// FuzzDecode: no input makes the decoder fail otherwise than by its error, and
// what it accepts it accepts again when the torn tail is cut.
func FuzzDecode(f *testing.F) {
	disk := crdisk.New(func(int) int { return 0 })
	s, _, _ := open(disk.Folder())
	f.Add(disk.Bytes("log"))
	_ = s.Append(&crquorum.HardState{Term: 1, Vote: 2, Cluster: 3}, entries(1, 2))
	f.Add(disk.Bytes("log"))
	f.Add(disk.Bytes("log")[:len(disk.Bytes("log"))-3])
	_ = s.Replace(crquorum.HardState{Term: 2}, crquorum.Snapshot{Index: 1, Term: 1, Data: []byte("x")}, entries(2, 1))
	f.Add(disk.Bytes("log"))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, end, _, err := crstore.Decode(data)
		if err != nil {
			return
		}
		again, _, _, err := crstore.Decode(data[:end])
		again.TornBytes = state.TornBytes
		if d := cmp.Diff(state, again); d != "" || err != nil {
			t.Errorf("%v %s", err, d)
		}
	})
}

// BenchmarkRecovery opens a folder by the number of entries in its log.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			folder, err := crstore.OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := open(folder)
			for at := 0; at < n && err == nil; at += 1000 {
				batch := entries(uint64(at)+1, 1000)
				for i := range batch {
					batch[i].Data = make([]byte, 200)
				}
				err = s.Append(nil, batch)
			}
			if err = errors.Join(err, s.Close()); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				s, _, err := open(folder)
				if err = errors.Join(err, s.Close()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReplace writes a snapshot by its size.
func BenchmarkReplace(b *testing.B) {
	for _, mb := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(mb, "MB"), func(b *testing.B) {
			folder, err := crstore.OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := open(folder)
			snap := crquorum.Snapshot{Index: 1, Term: 1, Data: make([]byte, mb<<20)}
			for b.Loop() {
				if err = errors.Join(err, s.Replace(crquorum.HardState{}, snap, nil)); err != nil {
					b.Fatal(err)
				}
			}
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
