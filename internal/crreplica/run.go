package crreplica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
)

// Open loads the state from disk, applies the entries that are known to be committed,
// and prepares the replica for Run, Propose and Do. Later entries are applied when the
// replica receives the commit index from the leader or becomes the leader itself. The
// caller must call Run after Open, because Run closes the data folder.
func (r *Replica) Open(ctx context.Context) error {
	r.ctx = ctx
	if r.TickInterval == 0 {
		r.TickInterval = defaultTickInterval
	}
	if r.SnapshotThreshold == 0 {
		r.SnapshotThreshold = defaultSnapshotThreshold
	}
	if r.TransferTimeout == 0 {
		r.TransferTimeout = defaultTransferTimeout
	}
	r.stopped = make(chan struct{})
	r.calls = make(chan func())
	r.proposals = make(chan proposal)
	r.inbox = make(chan Batch, inboxCapacity)
	r.pending = map[uint64]pendingProposal{}
	r.links = map[linkKey]*link{}
	r.learnedAddrs = map[uint64]string{}
	r.metrics.register(r.Registry)
	if r.Folder == nil {
		folder, err := crstore.OpenFolder(r.Settings.DataDir)
		if err != nil {
			return err
		}
		r.Folder = folder
	}
	r.newNode()
	return r.openLog()
}

// openLog opens the log on disk with the current node.
func (r *Replica) openLog() error {
	truncated, err := r.driver.Open()
	if err != nil {
		return fmt.Errorf("data folder %s: %w", r.Settings.DataDir, err)
	}
	if truncated > 0 {
		r.logf("removed %d bytes of an incomplete write from the end of the log file", truncated)
	}
	r.lastTick = crclock.Now()
	return nil
}

// newIncarnation returns a random incarnation.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Run runs the replica until the context of Open is done. While the disk is full it
// waits for room. On an error the disk has failed or its data is corrupt; the instance
// must stop.
func (r *Replica) Run() error {
	err := r.loopUntilStopped()
	if err == nil && r.driver.Store.Opened() {
		err = r.transferLeadership()
	}
	r.endRecordWaits()
	close(r.stopped)
	for _, l := range r.links {
		close(l.quit)
	}
	r.wg.Wait()
	if !r.driver.Store.Opened() {
		return err
	}
	return errors.Join(err, r.driver.Store.Close())
}

// loop handles one event at a time. It advances the clock before each event, so
// that a process that was paused detects an expired lease before it responds.
func (r *Replica) loop() error {
	ticker := time.NewTicker(r.TickInterval)
	defer ticker.Stop()
	if err := r.processEffects(); err != nil {
		return err
	}
	for {
		proposals := r.proposals
		if r.unresolved() >= maxPendingProposals {
			proposals = nil
		}
		var err error
		select {
		case <-r.ctx.Done():
			return nil
		case <-ticker.C:
			r.advance()
		case f := <-r.calls:
			r.advance()
			f()
		case p := <-proposals:
			r.advance()
			r.appendProposals(p)
		case b := <-r.inbox:
			r.advance()
			err = r.step(b)
		}
		if err = errors.Join(err, r.processEffects()); err != nil {
			return err
		}
	}
}

// advance sets the node's clock to the current time and publishes the status, in
// case a lease has expired.
func (r *Replica) advance() {
	ticks := (crclock.Now() - r.lastTick) / r.TickInterval
	if ticks > 0 {
		r.lastTick += ticks * r.TickInterval
		r.node.Tick(uint64(ticks))
		r.publishStatus()
	}
}

// appendProposals appends a proposal and all waiting ones, so that they share a
// sync.
func (r *Replica) appendProposals(p proposal) {
	r.appendProposal(p)
	for r.unresolved() < maxPendingProposals {
		select {
		case p := <-r.proposals:
			r.appendProposal(p)
		default:
			return
		}
	}
}

// step passes a batch of messages and all waiting ones to the node.
func (r *Replica) step(b Batch) error {
	for {
		r.learnedAddrs[b.From] = b.Addr
		for _, m := range b.Messages {
			if err := r.node.Step(m); err != nil {
				return err
			}
		}
		select {
		case b = <-r.inbox:
		default:
			return nil
		}
	}
}

// processEffects carries out the node's effects and publishes the status.
func (r *Replica) processEffects() error {
	if err := r.driver.ProcessEffects(); err != nil {
		return err
	}
	r.resolveRecordWaits()
	r.publishStatus()
	return nil
}

// apply applies a committed entry and resolves its proposal.
func (r *Replica) apply(e crquorum.Entry) {
	var value any
	if e.Kind == crquorum.EntryData {
		value = r.Apply(e.Index, e.Data)
	}
	r.resolveProposal(e, value)
}

// restore replaces the state of the state machine by a snapshot.
func (r *Replica) restore(snap crquorum.Snapshot) error {
	r.failProposals(snap.Index)
	return r.Restore(snap.Data)
}

// transferLeadership transfers the leadership, if any, to a follower before this
// instance stops. The follower must have the whole log, so the leader keeps
// replicating for up to TransferTimeout but accepts no new proposals.
func (r *Replica) transferLeadership() error {
	ticker := time.NewTicker(r.TickInterval)
	defer ticker.Stop()
	deadline := time.Now().Add(r.TransferTimeout)
	if len(r.node.Status().Config.Members) == 1 {
		return r.processEffects()
	}
	for r.node.Status().Leader == r.Settings.ID && !r.tryTransfer() && time.Now().Before(deadline) {
		var err error
		select {
		case <-ticker.C:
			r.advance()
		case b := <-r.inbox:
			r.advance()
			err = r.step(b)
		}
		if err = errors.Join(err, r.processEffects()); err != nil {
			return err
		}
	}
	return r.processEffects()
}

// tryTransfer starts a transfer to the first follower that has the whole log. It
// returns false if there is none.
func (r *Replica) tryTransfer() bool {
	for _, id := range r.node.Status().Config.IDs() {
		if id != r.Settings.ID && r.node.TransferLeadership(id) == nil {
			r.logf("transferring leadership to instance %d", id)
			return true
		}
	}
	return false
}
