package crreplica

import (
	"fmt"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
)

// trailingDivisor sets the number of entries that stay in the log after a
// snapshot, for followers that are slightly behind: SnapshotThreshold /
// trailingDivisor.
const trailingDivisor = 4

// maxTrailingBytes limits the data of the entries that stay in the log after a
// snapshot. Without it a few large entries could fill the memory of a small
// instance.
const maxTrailingBytes = 1 << 20

// snapshotThresholdBytes is the amount of entry data after which a snapshot is
// taken. A starting instance reads all entries after the snapshot before it
// serves requests: this amount of compressed data takes about 0.1 s on a third
// of a core.
const snapshotThresholdBytes = 256 << 10

// Driver connects a node to its disk. It carries out the node's effects in order,
// so that entries are synced before they are acknowledged or applied. It opens
// no socket and reads no clock. Set the exported fields before Open.
type Driver struct {
	// Node must have ID, InitialMembers and Rand set; Open sets Incarnation.
	Node  *crquorum.Node
	Store *crstore.Store
	// Send sends messages to other instances.
	Send func(messages []crquorum.Message)
	// Apply applies a committed entry.
	Apply func(e crquorum.Entry)
	// Snapshot returns the encoded state of the state machine.
	Snapshot func() []byte
	// Restore replaces the state of the state machine by a snapshot.
	Restore func(snap crquorum.Snapshot) error
	// SnapshotThreshold is the number of applied entries after which a snapshot
	// is taken.
	SnapshotThreshold uint64

	// bytesSinceSnapshot is the data of the entries appended since the last
	// snapshot.
	bytesSinceSnapshot int
}

// Open loads the state from disk and applies the entries that are known to be
// committed. It returns the number of bytes of an incomplete write that were removed
// from the end of the log file.
func (d *Driver) Open() (truncated int64, err error) {
	state, err := d.Store.Open()
	if err != nil {
		return 0, err
	}
	if state.Snapshot != nil {
		if err := d.Restore(*state.Snapshot); err != nil {
			return 0, fmt.Errorf("restore snapshot %d: %w", state.Snapshot.Index, err)
		}
	}
	d.Node.Incarnation = state.Incarnation
	if err := d.Node.Open(state.HardState, state.Snapshot, state.Entries); err != nil {
		return 0, err
	}
	return state.TornBytes, d.carryOut()
}

// ProcessEffects carries out the node's effects until none is pending. On an
// error the disk has failed; the instance must stop and send nothing more.
func (d *Driver) ProcessEffects() error {
	if err := d.carryOut(); err != nil {
		return err
	}
	return d.compact()
}

// carryOut carries out the node's effects until none is pending.
func (d *Driver) carryOut() error {
	for d.Node.Pending() {
		e := d.Node.Take()
		d.Send(e.BeforeSync)
		if err := d.persist(e); err != nil {
			return err
		}
		d.Node.Synced()
		d.Send(e.AfterSync)
		for _, entry := range e.Committed {
			d.Apply(entry)
		}
	}
	return nil
}

// persist writes the hard state, snapshot and entries of e to disk and syncs them.
func (d *Driver) persist(e crquorum.Effects) error {
	for i := range e.Entries {
		d.bytesSinceSnapshot += len(e.Entries[i].Data)
	}
	if e.Snapshot == nil {
		return d.Store.Append(e.HardState, e.Entries)
	}
	if err := d.Store.Replace(*e.HardState, *e.Snapshot, e.Entries); err != nil {
		return err
	}
	if err := d.Restore(*e.Snapshot); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", e.Snapshot.Index, err)
	}
	return nil
}

// compact takes a snapshot if one of the thresholds is reached.
func (d *Driver) compact() error {
	s := d.Node.Status()
	if s.Applied == s.SnapshotIndex || s.Applied-s.SnapshotIndex < d.SnapshotThreshold && d.bytesSinceSnapshot < snapshotThresholdBytes {
		return nil
	}
	d.bytesSinceSnapshot = 0
	return d.Store.Replace(d.Node.Compact(d.Snapshot(), d.Node.TrailingCount(d.SnapshotThreshold/trailingDivisor, maxTrailingBytes)))
}
