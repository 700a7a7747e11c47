package crstore_test

import (
	"errors"
	"fmt"
	"io"
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

// openStore opens the store in a folder, with incarnation 7 if the folder is empty.
func openStore(folder *crstore.Folder) (*crstore.Store, crstore.State, error) {
	s := &crstore.Store{Folder: folder, Rand: func() uint64 { return 7 }}
	state, err := s.Open()
	return s, state, err
}

// newEntries returns n entries with consecutive indexes from first on.
func newEntries(first uint64, n int) []crquorum.Entry {
	var out []crquorum.Entry
	for i := range uint64(n) {
		out = append(out, crquorum.Entry{Index: first + i, Term: 2, Data: fmt.Appendf(nil, "data-%d", first+i)})
	}
	return out
}

// TestStoreCrashKeepsSyncedWrites injects crashes at random operations. Synced
// writes must survive, and the write during the crash must survive as a whole or
// not at all.
func TestStoreCrashKeepsSyncedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		disk := crdisk.New(rnd.IntN)
		want := crstore.State{Incarnation: 7}
		for range rapid.IntRange(1, 4).Draw(t, "starts") {
			s, got, err := openStore(disk.Folder())
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
					next.Entries = newEntries(index+1, rnd.IntN(3))
					err = s.Replace(next.HardState, *next.Snapshot, next.Entries)
				} else {
					next.HardState = crquorum.HardState{Term: rnd.Uint64N(9), Vote: 2, Cluster: 3, Commit: rnd.Uint64N(3)}
					kept := 0
					if len(want.Entries) > 0 {
						kept = rnd.IntN(len(want.Entries) + 1)
					}
					first := uint64(1)
					if want.Snapshot != nil {
						first = want.Snapshot.Index + 1
					}
					added := newEntries(first+uint64(kept), 1+rnd.IntN(3))
					next.Entries = append(append([]crquorum.Entry(nil), want.Entries[:kept]...), added...)
					err = s.Append(&next.HardState, added)
				}
				if err == nil {
					want = next
				} else if retryErr := s.Append(&next.HardState, nil); !errors.Is(retryErr, crstore.ErrBroken) {
					t.Fatalf("write after error %v: got %v, want ErrBroken", err, retryErr)
				} else if disk.Crash(); hasState(disk, next) {
					want = next
				}
			}
		}
	})
}

// hasState reports whether a store opened on a disk has the wanted state.
func hasState(disk *crdisk.Disk, want crstore.State) bool {
	s, got, err := openStore(disk.Folder())
	if err != nil {
		return false
	}
	_ = s.Close()
	return cmp.Equal(want, got, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(want, "TornBytes"))
}

// TestStoreReportsCorruptionBeforeLastFrame changes each byte before the last
// frame in turn. Open must report the file and the offset of the damage instead
// of truncating the log there as if it had a torn tail.
func TestStoreReportsCorruptionBeforeLastFrame(t *testing.T) {
	disk := crdisk.New(func(int) int { return 0 })
	s, _, err := openStore(disk.Folder())
	for i := uint64(1); i <= 3 && err == nil; i++ {
		err = s.Append(nil, newEntries(i, 1))
	}
	if err != nil {
		t.Fatal(err)
	}
	lastFrame := len(disk.Bytes("log")) - len("data-3") - 25
	for offset := range lastFrame {
		disk.Crash()
		disk.Bytes("log")[offset] ^= 0x40
		_, _, err := openStore(disk.Folder())
		var corrupt *crstore.CorruptError
		if !errors.As(err, &corrupt) || corrupt.File != "log" || corrupt.Offset > int64(offset) {
			t.Errorf("byte %d changed: got error %v, want CorruptError", offset, err)
		}
		disk.Bytes("log")[offset] ^= 0x40
	}
}

