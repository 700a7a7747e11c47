package crreplica

import (
	"errors"
	"fmt"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
)

// ErrLogExists says that a folder holds a log already.
var ErrLogExists = errors.New("the data folder holds a log")

// Backup says what a copy of a log file holds.
type Backup struct {
	// Term and LastIndex are those of the last entry.
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"last"`
	// SnapshotIndex is the index of the snapshot, 0 for none.
	SnapshotIndex uint64 `json:"snapshot"`
	// TruncatedBytes is how many bytes at the end belong to an unfinished write.
	TruncatedBytes int64 `json:"cut"`
}

// CheckBackup reads a copy of a log file. It can be taken while the instance runs:
// a write under way is cut.
func CheckBackup(data []byte) (Backup, error) {
	b, _, err := check(data)
	return b, err
}

// check reads a copy of a log file into a node.
func check(data []byte) (Backup, crstore.State, error) {
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

// RestoreFolder makes a new group from a copy of a log file, for the loss of
// more disks than a quorum can bear. The instance id becomes the only voter;
// the other members join it from empty folders. Entries at the end of the copy
// that were never committed are taken as committed.
func RestoreFolder(folder *crstore.Folder, data []byte, id uint64, members map[uint64]string) (Backup, error) {
	backup, state, err := check(data)
	if err != nil {
		return backup, fmt.Errorf("backup: %w", err)
	}
	if _, ok := members[id]; !ok || backup.LastIndex == 0 {
		return backup, fmt.Errorf("instance %d of %v can't start from a log that ends at %d", id, members, backup.LastIndex)
	}
	store := &crstore.Store{Folder: folder, Rand: randomNumber}
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
		Data: newGroup(id, empty.Incarnation, members).Encode(),
	}
	entries := append(state.Entries, entry)
	if state.Snapshot != nil {
		err = store.Replace(hard, *state.Snapshot, entries)
	} else {
		err = store.Append(&hard, entries)
	}
	return backup, errors.Join(err, store.Close())
}

// newGroup returns a configuration with one voter, which the others join.
func newGroup(id, life uint64, members map[uint64]string) crquorum.Config {
	c := crquorum.Config{Members: map[uint64]crquorum.Member{}}
	for other, addr := range members {
		c.Members[other] = crquorum.Member{Addr: addr, Role: crquorum.RoleJoining}
	}
	c.Members[id] = crquorum.Member{Addr: members[id], Incarnation: life}
	return c
}
