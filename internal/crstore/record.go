package crstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"cardamomring.dev/internal/crquorum"
)

// A payload is a sequence of records, each a kind and its fields.
const (
	recordLife byte = iota + 1
	recordHard
	recordSnapshot
	recordEntry
)

// errRecord says that a payload with a right checksum makes no sense.
var errRecord = errors.New("bad record")

// State is what a store held when it was opened.
type State struct {
	// Incarnation is the incarnation of the disk: random, drawn when the folder was
	// found empty. Never 0.
	Incarnation uint64
	HardState   crquorum.HardState
	// Snapshot is nil when none was taken.
	Snapshot *crquorum.Snapshot
	// Entries are consecutive; the first may lie before the snapshot.
	Entries []crquorum.Entry
	// TornBytes is how many bytes of a torn tail were dropped.
	TornBytes int64
}

// appendLife adds the incarnation.
func appendLife(buf []byte, life uint64) []byte {
	return binary.AppendUvarint(append(buf, recordLife), life)
}

// appendHard adds the hard state.
func appendHard(buf []byte, h crquorum.HardState) []byte {
	buf = binary.AppendUvarint(append(buf, recordHard), h.Term)
	buf = binary.AppendUvarint(buf, h.Vote)
	return binary.AppendUvarint(buf, h.Cluster)
}

// appendEntry adds an entry.
func appendEntry(buf []byte, e crquorum.Entry) []byte {
	buf = binary.AppendUvarint(append(buf, recordEntry), e.Index)
	buf = binary.AppendUvarint(buf, e.Term)
	buf = binary.AppendUvarint(buf, uint64(e.Kind))
	return appendBytes(buf, e.Data)
}

// appendSnapshot adds a snapshot.
func appendSnapshot(buf []byte, s crquorum.Snapshot) ([]byte, error) {
	config, err := json.Marshal(s.Config)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	buf = binary.AppendUvarint(append(buf, recordSnapshot), s.Index)
	buf = binary.AppendUvarint(buf, s.Term)
	return appendBytes(appendBytes(buf, config), s.Data), nil
}

// appendBytes adds a length and that many bytes.
func appendBytes(buf, data []byte) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(data))), data...)
}

// reader takes fields off a payload; the first error stays.
type reader struct {
	data []byte
	err  error
}

// number takes an unsigned number.
func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.data, r.err = nil, errRecord
		return 0
	}
	r.data = r.data[n:]
	return v
}

// bytes takes a length and that many bytes, sharing memory.
func (r *reader) bytes() []byte {
	size := r.number()
	if size > uint64(len(r.data)) {
		r.data, r.err = nil, errRecord
		return nil
	}
	out := r.data[:size:size]
	r.data = r.data[size:]
	return out
}

// apply adds the records of a payload to the state.
func (s *State) apply(payload []byte) error {
	r := &reader{data: payload}
	for len(r.data) > 0 && r.err == nil {
		kind := r.data[0]
		r.data = r.data[1:]
		switch kind {
		case recordLife:
			s.Incarnation = r.number()
		case recordHard:
			s.HardState = crquorum.HardState{Term: r.number(), Vote: r.number(), Cluster: r.number()}
		case recordSnapshot:
			s.setSnapshot(r)
		case recordEntry:
			s.addEntry(r)
		default:
			return fmt.Errorf("%w: kind %d", errRecord, kind)
		}
	}
	return r.err
}

// setSnapshot reads a snapshot; it comes before the entries that stay.
func (s *State) setSnapshot(r *reader) {
	snap := &crquorum.Snapshot{Index: r.number(), Term: r.number()}
	config := r.bytes()
	snap.Data = r.bytes()
	if r.err == nil && json.Unmarshal(config, &snap.Config) != nil {
		r.err = errRecord
	}
	s.Snapshot, s.Entries = snap, nil
}

// addEntry reads an entry; it replaces those from its index on.
func (s *State) addEntry(r *reader) {
	e := crquorum.Entry{Index: r.number(), Term: r.number(), Kind: crquorum.EntryKind(r.number())}
	e.Data = r.bytes()
	if r.err != nil {
		return
	}
	if len(s.Entries) > 0 {
		first := s.Entries[0].Index
		if e.Index < first || e.Index > first+uint64(len(s.Entries)) {
			r.err = fmt.Errorf("%w: entry %d among %d to %d", errRecord, e.Index, first, first+uint64(len(s.Entries))-1)
			return
		}
		s.Entries = s.Entries[:e.Index-first]
	}
	s.Entries = append(s.Entries, e)
}
