package crquorum

import "fmt"

// phase is what an instance does in its term.
type phase int

const (
	following phase = iota
	probing
	standing
	leading
)

const (
	// DefaultElectionTicks is the shortest time without a leader before an
	// instance stands for election, in ticks.
	DefaultElectionTicks = 20
	// DefaultHeartbeatTicks is the time between heartbeats, in ticks.
	DefaultHeartbeatTicks = 2
	// clockRange bounds the random start of an instance's clock, so that an
	// echo from before a restart doesn't look recent.
	clockRange = 1 << 48
)

// Node is one instance of the log. Set the exported fields before Open. It is
// not safe for concurrent use.
type Node struct {
	// ID is the instance's number, at least 1.
	ID uint64
	// Incarnation is the incarnation of this instance's disk: random, never 0,
	// drawn when the disk was found empty.
	Incarnation uint64
	// InitialMembers maps each initial instance to its host:port. The lowest ID
	// founds the group once every one of them has pledged to join.
	InitialMembers map[uint64]string
	// Rand returns a random number below n.
	Rand func(n uint64) uint64
	// ElectionTicks and HeartbeatTicks are in ticks; 0 means the default.
	ElectionTicks, HeartbeatTicks uint64

	hard        HardState
	log         entryLog
	commit      uint64
	phase       phase
	leader      uint64
	hardChanged bool
	restored    bool
	applied     uint64

	// now is the clock in ticks; contact is when a leader was last heard;
	// deadline is when the next election or heartbeat is due.
	now, contact, deadline uint64
	// proof is the time at which this follower was last known to be up to
	// date, 0 for never.
	proof uint64
	// ticks holds the last clock reading seen from each instance.
	ticks map[uint64]uint64
	tally map[uint64]bool
	peers map[uint64]*progress
	// synced is the last own entry that is on disk, while leading.
	synced uint64
	// handover is when this leader asked another to take over, 0 for never.
	handover uint64
	// chosen is when this instance last chose a group.
	chosen uint64
	// started is when this instance became leader.
	started uint64
	pledges map[uint64]uint64

	early, late []Message
	syncing     syncing
}

// syncing is what the driver was last given to sync.
type syncing struct {
	term, last uint64
	vote       bool
}

// Open starts from what was on disk: the zero HardState, no snapshot and no
// entries when it was empty.
func (n *Node) Open(hard HardState, snap *Snapshot, entries []Entry) error {
	if n.ElectionTicks == 0 {
		n.ElectionTicks = DefaultElectionTicks
	}
	if n.HeartbeatTicks == 0 {
		n.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if n.ID == 0 || n.Incarnation == 0 {
		return fmt.Errorf("instance %d with incarnation %d: neither may be 0", n.ID, n.Incarnation)
	}
	if err := n.log.open(snap, entries); err != nil {
		return err
	}
	n.hard = hard
	n.commit, n.applied = n.log.snap.Index, n.log.snap.Index
	n.ticks = map[uint64]uint64{}
	n.pledges = map[uint64]uint64{}
	n.now = clockRange + n.Rand(clockRange)
	n.contact, n.chosen = n.now, n.now
	n.follow(n.hard.Term, 0)
	if c := n.log.config(); c.VoterCount() == 1 && c.IsVoter(n.ID, n.Incarnation) {
		n.deadline = n.now
	}
	return nil
}

// Tick moves the clock on. After a pause the driver passes the whole gap, so
// that leases end before anything is answered.
func (n *Node) Tick(ticks uint64) {
	n.now += ticks
	if n.phase == leading {
		n.tickLeader()
		return
	}
	if n.now < n.deadline {
		return
	}
	if n.blank() {
		n.deadline = n.now + n.HeartbeatTicks
		n.found()
		return
	}
	n.resetDeadline()
	if n.log.config().IsVoter(n.ID, n.Incarnation) {
		n.probe()
	}
}

// follow becomes a follower in a term.
func (n *Node) follow(term, leader uint64) {
	if term != n.hard.Term {
		n.hard.Term, n.hard.Vote = term, 0
		n.hardChanged = true
	}
	n.phase, n.leader = following, leader
	n.peers, n.tally = nil, nil
	n.proof, n.handover = 0, 0
	n.resetDeadline()
}

// resetDeadline draws a new election timeout.
func (n *Node) resetDeadline() {
	n.deadline = n.now + n.ElectionTicks + n.Rand(n.ElectionTicks)
	if n.blank() {
		n.deadline = n.now + n.HeartbeatTicks
	}
}

// send queues a message that must wait for the sync.
func (n *Node) send(m Message) { n.late = append(n.late, n.seal(m)) }

// sendEarly queues a message that may leave before the sync.
func (n *Node) sendEarly(m Message) { n.early = append(n.early, n.seal(m)) }

// seal fills in what each message carries.
func (n *Node) seal(m Message) Message {
	m.From, m.Incarnation, m.Cluster, m.Tick = n.ID, n.Incarnation, n.hard.Cluster, n.now
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	return m
}

// blank says that this instance holds nothing: it has no vote.
func (n *Node) blank() bool { return n.log.last() == 0 }
