package crreplica

import (
	"errors"
	"fmt"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
)

// ErrLogExists is returned by RestoreFolder if the folder already has a log.
var ErrLogExists = errors.New("the data folder holds a log")

// Backup describes the content of a copy of a log file.
type Backup struct {
	// Term is the highest term seen, LastIndex the index of the last entry.
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"last"`
	// SnapshotIndex is the index of the snapshot, 0 for none.
	SnapshotIndex uint64 `json:"snapshot"`
	// TruncatedBytes is the number of bytes at the end that belong to an
	// incomplete write.
	TruncatedBytes int64 `json:"cut"`
}

// CheckBackup checks a copy of a log file. The copy may be taken while the
// instance runs: an incomplete write at its end is ignored.
func CheckBackup(data []byte) (Backup, error) {
	b, _, err := decodeBackup(data)
	return b, err
}

// decodeBackup decodes a copy of a log file and checks that a node can open it.
func decodeBackup(data []byte) (Backup, crstore.State, error) {
	state, _, _, err := crstore.Decode(data)
	if err != nil {
		return Backup{}, state, err
	}
	node := &crquorum.Node{ID: 1, Incarnation: state.Incarnation, Rand: func(uint64) uint64 { return 0 }}
	if err := node.Open(state.HardState, state.Snapshot, state.Entries); err != nil {
		return Backup{}, state, err
	}
	s := node.Status()
	return Backup{Term: state.HardState.Term, LastIndex: s.LastIndex, SnapshotIndex: s.SnapshotIndex, TruncatedBytes: state.TornBytes}, state, nil
}

// RestoreFolder creates a new cluster from a copy of a log file, for when so many
// disks are lost that no quorum remains. The instance id becomes the only voter;
// the other members join it with empty folders. Uncommitted entries at the end
// of the copy are treated as committed.
func RestoreFolder(folder *crstore.Folder, data []byte, id uint64, members map[uint64]string) (Backup, error) {
	backup, state, err := decodeBackup(data)
	if err != nil {
		return backup, fmt.Errorf("backup: %w", err)
	}
	if _, ok := members[id]; !ok || backup.LastIndex == 0 {
		return backup, fmt.Errorf("cannot restore instance %d: not in members %v, or empty log (last entry %d)", id, members, backup.LastIndex)
	}
	store := &crstore.Store{Folder: folder, Rand: newIncarnation}
	empty, err := store.Open()
	if err != nil {
		return backup, err
	}
	if empty.HardState != (crquorum.HardState{}) || empty.Snapshot != nil || len(empty.Entries) > 0 {
		return backup, errors.Join(ErrLogExists, store.Close())
	}
	hard := crquorum.HardState{Term: state.HardState.Term + 1, Cluster: empty.Incarnation}
	entry := crquorum.Entry{
		Index: backup.LastIndex + 1, Term: hard.Term, Kind: crquorum.EntryConfig,
		Data: singleVoterConfig(id, empty.Incarnation, members).Encode(),
	}
	entries := append(state.Entries, entry)
	if state.Snapshot != nil {
		err = store.Replace(hard, *state.Snapshot, entries)
	} else {
		err = store.Append(&hard, entries)
	}
	return backup, errors.Join(err, store.Close())
}

// singleVoterConfig returns a configuration with id as the only voter and all
// others as joining members.
func singleVoterConfig(id, incarnation uint64, members map[uint64]string) crquorum.Config {
	c := crquorum.Config{Members: map[uint64]crquorum.Member{}}
	for other, addr := range members {
		c.Members[other] = crquorum.Member{Addr: addr, Role: crquorum.RoleJoining}
	}
	c.Members[id] = crquorum.Member{Addr: members[id], Incarnation: incarnation}
	return c
}
