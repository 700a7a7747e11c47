package crstore

import (
	"errors"
	"fmt"
	"io"

	"cardamomring.dev/internal/crquorum"
)

const (
	// logName is the log file.
	logName = "log"
	// nextLogName is a new log file that is renamed to logName when complete.
	nextLogName = "log.next"
	// targetFrameBytes is the approximate payload size of the frames of entries
	// in a new log file.
	targetFrameBytes = 1 << 20
)

// ErrBroken is returned after a failed write or sync, which leaves the content
// of the disk unknown, and after Close.
var ErrBroken = errors.New("store is closed, or a write or sync has failed")

// Store is the log of one instance on disk. Set the exported fields before
// Open. It is not safe for concurrent use.
type Store struct {
	Folder *Folder
	// Rand returns a random number for the incarnation of an empty folder. It
	// is called again if the number is 0.
	Rand func() uint64
	// Initial is what the log of an empty folder begins with; nil for a random
	// incarnation only.
	Initial *State

	incarnation uint64
	file        *File
	seq         uint64
	buf         []byte
	broken      bool
	unlock      func() error
}

// Open locks the folder and returns its content. An empty folder gets a new
// incarnation.
func (s *Store) Open() (State, error) {
	unlock, err := s.Folder.Lock()
	if err != nil {
		return State{}, err
	}
	s.unlock = unlock
	state, err := s.load()
	if err != nil {
		s.unlock = nil
		return State{}, errors.Join(err, unlock())
	}
	return state, nil
}

// Opened reports whether the store is open.
func (s *Store) Opened() bool { return s.unlock != nil }

// Close closes the file and unlocks the folder.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	s.broken = true
	err = errors.Join(err, s.unlock())
	s.unlock = nil
	return err
}

// load reads the log, or creates it if there is none.
func (s *Store) load() (State, error) {
	data, err := s.Folder.Read(logName)
	if notExist(err) {
		return s.createLog()
	}
	if err != nil {
		return State{}, fmt.Errorf("read %s: %w", logName, err)
	}
	state, end, seq, err := Decode(data)
	if err != nil {
		return State{}, err
	}
	s.incarnation, s.seq = state.Incarnation, seq
	if s.file, err = s.Folder.Append(logName); err != nil {
		return State{}, err
	}
	if err := s.makeDurable(state.TornBytes > 0, end); err != nil {
		return State{}, errors.Join(err, s.file.Close())
	}
	return state, nil
}

// makeDurable removes a torn tail and syncs the log and its name. A process that was killed
// may have left its last frame, or the rename of a new log, without a sync.
func (s *Store) makeDurable(torn bool, end int64) error {
	if torn {
		if err := s.file.Truncate(end); err != nil {
			return fmt.Errorf("truncate torn tail of %s: %w", logName, err)
		}
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", logName, err)
	}
	if err := s.Folder.Sync(); err != nil {
		return fmt.Errorf("sync the name of %s: %w", logName, err)
	}
	return nil
}

// createLog creates the log of an empty folder.
func (s *Store) createLog() (State, error) {
	state := State{}
	if s.Initial != nil {
		state = *s.Initial
	}
	for state.Incarnation == 0 {
		state.Incarnation = s.Rand()
	}
	s.incarnation = state.Incarnation
	first := appendIncarnation(nil, state.Incarnation)
	if s.Initial != nil {
		first = appendHardState(first, state.HardState)
	}
	for _, e := range state.Entries {
		first = appendEntry(first, e)
	}
	if err := s.replaceLog(first, nil); err != nil {
		return State{}, err
	}
	return state, nil
}

// FirstState returns what the log of an initial member begins with at the first start of
// the whole system. It is one frame, so that a process that is killed leaves all of it or
// nothing.
func FirstState(members map[uint64]string) *State {
	hard, entries := crquorum.FirstState(members)
	return &State{Incarnation: crquorum.InitialIncarnation, HardState: hard, Entries: entries}
}

// Append writes and syncs a hard state, unless it is nil, and entries. The
// entries replace those on disk from the index of the first one on.
func (s *Store) Append(hard *crquorum.HardState, entries []crquorum.Entry) error {
	if s.broken {
		return ErrBroken
	}
	payload := s.buf[:0]
	if hard != nil {
		payload = appendHardState(payload, *hard)
	}
	for _, e := range entries {
		payload = appendEntry(payload, e)
	}
	s.buf = payload
	if len(payload) == 0 {
		return nil
	}
	if err := s.writeFrame(s.file, payload); err != nil {
		return s.markBroken(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.markBroken(fmt.Errorf("sync %s: %w", logName, err))
	}
	return nil
}

// Replace writes a new log that starts with a snapshot and atomically replaces
// the old log.
func (s *Store) Replace(hard crquorum.HardState, snap crquorum.Snapshot, entries []crquorum.Entry) error {
	if s.broken {
		return ErrBroken
	}
	first, err := appendSnapshot(appendHardState(appendIncarnation(nil, s.incarnation), hard), snap)
	if err != nil {
		return s.markBroken(err)
	}
	return s.replaceLog(first, entries)
}

// replaceLog writes a new log file and renames it to logName. The first payload
// goes into a frame of its own.
func (s *Store) replaceLog(first []byte, entries []crquorum.Entry) error {
	f, err := s.Folder.Create(nextLogName)
	if err != nil {
		return s.markBroken(err)
	}
	s.seq = 0
	if err := s.writeLog(f, first, entries); err != nil {
		return s.markBroken(errors.Join(err, f.Close()))
	}
	if err := s.Folder.Rename(nextLogName, logName); err != nil {
		return s.markBroken(errors.Join(fmt.Errorf("rename %s: %w", nextLogName, err), f.Close()))
	}
	if err := s.Folder.Sync(); err != nil {
		return s.markBroken(errors.Join(err, f.Close()))
	}
	old := s.file
	s.file = f
	if old == nil {
		return nil
	}
	return old.Close()
}

// writeLog writes the frames of a new log file and syncs it.
func (s *Store) writeLog(f *File, first []byte, entries []crquorum.Entry) error {
	if err := s.writeFrame(f, first); err != nil {
		return err
	}
	payload := s.buf[:0]
	for i, e := range entries {
		payload = appendEntry(payload, e)
		if len(payload) < targetFrameBytes && i < len(entries)-1 {
			continue
		}
		if err := s.writeFrame(f, payload); err != nil {
			return err
		}
		payload = payload[:0]
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", nextLogName, err)
	}
	return nil
}

// writeFrame writes a frame with a single write call.
func (s *Store) writeFrame(f *File, payload []byte) error {
	frame := appendFrame(make([]byte, 0, headerSize+len(payload)), s.seq+1, payload)
	n, err := f.Write(frame)
	if err == nil && n != len(frame) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return fmt.Errorf("write frame %d of the log: wrote %d of %d bytes: %w", s.seq+1, n, len(frame), err)
	}
	s.seq++
	return nil
}

// markBroken makes the store reject all further writes and returns err. Retrying
// after a failed write or sync is unsafe: the kernel may have dropped the data
// and still report a later sync as successful.
func (s *Store) markBroken(err error) error {
	s.broken = true
	return err
}