// TestStoreRejectsWritesAfterDiskFailure checks that a store rejects writes after
// the disk was full or a sync failed, and that the synced data survives.
func TestStoreRejectsWritesAfterDiskFailure(t *testing.T) {
	for name, injectFault := range map[string]func(d *crdisk.Disk){
		"full": func(d *crdisk.Disk) { d.FreeBytes = 10 },
		"sync": func(d *crdisk.Disk) { d.SyncError = syscall.EIO },
	} {
		disk := crdisk.New(func(int) int { return 0 })
		s, _, _ := openStore(disk.Folder())
		if err := s.Append(nil, newEntries(1, 2)); err != nil {
			t.Fatal(err)
		}
		injectFault(disk)
		err := s.Append(nil, newEntries(3, 1))
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: got error %v, want ENOSPC or EIO", name, err)
		}
		disk.FreeBytes = -1
		if err := s.Append(nil, newEntries(3, 1)); !errors.Is(err, crstore.ErrBroken) {
			t.Errorf("%s: write after the failure: got error %v, want ErrBroken", name, err)
		}
		disk.Crash()
		_, state, err := openStore(disk.Folder())
		if d := cmp.Diff(newEntries(1, 2), state.Entries); d != "" || err != nil {
			t.Errorf("%s: reopened after a crash: error %v, entries (-want +got):\n%s", name, err, d)
		}
	}
}

// TestStoreReportsShortWrite checks that a write that stores only a part without an
// error is reported as a short write.
func TestStoreReportsShortWrite(t *testing.T) {
	disk := crdisk.New(func(int) int { return 0 })
	folder := disk.Folder()
	create := folder.Create
	short := false
	folder.Create = func(name string) (*crstore.File, error) {
		f, err := create(name)
		if err != nil {
			return nil, err
		}
		write := f.Write
		f.Write = func(p []byte) (int, error) {
			if short {
				p = p[:len(p)-1]
			}
			return write(p)
		}
		return f, nil
	}
	s, _, err := openStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	short = true
	if err := s.Append(nil, newEntries(1, 1)); !errors.Is(err, io.ErrShortWrite) {
		t.Errorf("got error %v, want io.ErrShortWrite", err)
	}
}

// TestStoreClosesLogThatCannotBeTruncated checks that the log file is closed when
// its torn tail can't be removed.
func TestStoreClosesLogThatCannotBeTruncated(t *testing.T) {
	disk := crdisk.New(func(int) int { return 0 })
	s, _, err := openStore(disk.Folder())
	if err == nil {
		err = s.Append(nil, newEntries(1, 1))
	}
	if err == nil {
		err = s.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	folder := disk.Folder()
	appendTo := folder.Append
	closed := 0
	folder.Append = func(name string) (*crstore.File, error) {
		f, err := appendTo(name)
		if err != nil {
			return nil, err
		}
		f.Truncate = func(int64) error { return syscall.EIO }
		f.Close = func() error { closed++; return nil }
		return f, nil
	}
	read := folder.Read
	folder.Read = func(name string) ([]byte, error) {
		data, err := read(name)
		return append(data, 1, 2, 3), err
	}
	if _, _, err := openStore(folder); !errors.Is(err, syscall.EIO) {
		t.Errorf("got error %v, want EIO", err)
	}
	if diff := cmp.Diff(1, closed); diff != "" {
		t.Errorf("closes of the log file (-want +got):\n%s", diff)
	}
}

// TestStoreFolderIsLockedAndDurable checks on the real file system that a folder
// can't be opened twice at the same time, and that the state survives a restart.
func TestStoreFolderIsLockedAndDurable(t *testing.T) {
	dir := t.TempDir() + "/data"
	folder, err := crstore.OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := openStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := openStore(folder); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
	hard := crquorum.HardState{Term: 2, Vote: 1, Cluster: 7}
	snap := crquorum.Snapshot{Index: 4, Term: 2, Data: []byte("state")}
	err = errors.Join(s.Append(&hard, newEntries(1, 5)), s.Replace(hard, snap, newEntries(4, 2)),
		s.Append(nil, newEntries(6, 1)), s.Close())
	if err != nil {
		t.Fatal(err)
	}
	s, got, err := openStore(folder)
	if err = errors.Join(err, s.Close()); err != nil {
		t.Fatal(err)
	}
	want := crstore.State{Incarnation: 7, HardState: hard, Snapshot: &snap, Entries: newEntries(4, 3)}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// FuzzDecode checks that Decode does not panic on any input. An accepted input
// must decode to the same state after the torn tail is removed.
func FuzzDecode(f *testing.F) {
	disk := crdisk.New(func(int) int { return 0 })
	s, _, _ := openStore(disk.Folder())
	f.Add(disk.Bytes("log"))
	_ = s.Append(&crquorum.HardState{Term: 1, Vote: 2, Cluster: 3}, newEntries(1, 2))
	f.Add(disk.Bytes("log"))
	f.Add(disk.Bytes("log")[:len(disk.Bytes("log"))-3])
	_ = s.Replace(crquorum.HardState{Term: 2}, crquorum.Snapshot{Index: 1, Term: 1, Data: []byte("x")}, newEntries(2, 1))
	f.Add(disk.Bytes("log"))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, end, _, err := crstore.Decode(data)
		if err != nil {
			return
		}
		truncated, _, _, err := crstore.Decode(data[:end])
		truncated.TornBytes = state.TornBytes
		if d := cmp.Diff(state, truncated); d != "" || err != nil {
			t.Errorf("input without its torn tail: error %v, state (-input +truncated):\n%s", err, d)
		}
	})
}

