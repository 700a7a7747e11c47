package crstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Folder is the file system of one data folder.
type Folder struct {
	// Read returns a whole file, or an error that is fs.ErrNotExist.
	Read func(name string) ([]byte, error)
	// Create makes an empty file, or empties an old one.
	Create func(name string) (*File, error)
	// Append opens a file for writing at its end.
	Append func(name string) (*File, error)
	// Rename replaces a file by another one in one step.
	Rename func(from, to string) error
	// Sync makes names last: those of created and renamed files.
	Sync func() error
	// Lock keeps other processes out until unlock is called.
	Lock func() (unlock func() error, err error)
}

// File is an open file of a data folder.
type File struct {
	Write    func(p []byte) (int, error)
	Truncate func(size int64) error
	Sync     func() error
	Close    func() error
}

// lockName is the file that one process at a time holds locked.
const lockName = "lock"

// OpenFolder returns a folder of the operating system's file system, which it
// creates when it is absent.
func OpenFolder(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	if err := syncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	path := func(name string) string { return filepath.Join(dir, name) }
	return &Folder{
		Read:   func(name string) ([]byte, error) { return os.ReadFile(path(name)) },
		Create: func(name string) (*File, error) { return openFile(path(name), os.O_CREATE|os.O_TRUNC) },
		Append: func(name string) (*File, error) { return openFile(path(name), os.O_APPEND) },
		Rename: func(from, to string) error { return os.Rename(path(from), path(to)) },
		Sync:   func() error { return syncDir(dir) },
		Lock:   func() (func() error, error) { return lock(path(lockName)) },
	}, nil
}

// openFile opens a file for writing.
func openFile(path string, flags int) (*File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|flags, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	return &File{Write: f.Write, Truncate: f.Truncate, Sync: f.Sync, Close: f.Close}, nil
}

// syncDir makes the names in a folder last.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("sync folder %s: %w", dir, err)
	}
	return nil
}

// lock takes the lock file; it is free again when the process ends.
func lock(path string) (func() error, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("another process uses the data folder: lock %s: %w", path, err), f.Close())
	}
	return f.Close, nil
}

// absent says that a file is not there.
func absent(err error) bool { return errors.Is(err, fs.ErrNotExist) }
