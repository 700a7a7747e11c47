package crreplica

import (
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"syscall"
	"time"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
)

// roomCheckInterval is the time between two checks whether a full disk has room.
const roomCheckInterval = 250 * time.Millisecond

// loopUntilStopped runs the loop. When the disk is full it waits for room and then
// continues from the disk, as a restarted process would: what the failed write should
// have stored was neither acknowledged nor applied. Any other error is returned.
func (r *Replica) loopUntilStopped() error {
	for {
		err := r.loop()
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		r.metrics.diskFull.Set(1)
		r.logf("the disk is full; this instance leads and follows nothing until it has room: %v", err)
		if ok, err := r.waitForRoom(); !ok {
			return err
		}
		r.metrics.diskFull.Set(0)
		r.logf("the disk has room again; continuing from the log on disk")
	}
}

// waitForRoom waits until the disk has room and opens the log again. It returns false
// when the replica must stop. Until then the instance has no leader, refuses proposals
// and drops messages, so that the others elect a leader without it.
func (r *Replica) waitForRoom() (bool, error) {
	r.resolvePending(ErrNoQuorum)
	r.publishWithoutLeader()
	if err := r.driver.Store.Close(); err != nil {
		r.logf("close the log on a full disk: %v", err)
	}
	ticker := time.NewTicker(roomCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return false, nil
		case f := <-r.calls:
			f()
		case p := <-r.proposals:
			p.result <- outcome{err: &NotLeaderError{}}
		case <-r.inbox:
		case <-ticker.C:
			err := r.reopen()
			if !errors.Is(err, syscall.ENOSPC) {
				return err == nil, err
			}
		}
	}
}

// reopen opens the log with a new node. Its error is ENOSPC while the disk has no
// room.
func (r *Replica) reopen() error {
	if err := r.Folder.CheckRoom(); err != nil {
		return err
	}
	r.newNode()
	// Without a snapshot on disk, all entries are applied again to the empty state.
	if err := r.Restore(nil); err != nil {
		return fmt.Errorf("reset the state: %w", err)
	}
	return r.openLog()
}

// newNode creates the node and the driver that connects it to the disk.
func (r *Replica) newNode() {
	r.node = &crquorum.Node{
		ID: r.Settings.ID, InitialMembers: r.Settings.Members, Rand: mathrand.Uint64N, ElectionTicks: r.ElectionTicks,
	}
	r.driver = &Driver{
		Node:              r.node,
		Store:             r.newStore(),
		Send:              r.send,
		Apply:             r.apply,
		Snapshot:          r.Snapshot,
		Restore:           r.restore,
		SnapshotThreshold: r.SnapshotThreshold,
	}
}

// newStore returns the store of the data folder. At the first start of the whole system
// an initial member's store begins with the first configuration.
func (r *Replica) newStore() *crstore.Store {
	s := &crstore.Store{Folder: r.withSyncMetrics(r.Folder), Rand: newIncarnation}
	if _, initial := r.Settings.Members[r.Settings.ID]; initial && r.FirstStart {
		s.Initial = crstore.FirstState(r.Settings.Members)
	}
	return s
}

// resolvePending resolves all pending proposals with an error, except for applied ones.
func (r *Replica) resolvePending(err error) {
	for i, p := range r.pending {
		delete(r.pending, i)
		p.result <- outcome{err: err}
	}
	r.endRecordWaits()
}

// publishWithoutLeader publishes the last status without a leader and its lease.
func (r *Replica) publishWithoutLeader() {
	status := r.Status()
	status.Leader, status.Address, status.Leading, status.Fresh = 0, "", false, false
	r.published.Store(&publishedStatus{status: status})
	r.metrics.setStatus(status)
	r.StatusChanged(status)
}
