package crreplica

import (
	"fmt"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
)

// keepShare is the part of SnapshotThreshold that stays in the log after a snapshot, for
// followers that are a little behind.
const keepShare = 4

// keepMax bounds the same part in bytes: a few large entries fill the memory of
// a small instance otherwise.
const keepMax = 1 << 20

// grownMax is how many bytes of entries make a snapshot due. An instance that
// starts reads them all before it answers: that many, compressed, take a third
// of a core about a tenth of a second.
const grownMax = 256 << 10

// Driver joins a node to its disk: it carries out the node's effects in order,
// so that nothing is answered or applied before it is synced. It opens no
// socket and reads no clock. Set the exported fields before Open.
type Driver struct {
	// Node needs its ID, Initial and Rand; Open sets Incarnation.
	Node  *crquorum.Node
	Store *crstore.Store
	// Send hands messages to the network.
	Send func(messages []crquorum.Message)
	// Apply carries out a committed entry.
	Apply func(e crquorum.Entry)
	// Snapshot returns the state after the last applied entry.
	Snapshot func() []byte
	// Restore replaces the state by a snapshot.
	Restore func(snap crquorum.Snapshot) error
	// SnapshotThreshold is how many entries are applied between snapshots.
	SnapshotThreshold uint64

	// grown is what entries have added to the log since the last snapshot,
	// in bytes.
	grown int
}

// Open loads what is on disk. It returns how many bytes of an unfinished write
// were cut off.
func (c *Driver) Open() (cut int64, err error) {
	state, err := c.Store.Open()
	if err != nil {
		return 0, err
	}
	if state.Snapshot != nil {
		if err := c.Restore(*state.Snapshot); err != nil {
			return 0, fmt.Errorf("restore snapshot %d: %w", state.Snapshot.Index, err)
		}
	}
	c.Node.Incarnation = state.Incarnation
	return state.TornBytes, c.Node.Open(state.HardState, state.Snapshot, state.Entries)
}

// ProcessEffects carries out the node's effects until none is left. An error means
// that the disk failed; the instance must stop and send nothing more.
func (c *Driver) ProcessEffects() error {
	for c.Node.Pending() {
		e := c.Node.Take()
		c.Send(e.BeforeSync)
		if err := c.persist(e); err != nil {
			return err
		}
		c.Node.Synced()
		c.Send(e.AfterSync)
		for _, entry := range e.Committed {
			c.Apply(entry)
		}
	}
	return c.compact()
}

// persist syncs what the node wants on disk.
func (c *Driver) persist(e crquorum.Effects) error {
	for i := range e.Entries {
		c.grown += len(e.Entries[i].Data)
	}
	if e.Snapshot == nil {
		return c.Store.Append(e.HardState, e.Entries)
	}
	if err := c.Store.Replace(*e.HardState, *e.Snapshot, e.Entries); err != nil {
		return err
	}
	if err := c.Restore(*e.Snapshot); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", e.Snapshot.Index, err)
	}
	return nil
}

// compact takes a snapshot when enough entries have been applied.
func (c *Driver) compact() error {
	s := c.Node.Status()
	if s.Applied == s.SnapshotIndex || s.Applied-s.SnapshotIndex < c.SnapshotThreshold && c.grown < grownMax {
		return nil
	}
	c.grown = 0
	return c.Store.Replace(c.Node.Compact(c.Snapshot(), c.Node.TrailingCount(c.SnapshotThreshold/keepShare, keepMax)))
}
