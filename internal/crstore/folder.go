package crstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Folder provides the file operations in one data folder.
type Folder struct {
	// Read returns the content of a file, or an error that wraps
	// fs.ErrNotExist.
	Read func(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one.
	Create func(name string) (*File, error)
	// Append opens an existing file for appending.
	Append func(name string) (*File, error)
	// Rename atomically renames a file, replacing any existing one.
	Rename func(from, to string) error
	// Sync syncs the directory, so that created and renamed files survive a
	// crash.
	Sync func() error
	// Lock locks the folder until unlock is called. It fails if another
	// process holds the lock.
	Lock func() (unlock func() error, err error)
}

// File is an open file of a data folder.
type File struct {
	Write    func(p []byte) (int, error)
	Truncate func(size int64) error
	Sync     func() error
	Close    func() error
}

// roomCheckBytes is how much CheckRoom writes: a few entries of the log.
const roomCheckBytes = 16 << 10

// CheckRoom reports by its error whether the folder takes more data. It writes a
// temporary file under the name of a new log file, which Store replaces.
func (f *Folder) CheckRoom() error {
	file, err := f.Create(nextLogName)
	if err != nil {
		return fmt.Errorf("check for room: %w", err)
	}
	_, err = file.Write(make([]byte, roomCheckBytes))
	if err == nil {
		err = file.Sync()
	}
	// An empty file gives the room back.
	if err = errors.Join(err, file.Truncate(0), file.Close()); err != nil {
		return fmt.Errorf("check for room: %w", err)
	}
	return nil
}

// lockName is the file that carries the lock of the folder.
const lockName = "lock"

// OpenFolder returns a folder in the operating system's file system. The
// folder is created if it does not exist.
func OpenFolder(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
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

// syncDir syncs a directory.
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

// lock locks the lock file. The lock is released by the returned function or
// when the process ends.
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

// notExist reports whether an error means that a file does not exist.
func notExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
