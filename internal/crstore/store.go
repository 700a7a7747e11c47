package crstore

import (
	"errors"
	"fmt"

	"cardamomring.dev/internal/crquorum"
)

const (
	// logName is the file that counts.
	logName = "log"
	// nextName is a file being written that will replace the log.
	nextName = "log.next"
	// chunkSize is about how much of the log one frame of a new file holds,
	// in bytes.
	chunkSize = 1 << 20
)

// ErrBroken says that an earlier write failed: what is on disk is unknown.
var ErrBroken = errors.New("the store has failed and must not be used")

// Store is the log of one instance on disk. Set the exported fields before
// Open. It is not safe for concurrent use.
type Store struct {
	Folder *Folder
	// Rand draws the incarnation of an empty folder.
	Rand func() uint64

	life   uint64
	file   *File
	seq    uint64
	buf    []byte
	broken bool
	unlock func() error
}

// Open takes the folder's lock and returns what the folder holds. An empty
// folder gets a new incarnation.
func (s *Store) Open() (State, error) {
	unlock, err := s.Folder.Lock()
	if err != nil {
		return State{}, err
	}
	s.unlock = unlock
	state, err := s.load()
	if err != nil {
		return State{}, errors.Join(err, unlock())
	}
	return state, nil
}

// Close closes the file and frees the folder.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	s.broken = true
	return errors.Join(err, s.unlock())
}

// load reads the log, or starts one.
func (s *Store) load() (State, error) {
	data, err := s.Folder.Read(logName)
	if absent(err) {
		return s.begin()
	}
	if err != nil {
		return State{}, fmt.Errorf("read %s: %w", logName, err)
	}
	state, end, seq, err := Decode(data)
	if err != nil {
		return State{}, err
	}
	s.life, s.seq = state.Incarnation, seq
	if s.file, err = s.Folder.Append(logName); err != nil {
		return State{}, err
	}
	if state.TornBytes == 0 {
		return state, nil
	}
	if err := errors.Join(s.file.Truncate(end), s.file.Sync()); err != nil {
		return State{}, fmt.Errorf("cut the torn tail of %s: %w", logName, err)
	}
	return state, nil
}

// begin starts the log of an empty folder.
func (s *Store) begin() (State, error) {
	for s.life == 0 {
		s.life = s.Rand()
	}
	if err := s.rewrite(appendLife(nil, s.life), nil); err != nil {
		return State{}, err
	}
	return State{Incarnation: s.life}, nil
}

// Append writes and syncs a hard state, unless nil, and entries, which replace
// those on disk from the first one's index on.
func (s *Store) Append(hard *crquorum.HardState, entries []crquorum.Entry) error {
	if s.broken {
		return ErrBroken
	}
	payload := s.buf[:0]
	if hard != nil {
		payload = appendHard(payload, *hard)
	}
	for _, e := range entries {
		payload = appendEntry(payload, e)
	}
	s.buf = payload
	if len(payload) == 0 {
		return nil
	}
	if err := s.writeFrame(s.file, payload); err != nil {
		return s.fail(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(fmt.Errorf("sync %s: %w", logName, err))
	}
	return nil
}

// Replace writes a new log that starts with a snapshot, and puts it in the
// old one's place in one step.
func (s *Store) Replace(hard crquorum.HardState, snap crquorum.Snapshot, entries []crquorum.Entry) error {
	if s.broken {
		return ErrBroken
	}
	head, err := appendSnapshot(appendHard(appendLife(nil, s.life), hard), snap)
	if err != nil {
		return s.fail(err)
	}
	return s.rewrite(head, entries)
}

// rewrite writes a new log file and renames it.
func (s *Store) rewrite(head []byte, entries []crquorum.Entry) error {
	f, err := s.Folder.Create(nextName)
	if err != nil {
		return s.fail(err)
	}
	s.seq = 0
	if err := s.fill(f, head, entries); err != nil {
		return s.fail(errors.Join(err, f.Close()))
	}
	if err := s.Folder.Rename(nextName, logName); err != nil {
		return s.fail(errors.Join(fmt.Errorf("rename %s: %w", nextName, err), f.Close()))
	}
	if err := s.Folder.Sync(); err != nil {
		return s.fail(errors.Join(err, f.Close()))
	}
	old := s.file
	s.file = f
	if old == nil {
		return nil
	}
	return old.Close()
}

// fill writes the frames of a new log file and syncs it.
func (s *Store) fill(f *File, head []byte, entries []crquorum.Entry) error {
	if err := s.writeFrame(f, head); err != nil {
		return err
	}
	payload := s.buf[:0]
	for i, e := range entries {
		payload = appendEntry(payload, e)
		if len(payload) < chunkSize && i < len(entries)-1 {
			continue
		}
		if err := s.writeFrame(f, payload); err != nil {
			return err
		}
		payload = payload[:0]
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", nextName, err)
	}
	return nil
}

// writeFrame writes one frame in one call.
func (s *Store) writeFrame(f *File, payload []byte) error {
	frame := appendFrame(make([]byte, 0, headerSize+len(payload)), s.seq+1, payload)
	if n, err := f.Write(frame); err != nil || n != len(frame) {
		return fmt.Errorf("write frame %d of the log: %d of %d bytes: %w", s.seq+1, n, len(frame), err)
	}
	s.seq++
	return nil
}

// fail marks the store as broken: a second try after a failed write or sync
// could report as synced what the kernel has dropped.
func (s *Store) fail(err error) error {
	s.broken = true
	return err
}