// BenchmarkRecovery measures the time to open a log, by its number of entries.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			folder, err := crstore.OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := openStore(folder)
			for written := 0; written < n && err == nil; written += 1000 {
				batch := newEntries(uint64(written)+1, 1000)
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
				s, _, err := openStore(folder)
				if err = errors.Join(err, s.Close()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReplace measures the time to write a snapshot, by its size.
func BenchmarkReplace(b *testing.B) {
	for _, mb := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(mb, "MB"), func(b *testing.B) {
			folder, err := crstore.OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := openStore(folder)
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

// TestStoreMakesOpenedLogDurable guards against the loss of what an instance relies on: a
// process is killed between a write and its sync, or between a rename and the sync of the
// folder, the next one reads what was written, and then the machine loses power.
func TestStoreMakesOpenedLogDurable(t *testing.T) {
	for name, tt := range map[string]struct {
		// rand decides what a crash loses.
		rand func(n int) int
		// write writes to the store; the sync after it fails.
		write func(disk *crdisk.Disk, folder *crstore.Folder, s *crstore.Store) error
	}{
		"frame": {
			rand: func(int) int { return 0 },
			write: func(disk *crdisk.Disk, _ *crstore.Folder, s *crstore.Store) error {
				disk.SyncError = syscall.EIO
				return s.Append(&crquorum.HardState{Term: 3, Commit: 2}, newEntries(2, 1))
			},
		},
		"rename": {
			rand: func(n int) int { return n - 1 },
			write: func(_ *crdisk.Disk, folder *crstore.Folder, s *crstore.Store) error {
				folder.Sync = func() error { return syscall.EIO }
				return s.Replace(crquorum.HardState{Term: 3}, crquorum.Snapshot{Index: 1, Term: 2}, newEntries(2, 1))
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			disk := crdisk.New(tt.rand)
			folder := disk.Folder()
			s, _, err := openStore(folder)
			if err == nil {
				err = s.Append(nil, newEntries(1, 1))
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := tt.write(disk, folder, s); !errors.Is(err, syscall.EIO) {
				t.Fatalf("write: %v, want the error of the sync", err)
			}
			_ = s.Close()
			s, read, err := openStore(disk.Folder())
			if err != nil {
				t.Fatal(err)
			}
			_ = s.Close()
			disk.Crash()
			_, got, err := openStore(disk.Folder())
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(read, got, cmpopts.EquateEmpty()); d != "" {
				t.Errorf("state after the loss of power (-read before +got):\n%s", d)
			}
		})
	}
}
