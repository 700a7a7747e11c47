package crstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"cardamomring.dev/internal/crquorum"
)

// The payload of a frame is a sequence of records. A record is a kind followed
// by its fields.
const (
	recordIncarnation byte = iota + 1
	recordHardState
	recordSnapshot
	recordEntry
	recordCommit
)

// errBadRecord reports a payload that has a valid checksum but can't be decoded.
var errBadRecord = errors.New("bad record")

// State is the content of a store at the time it was opened.
type State struct {
	// Incarnation identifies the disk. It is a random number other than 0,
	// generated when the folder was found empty.
	Incarnation uint64
	HardState   crquorum.HardState
	// Snapshot is nil if the store has none.
	Snapshot *crquorum.Snapshot
	// Entries have consecutive indexes. The first ones may be covered by the
	// snapshot.
	Entries []crquorum.Entry
	// TornBytes is the size of the torn tail that was dropped.
	TornBytes int64
}

// appendIncarnation appends an incarnation record.
func appendIncarnation(buf []byte, incarnation uint64) []byte {
	return binary.AppendUvarint(append(buf, recordIncarnation), incarnation)
}

// appendHardState appends a hard state record, followed by a commit record if an entry is
// committed. Logs of earlier releases have no commit records.
func appendHardState(buf []byte, h crquorum.HardState) []byte {
	buf = binary.AppendUvarint(append(buf, recordHardState), h.Term)
	buf = binary.AppendUvarint(buf, h.Vote)
	buf = binary.AppendUvarint(buf, h.Cluster)
	if h.Commit == 0 {
		return buf
	}
	return binary.AppendUvarint(append(buf, recordCommit), h.Commit)
}

// appendEntry appends an entry record.
func appendEntry(buf []byte, e crquorum.Entry) []byte {
	buf = binary.AppendUvarint(append(buf, recordEntry), e.Index)
	buf = binary.AppendUvarint(buf, e.Term)
	buf = binary.AppendUvarint(buf, uint64(e.Kind))
	return appendBytes(buf, e.Data)
}

// appendSnapshot appends a snapshot record.
func appendSnapshot(buf []byte, s crquorum.Snapshot) ([]byte, error) {
	config, err := json.Marshal(s.Config)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	buf = binary.AppendUvarint(append(buf, recordSnapshot), s.Index)
	buf = binary.AppendUvarint(buf, s.Term)
	return appendBytes(appendBytes(buf, config), s.Data), nil
}

// appendBytes appends the length of data, then data.
func appendBytes(buf, data []byte) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(data))), data...)
}

// reader reads fields from a payload. After an error it returns zero values and
// keeps the error.
type reader struct {
	data []byte
	err  error
}

// uvarint reads an unsigned varint.
func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.data, r.err = nil, errBadRecord
		return 0
	}
	r.data = r.data[n:]
	return v
}

// bytes reads a length and that many bytes. The result shares memory with the
// payload.
func (r *reader) bytes() []byte {
	size := r.uvarint()
	if size > uint64(len(r.data)) {
		r.data, r.err = nil, errBadRecord
		return nil
	}
	out := r.data[:size:size]
	r.data = r.data[size:]
	return out
}

// apply applies the records of a payload to the state.
func (s *State) apply(payload []byte) error {
	r := &reader{data: payload}
	for len(r.data) > 0 && r.err == nil {
		kind := r.data[0]
		r.data = r.data[1:]
		switch kind {
		case recordIncarnation:
			s.Incarnation = r.uvarint()
		case recordHardState:
			s.HardState = crquorum.HardState{Term: r.uvarint(), Vote: r.uvarint(), Cluster: r.uvarint()}
		case recordCommit:
			s.HardState.Commit = r.uvarint()
		case recordSnapshot:
			s.setSnapshot(r)
		case recordEntry:
			s.addEntry(r)
		default:
			return fmt.Errorf("%w: kind %d", errBadRecord, kind)
		}
	}
	return r.err
}

// setSnapshot reads a snapshot and drops the earlier entries. The entries to
// keep follow the snapshot in the log.
func (s *State) setSnapshot(r *reader) {
	snap := &crquorum.Snapshot{Index: r.uvarint(), Term: r.uvarint()}
	config := r.bytes()
	snap.Data = r.bytes()
	if r.err == nil && json.Unmarshal(config, &snap.Config) != nil {
		r.err = errBadRecord
	}
	s.Snapshot, s.Entries = snap, nil
}

// addEntry reads an entry, which replaces those from its index on.
func (s *State) addEntry(r *reader) {
	e := crquorum.Entry{Index: r.uvarint(), Term: r.uvarint(), Kind: crquorum.EntryKind(r.uvarint())}
	e.Data = r.bytes()
	if r.err != nil {
		return
	}
	if len(s.Entries) > 0 {
		first := s.Entries[0].Index
		if e.Index < first || e.Index > first+uint64(len(s.Entries)) {
			r.err = fmt.Errorf("%w: entry %d does not continue or replace entries %d to %d", errBadRecord, e.Index, first, first+uint64(len(s.Entries))-1)
			return
		}
		s.Entries = s.Entries[:e.Index-first]
	}
	s.Entries = append(s.Entries, e)
}
