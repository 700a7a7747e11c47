// Package crdisk provides an in-memory data folder with fault injection. Tests
// use it to lose unsynced data, to tear writes and to run out of space.
package crdisk

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"cardamomring.dev/internal/crstore"
)

// sectorSize is the unit that a crash keeps or loses as a whole, in bytes.
const sectorSize = 64

// ErrCrash is returned by all modifying operations from an injected crash until
// Disk.Crash is called.
var ErrCrash = errors.New("injected crash")

// errLocked is returned when the folder is already locked.
var errLocked = errors.New("folder is locked")

// Disk is an in-memory data folder. It is not safe for concurrent use.
type Disk struct {
	// Rand returns a random number below n.
	Rand func(n int) int
	// OpsUntilCrash is decremented by each modifying operation. The operation
	// that decrements it to 0 fails with ErrCrash. If it is 0 from the start,
	// there is no crash.
	OpsUntilCrash int
	// FreeBytes is the number of bytes that can still be written; negative if
	// unlimited.
	FreeBytes int
	// SyncError is returned by the next sync of a file, which then does not
	// make the data durable.
	SyncError error
	// IgnoreSync makes syncs of files succeed without effect, like a disk that
	// does not honor them.
	IgnoreSync bool
	// Syncs counts the syncs of files, BytesWritten the bytes written.
	Syncs, BytesWritten int

	// files holds the visible files by name, synced those that survive a crash.
	files   map[string]*inode
	synced  map[string]*inode
	locked  bool
	crashed bool
}

// inode is the content of a file: data is what reads return, synced is what
// survives a crash.
type inode struct {
	data, synced []byte
}

// New returns an empty disk without injected faults.
func New(rand func(n int) int) *Disk {
	d := &Disk{Rand: rand, FreeBytes: -1}
	d.Wipe()
	return d
}

// Wipe removes all files, as if the disk was replaced.
func (d *Disk) Wipe() {
	d.files, d.synced = map[string]*inode{}, map[string]*inode{}
	d.Crash()
}

// Crash simulates a crash of the machine that uses the disk. Random sectors of
// unsynced data survive. Unsynced creations and renames either all survive or
// are all undone. Crash also unlocks the folder and resets OpsUntilCrash and
// SyncError.
func (d *Disk) Crash() {
	if d.Rand(2) == 0 {
		d.synced = d.files
	}
	// The order of the random draws must not depend on the order of the map.
	for _, name := range slices.Sorted(maps.Keys(d.synced)) {
		d.synced[name].crash(d.Rand)
	}
	d.files = maps.Clone(d.synced)
	d.synced = maps.Clone(d.files)
	d.locked, d.crashed, d.OpsUntilCrash, d.SyncError = false, false, 0, nil
}

// crash keeps the synced data and, at random, sectors of the unsynced data. Lost
// sectors are zeroed or cut off. An unsynced truncation survives or is undone.
func (f *inode) crash(rand func(int) int) {
	if len(f.data) < len(f.synced) && rand(2) == 0 || len(f.data) == len(f.synced) {
		f.data = bytes.Clone(f.synced)
	}
	durable := min(len(f.synced), len(f.data))
	tail := f.data[durable:]
	tail = bytes.Clone(tail[:rand(len(tail)+1)])
	for offset := 0; offset < len(tail); offset += sectorSize {
		if rand(3) == 0 {
			clear(tail[offset:min(offset+sectorSize, len(tail))])
		}
	}
	f.data = append(bytes.Clone(f.data[:durable]), tail...)
	f.synced = bytes.Clone(f.data)
}

// Folder returns the disk as a data folder.
func (d *Disk) Folder() *crstore.Folder {
	return &crstore.Folder{
		Read: d.read, Rename: d.rename, Sync: d.syncDir, Lock: d.lock,
		Create: func(name string) (*crstore.File, error) {
			if err := d.countOp(); err != nil {
				return nil, err
			}
			d.files[name] = &inode{}
			return d.open(name), nil
		},
		Append: func(name string) (*crstore.File, error) {
			if _, ok := d.files[name]; !ok {
				return nil, fs.ErrNotExist
			}
			return d.open(name), d.countOp()
		},
	}
}

// Bytes returns the content of a file. The caller may modify it in place.
func (d *Disk) Bytes(name string) []byte { return d.files[name].data }

// countOp decrements OpsUntilCrash and returns ErrCrash if the disk has crashed.
func (d *Disk) countOp() error {
	if d.OpsUntilCrash > 0 {
		d.OpsUntilCrash--
		d.crashed = d.OpsUntilCrash == 0
	}
	if d.crashed {
		return ErrCrash
	}
	return nil
}

func (d *Disk) read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (d *Disk) rename(from, to string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *Disk) syncDir() error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.synced = maps.Clone(d.files)
	return nil
}

func (d *Disk) lock() (func() error, error) {
	if d.locked {
		return nil, errLocked
	}
	d.locked = true
	return func() error { d.locked = false; return nil }, nil
}

// open returns a file for appending.
func (d *Disk) open(name string) *crstore.File {
	f := d.files[name]
	return &crstore.File{
		Write: func(p []byte) (int, error) { return d.write(f, p) },
		Truncate: func(size int64) error {
			f.data = bytes.Clone(f.data[:size])
			return d.countOp()
		},
		Sync:  func() error { return d.syncFile(f) },
		Close: func() error { return nil },
	}
}

// write appends p to a file. If FreeBytes is too small, only a part of p is
// written.
func (d *Disk) write(f *inode, p []byte) (int, error) {
	if err := d.countOp(); err != nil {
		return 0, err
	}
	n := len(p)
	if d.FreeBytes >= 0 {
		n = min(n, d.FreeBytes)
		d.FreeBytes -= n
	}
	f.data = append(f.data, p[:n]...)
	d.BytesWritten += n
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// syncFile makes the content of a file durable.
func (d *Disk) syncFile(f *inode) error {
	if err := d.countOp(); err != nil {
		return err
	}
	if err := d.SyncError; err != nil {
		d.SyncError = nil
		return err
	}
	d.Syncs++
	if !d.IgnoreSync {
		f.synced = f.data[:len(f.data):len(f.data)]
	}
	return nil
}
