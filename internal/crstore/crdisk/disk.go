// Package crdisk is an in-memory data folder that fails on request: tests use
// it to lose what was not synced, to tear writes, and to run out of space.
package crdisk

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"syscall"

	"cardamomring.dev/internal/crstore"
)

// sector is what a crash keeps or loses as a whole, in bytes.
const sector = 64

// ErrCrash is what operations return from the moment of a planned crash.
var ErrCrash = errors.New("the process has crashed")

// errLocked says that another process holds the folder.
var errLocked = errors.New("the folder is locked")

// Disk is one data folder. It is not safe for concurrent use.
type Disk struct {
	// Rand returns a random number below n.
	Rand func(n int) int
	// OpsUntilCrash is how many operations succeed before a crash; 0 for no crash.
	OpsUntilCrash int
	// FreeBytes is how many bytes can still be written; negative for no bound.
	FreeBytes int
	// SyncError is returned by the next sync of a file, which keeps nothing.
	SyncError error
	// IgnoreSync makes syncs of files do nothing, as a broken disk does.
	IgnoreSync bool
	// Syncs counts the syncs of files; BytesWritten counts the bytes written.
	Syncs, BytesWritten int

	files  map[string]*inode
	synced map[string]*inode
	locked bool
	crash  bool
}

// inode is a file's content: what is visible and what would survive.
type inode struct {
	data, synced []byte
}

// New returns an empty disk without faults.
func New(rand func(n int) int) *Disk {
	d := &Disk{Rand: rand, FreeBytes: -1}
	d.Wipe()
	return d
}

// Wipe empties the disk, as one that was replaced.
func (d *Disk) Wipe() {
	d.files, d.synced = map[string]*inode{}, map[string]*inode{}
	d.Crash()
}

// Crash ends the process that uses the disk. Of what was not synced, any
// sectors survive and any renames, in their order, are undone.
func (d *Disk) Crash() {
	if d.Rand(2) == 0 {
		d.synced = d.files
	}
	for _, f := range d.synced {
		f.crash(d.Rand)
	}
	d.files = maps.Clone(d.synced)
	d.synced = maps.Clone(d.files)
	d.locked, d.crash, d.OpsUntilCrash, d.SyncError = false, false, 0, nil
}

// crash keeps what was synced and, at random, sectors of what was not.
func (f *inode) crash(rand func(int) int) {
	if len(f.data) < len(f.synced) && rand(2) == 0 || len(f.data) == len(f.synced) {
		f.data = bytes.Clone(f.synced)
	}
	kept := min(len(f.synced), len(f.data))
	tail := f.data[kept:]
	tail = bytes.Clone(tail[:rand(len(tail)+1)])
	for at := 0; at < len(tail); at += sector {
		if rand(3) == 0 {
			clear(tail[at:min(at+sector, len(tail))])
		}
	}
	f.data = append(bytes.Clone(f.data[:kept]), tail...)
	f.synced = bytes.Clone(f.data)
}

// Folder returns the disk as a data folder.
func (d *Disk) Folder() *crstore.Folder {
	return &crstore.Folder{
		Read: d.read, Rename: d.rename, Sync: d.syncNames, Lock: d.lock,
		Create: func(name string) (*crstore.File, error) {
			if err := d.step(); err != nil {
				return nil, err
			}
			d.files[name] = &inode{}
			return d.open(name), nil
		},
		Append: func(name string) (*crstore.File, error) {
			if _, ok := d.files[name]; !ok {
				return nil, fs.ErrNotExist
			}
			return d.open(name), d.step()
		},
	}
}

// Bytes returns a file's content, which the caller may change in place.
func (d *Disk) Bytes(name string) []byte { return d.files[name].data }

// step counts an operation; after the planned crash every one fails.
func (d *Disk) step() error {
	if d.OpsUntilCrash > 0 {
		d.OpsUntilCrash--
		d.crash = d.OpsUntilCrash == 0
	}
	if d.crash {
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
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *Disk) syncNames() error {
	if err := d.step(); err != nil {
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

// open returns a file for writing at its end.
func (d *Disk) open(name string) *crstore.File {
	f := d.files[name]
	return &crstore.File{
		Write: func(p []byte) (int, error) { return d.write(f, p) },
		Truncate: func(size int64) error {
			f.data = bytes.Clone(f.data[:size])
			return d.step()
		},
		Sync:  func() error { return d.syncFile(f) },
		Close: func() error { return nil },
	}
}

// write adds bytes; without space only a part of them.
func (d *Disk) write(f *inode, p []byte) (int, error) {
	if err := d.step(); err != nil {
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

// syncFile makes a file's content last.
func (d *Disk) syncFile(f *inode) error {
	if err := d.step(); err != nil {
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
