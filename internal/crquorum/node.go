package crquorum

import "fmt"

// phase is the Raft state of an instance: follower, pre-candidate, candidate
// or leader.
type phase int

const (
	phaseFollower phase = iota
	phasePreCandidate
	phaseCandidate
	phaseLeader
)

const (
	// DefaultElectionTicks is the default minimum election timeout, in ticks.
	DefaultElectionTicks = 20
	// DefaultHeartbeatTicks is the default heartbeat interval, in ticks.
	DefaultHeartbeatTicks = 2
	// minClockStart is the lowest initial reading of an instance's clock. The
	// clock starts at a random reading between it and twice its value, so
	// that an echo from before a restart isn't considered recent.
	minClockStart = 1 << 48
)

// Node is the Raft state machine of one instance. Set the exported fields
// before Open. It is not safe for concurrent use.
type Node struct {
	// ID is the ID of the instance, at least 1.
	ID uint64
	// Incarnation identifies this instance's disk. It is a random number other
	// than 0, drawn when the disk was found empty.
	Incarnation uint64
	// InitialMembers maps the ID of each initial instance to its host:port.
	// The instance with the lowest ID bootstraps the cluster once all others
	// have pledged to join it. It isn't needed if the disk holds a FirstState.
	InitialMembers map[uint64]string
	// Rand returns a random number in [0, n).
	Rand func(n uint64) uint64
	// ElectionTicks is the minimum election timeout, HeartbeatTicks the
	// heartbeat interval; 0 means the default.
	ElectionTicks, HeartbeatTicks uint64

	hardState         HardState
	log               entryLog
	commit            uint64
	phase             phase
	leader            uint64
	hardStateChanged  bool
	snapshotInstalled bool
	applied           uint64

	// now is the clock in ticks. lastLeaderContact is the time of the last
	// message from a leader. deadline is when the next election or heartbeat
	// is due.
	now, lastLeaderContact, deadline uint64
	// upToDateAt is the last time at which this follower is known to have had
	// all committed entries, 0 for never.
	upToDateAt uint64
	// peerTicks maps each other instance to the Tick of its last message.
	peerTicks map[uint64]uint64
	votes     map[uint64]bool
	peers     map[uint64]*progress
	// syncedIndex is the last entry that this leader has synced to its own
	// disk.
	syncedIndex uint64
	// transferStartedAt is when this leader started a leadership transfer, 0
	// for none.
	transferStartedAt uint64
	// clusterJoinedAt is when this instance last joined a cluster.
	clusterJoinedAt uint64
	// leaderSince is when this instance became leader.
	leaderSince uint64
	// pledges maps each initial instance that has pledged to join this
	// instance's cluster to its incarnation. Pledges for requests that were sent
	// before bootstrappedAt, when this instance bootstrapped the cluster or
	// started, don't count.
	pledges        map[uint64]uint64
	bootstrappedAt uint64

	beforeSync, afterSync []Message
	pendingSync           syncTarget
}

// syncTarget is the state that the last Take returned for syncing.
type syncTarget struct {
	term, last uint64
	vote       bool
}

// Open initializes the node with the state read from disk. For an empty disk
// that is the zero HardState, no snapshot and no entries.
func (n *Node) Open(hard HardState, snap *Snapshot, entries []Entry) error {
	if n.ElectionTicks == 0 {
		n.ElectionTicks = DefaultElectionTicks
	}
	if n.HeartbeatTicks == 0 {
		n.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if n.ID == 0 || n.Incarnation == 0 {
		return fmt.Errorf("instance ID %d and incarnation %d must not be 0", n.ID, n.Incarnation)
	}
	if err := n.log.open(snap, entries); err != nil {
		return err
	}
	if hard.Commit > n.log.last() {
		return fmt.Errorf("entries up to %d are committed, but the log ends at entry %d", hard.Commit, n.log.last())
	}
	n.hardState = hard
	n.hardState.Commit = max(hard.Commit, n.log.snap.Index)
	n.commit, n.applied = n.hardState.Commit, n.log.snap.Index
	n.peerTicks = map[uint64]uint64{}
	n.pledges = map[uint64]uint64{}
	n.now = minClockStart + n.Rand(minClockStart)
	n.lastLeaderContact, n.clusterJoinedAt, n.bootstrappedAt = n.now, n.now, n.now
	n.becomeFollower(n.hardState.Term, 0)
	if n.isBeforeFirstElection() {
		// No leader's lease can depend on this instance.
		n.lastLeaderContact = n.now - n.ElectionTicks
	}
	if c := n.log.config(); c.VoterCount() == 1 && c.IsVoter(n.ID, n.Incarnation) {
		n.deadline = n.now
	}
	return nil
}

// Tick advances the clock. If the process was paused, the driver passes the
// whole duration of the pause before the next Step, so that an expired lease is
// detected before any request is answered.
func (n *Node) Tick(ticks uint64) {
	n.now += ticks
	if n.phase == phaseLeader {
		n.tickLeader()
		return
	}
	if n.now < n.deadline {
		return
	}
	if n.isLogEmpty() {
		n.deadline = n.now + n.HeartbeatTicks
		n.tryBootstrap()
		return
	}
	n.resetDeadline()
	if n.isUncommittedBootstrap() {
		n.sendHellos()
	}
	if n.log.config().IsVoter(n.ID, n.Incarnation) {
		n.startPreVote()
	}
}

// becomeFollower makes this instance a follower in term. leader is 0 while
// unknown.
func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, 0
		n.hardStateChanged = true
	}
	n.phase, n.leader = phaseFollower, leader
	n.peers, n.votes = nil, nil
	n.upToDateAt, n.transferStartedAt = 0, 0
	n.resetDeadline()
}

// resetDeadline sets a new random election timeout.
func (n *Node) resetDeadline() {
	n.deadline = n.now + n.ElectionTicks + n.Rand(n.ElectionTicks)
	if n.isLogEmpty() || n.isBeforeFirstElection() && n.hasLowestID() {
		n.deadline = n.now + n.HeartbeatTicks
	}
}

// send queues a message that must not be sent before the next sync.
func (n *Node) send(m Message) { n.afterSync = append(n.afterSync, n.fillHeader(m)) }

// sendBeforeSync queues a message that may be sent before the next sync.
func (n *Node) sendBeforeSync(m Message) { n.beforeSync = append(n.beforeSync, n.fillHeader(m)) }

// fillHeader sets the fields that every message carries.
func (n *Node) fillHeader(m Message) Message {
	m.From, m.Incarnation, m.Cluster, m.Tick = n.ID, n.Incarnation, n.hardState.Cluster, n.now
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	return m
}

// isLogEmpty reports whether the log has neither entries nor a snapshot. Such
// an instance has no vote.
func (n *Node) isLogEmpty() bool { return n.log.last() == 0 }
