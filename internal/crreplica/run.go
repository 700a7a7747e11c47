package crreplica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
)

// handOverMax bounds how long a leader that stops waits for a follower that
// holds the whole log.
const handOverMax = time.Second

// Open loads what is on disk and makes the replica ready for Run, Propose and
// Do. Entries after the snapshot are applied once the leader says how far the
// log is committed. Call Run after it: Run frees the data folder.
func (r *Replica) Open(ctx context.Context) error {
	r.life = ctx
	if r.TickInterval == 0 {
		r.TickInterval = tickDefault
	}
	if r.SnapshotThreshold == 0 {
		r.SnapshotThreshold = snapshotDefault
	}
	r.ended = make(chan struct{})
	r.calls = make(chan func())
	r.proposals = make(chan proposal)
	r.inbox = make(chan Batch, inboxSize)
	r.waiting = map[uint64]waiter{}
	r.links = map[linkKey]*link{}
	r.learnt = map[uint64]string{}
	r.metrics.open(r.Registry)
	if r.Folder == nil {
		folder, err := crstore.OpenFolder(r.Settings.Data)
		if err != nil {
			return err
		}
		r.Folder = folder
	}
	r.node = &crquorum.Node{
		ID: r.Settings.ID, InitialMembers: r.Settings.Members, Rand: mathrand.Uint64N, ElectionTicks: r.ElectionTicks,
	}
	r.core = &Driver{
		Node:              r.node,
		Store:             &crstore.Store{Folder: r.timed(r.Folder), Rand: randomNumber},
		Send:              r.send,
		Apply:             r.apply,
		Snapshot:          r.Snapshot,
		Restore:           r.restore,
		SnapshotThreshold: r.SnapshotThreshold,
	}
	cut, err := r.core.Open()
	if err != nil {
		return fmt.Errorf("data folder %s: %w", r.Settings.Data, err)
	}
	if cut > 0 {
		r.logf("cut %d bytes of an unfinished write off the log", cut)
	}
	r.ticked = crclock.Now()
	return nil
}

// randomNumber draws an incarnation.
func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Run takes part in the log until the context of Open ends. An error means
// that the disk failed or holds corrupt data; the instance must then stop.
func (r *Replica) Run() error {
	err := r.loop()
	if err == nil {
		err = r.handOver()
	}
	close(r.ended)
	for _, l := range r.links {
		close(l.quit)
	}
	r.group.Wait()
	return errors.Join(err, r.core.Store.Close())
}

// loop handles one event at a time. The clock moves before each event, so that
// a process that was stopped finds its lease gone before it answers.
func (r *Replica) loop() error {
	ticker := time.NewTicker(r.TickInterval)
	defer ticker.Stop()
	if err := r.settle(); err != nil {
		return err
	}
	for {
		proposals := r.proposals
		if len(r.waiting) >= pendingMax {
			proposals = nil
		}
		var err error
		select {
		case <-r.life.Done():
			return nil
		case <-ticker.C:
			r.advance()
		case f := <-r.calls:
			r.advance()
			f()
		case p := <-proposals:
			r.advance()
			r.acceptAll(p)
		case b := <-r.inbox:
			r.advance()
			err = r.step(b)
		}
		if err = errors.Join(err, r.settle()); err != nil {
			return err
		}
	}
}

// advance moves the node's clock to the present and reports a lease that has
// ended meanwhile.
func (r *Replica) advance() {
	ticks := (crclock.Now() - r.ticked) / r.TickInterval
	if ticks > 0 {
		r.ticked += ticks * r.TickInterval
		r.node.Tick(uint64(ticks))
		r.show()
	}
}

// acceptAll appends a proposal and those that wait, so that they share a sync.
func (r *Replica) acceptAll(p proposal) {
	r.accept(p)
	for len(r.waiting) < pendingMax {
		select {
		case p := <-r.proposals:
			r.accept(p)
		default:
			return
		}
	}
}

// step hands the node a batch of messages and those that wait.
func (r *Replica) step(b Batch) error {
	for {
		r.learnt[b.From] = b.Addr
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

// settle carries out the node's effects and publishes the status.
func (r *Replica) settle() error {
	if err := r.core.ProcessEffects(); err != nil {
		return err
	}
	r.show()
	return nil
}

// apply carries out a committed entry and answers its proposer.
func (r *Replica) apply(e crquorum.Entry) {
	var value any
	if e.Kind == crquorum.EntryData {
		value = r.Apply(e.Index, e.Data)
	}
	r.answer(e, value)
}

// restore replaces the state by a snapshot.
func (r *Replica) restore(snap crquorum.Snapshot) error {
	r.giveUp(snap.Index)
	return r.Restore(snap.Data)
}

// handOver makes a follower take over before this leader stops. Entries that
// are on their way must reach it first, so that the leader goes on for a while
// without taking new ones.
func (r *Replica) handOver() error {
	ticker := time.NewTicker(r.TickInterval)
	defer ticker.Stop()
	end := time.Now().Add(handOverMax)
	if len(r.node.Status().Config.Members) == 1 {
		return r.settle()
	}
	for r.node.Status().Leader == r.Settings.ID && !r.transfer() && time.Now().Before(end) {
		var err error
		select {
		case <-ticker.C:
			r.advance()
		case b := <-r.inbox:
			r.advance()
			err = r.step(b)
		}
		if err = errors.Join(err, r.settle()); err != nil {
			return err
		}
	}
	return r.settle()
}

// transfer asks the first follower that holds the whole log to take over;
// false when there is none.
func (r *Replica) transfer() bool {
	for _, id := range r.node.Status().Config.IDs() {
		if id != r.Settings.ID && r.node.TransferLeadership(id) == nil {
			r.logf("instance %d is to take over the lead", id)
			return true
		}
	}
	return false
}
