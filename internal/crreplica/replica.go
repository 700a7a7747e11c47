// Package crreplica runs one replica of the replicated log. It connects the
// consensus algorithm to the disk, the other instances and the clock, and runs
// the goroutine in which the state machine is read and changed.
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
	defaultTickInterval = 50 * time.Millisecond
	// proposeTimeout limits the time until a proposal is committed.
	proposeTimeout           = 5 * time.Second
	defaultSnapshotThreshold = 20_000
	defaultTransferTimeout   = time.Second
	maxPendingProposals      = 8192
	// inboxCapacity limits the received batches that the loop hasn't handled.
	inboxCapacity = 64
)

// ErrStopped is returned once the replica has stopped. A pending proposal may or
// may not be committed.
var ErrStopped = errors.New("the replica has stopped")

// ErrNoQuorum is returned if a proposal was not committed in time. It may still
// be committed later.
var ErrNoQuorum = errors.New("no quorum answered in time")

// NotLeaderError is returned if this instance isn't the leader. The proposal was
// not and will not be committed.
type NotLeaderError struct {
	// Leader is the host:port of the leader, empty when unknown.
	Leader string
}

// Error returns a message with the leader's address.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; the leader is unknown"
	}
	return "not the leader; the leader is " + e.Leader
}

// Replica is one instance of the replicated log. Set the exported fields before
// Open.
type Replica struct {
	// Settings contain the members and the path of the data folder.
	Settings *crdoc.Replica
	// FirstStart is true only when the whole system starts for the first time, with
	// empty disks. Then the members of Settings begin with the same configuration.
	FirstStart bool
	// Client calls the other instances.
	Client *crnet.Client
	// Apply applies the data of a committed entry to the state machine. It
	// runs in the replica's goroutine, once for each entry and in order.
	// Propose returns its result.
	Apply func(index uint64, data []byte) any
	// Snapshot returns the encoded state of the state machine.
	Snapshot func() []byte
	// Restore replaces the state of the state machine by a snapshot. Nil data is the
	// state before the first entry.
	Restore func(data []byte) error
	// StatusChanged is called in the replica's goroutine when Status.Leading,
	// Leader, Fresh or AcceptedIndex has changed.
	StatusChanged func(s Status)
	// Registry registers the metrics; nil for none.
	Registry *prometheus.Registry
	// Logf writes a log line; nil for none.
	Logf func(format string, args ...any)
	// Folder is the data folder; if nil, Open opens Settings.Data.
	Folder *crstore.Folder
	// TickInterval is the duration of a tick; 0 means the default.
	TickInterval time.Duration
	// SnapshotThreshold is the number of applied entries after which a snapshot
	// is taken; 0 means the default.
	SnapshotThreshold uint64
	// ElectionTicks is the minimum election timeout; 0 means the default.
	ElectionTicks uint64
	// TransferTimeout limits how long a stopping leader waits for a follower
	// that has the whole log; 0 means the default.
	TransferTimeout time.Duration

	node   *crquorum.Node
	driver *Driver
	ctx    context.Context
	// stopped is closed when Run has left the loop.
	stopped   chan struct{}
	calls     chan func()
	proposals chan proposal
	inbox     chan Batch
	pending   map[uint64]pendingProposal
	// recordWaits are the applied proposals of ProposeRecorded.
	recordWaits []recordWait
	links       map[linkKey]*link
	// learnedAddrs maps instance IDs to the host:port in their last batch.
	learnedAddrs map[uint64]string
	// lastTick is the crclock time to which the node's clock was last advanced.
	lastTick  time.Duration
	published atomic.Pointer[publishedStatus]
	metrics   metrics
	wg        sync.WaitGroup
}

// Do runs f in the replica's goroutine and waits until it returns.
func (r *Replica) Do(f func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { defer close(done); f() }:
		<-done
		return nil
	case <-r.ctx.Done():
		return ErrStopped
	}
}

// Stopped returns a channel that is closed when the replica has stopped handling
// messages. Until then a stopping leader transfers its leadership, so the handler
// of Routes must still be served.
func (r *Replica) Stopped() <-chan struct{} { return r.stopped }

// Routes returns the handler of the calls from other instances, under /quorum/.
func (r *Replica) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+stepPath, r.serveStep)
	return mux
}

func (r *Replica) logf(format string, args ...any) {
	if r.Logf != nil {
		r.Logf(format, args...)
	}
}
