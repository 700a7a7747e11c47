// Package crreplica drives one instance of the replicated log: it owns the
// goroutine of the control state, the disk and the calls between instances.
package crreplica

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstore"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// tickDefault is the length of a tick.
	tickDefault = 50 * time.Millisecond
	// proposeDefault bounds how long a proposal waits for its commit.
	proposeDefault = 5 * time.Second
	// snapshotDefault is how many entries are applied between snapshots.
	snapshotDefault = 20_000
	// pendingMax bounds the proposals that wait for their commit.
	pendingMax = 8192
	// inboxSize bounds the batches of messages that wait for the loop.
	inboxSize = 64
)

// ErrStopped says that the replica has stopped. A proposal under way may or
// may not be committed.
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

// Replica is one instance. Set the exported fields before Open.
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
	// StatusChanged is called in the replica's goroutine when Leading, Leader or
	// Fresh changes.
	StatusChanged func(s Status)
	// Registry takes the metrics; nil for none.
	Registry *prometheus.Registry
	// Logf writes a log line for a change of state; nil for none.
	Logf func(format string, args ...any)
	// Folder is the data folder; nil opens Settings.Data.
	Folder *crstore.Folder
	// TickInterval is the unit of election timeouts and heartbeats; 0 means the
	// default.
	TickInterval time.Duration
	// SnapshotThreshold is how many entries are applied between snapshots; 0 means the
	// default.
	SnapshotThreshold uint64
	// ElectionTicks is the shortest election timeout in ticks; 0 means the
	// default.
	ElectionTicks uint64

	node *crquorum.Node
	core *Driver
	life context.Context
	// ended is closed when the loop has ended.
	ended     chan struct{}
	calls     chan func()
	proposals chan proposal
	inbox     chan Batch
	waiting   map[uint64]waiter
	links     map[linkKey]*link
	// learnt maps instances to the host:port that their last batch named.
	learnt map[uint64]string
	// ticked is the time of the node's clock, by crclock.
	ticked  time.Duration
	shown   atomic.Pointer[shown]
	metrics metrics
	group   sync.WaitGroup
}

// Do runs f in the replica's goroutine and waits for it.
func (r *Replica) Do(f func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { defer close(done); f() }:
		<-done
		return nil
	case <-r.life.Done():
		return ErrStopped
	}
}

// Stopped is closed when Run has ended; until then a leader that stops hands
// over, and its calls must be served.
func (r *Replica) Stopped() <-chan struct{} { return r.ended }

// Routes serves the calls of the other instances, under /quorum/.
func (r *Replica) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+stepPath, r.serveStep)
	return mux
}

// logf writes a log line if there is a log.
func (r *Replica) logf(format string, args ...any) {
	if r.Logf != nil {
		r.Logf(format, args...)
	}
}
