package crquorum

// EntryKind is the kind of content of a log entry.
type EntryKind int

const (
	// EntryData carries a command for the state machine.
	EntryData EntryKind = iota
	// EntryNoop is the empty entry that a leader appends at the start of its
	// term.
	EntryNoop
	// EntryConfig carries a Config as JSON; it takes effect when appended.
	EntryConfig
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind,omitempty"`
	Data  []byte    `json:"data,omitempty"`
}

// HardState is the state that an instance must sync to disk before it sends a
// response that depends on it.
type HardState struct {
	// Term is the highest term seen. It never decreases.
	Term uint64
	// Vote is the ID of the candidate voted for in Term, 0 for none.
	Vote uint64
	// Cluster identifies the cluster that this instance belongs to. It is the
	// incarnation of the disk of the instance that bootstrapped the cluster, or
	// follows from the initial members of a first start. It is 0 while unknown, and
	// doesn't change once the log has an entry.
	Cluster uint64
	// Commit is the highest entry that this instance knows to be committed. No entry
	// is applied before this is synced, so an instance that restarts still knows all
	// that it has shown to others as accepted. It never decreases.
	Commit uint64
}

// Snapshot is the state of the state machine after the entry at Index. It
// replaces the log up to that entry.
type Snapshot struct {
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
	Config Config `json:"config"`
	Data   []byte `json:"data"`
}

// Kind is the kind of a message.
type Kind int

const (
	// KindAppend is an AppendEntries request; without entries it is a
	// heartbeat.
	KindAppend Kind = iota
	// KindAppended is the response to KindAppend and KindSnapshot.
	KindAppended
	// KindProbe is a pre-vote request.
	KindProbe
	// KindProbed is the response to KindProbe.
	KindProbed
	// KindVote is a RequestVote request.
	KindVote
	// KindVoted is the response to KindVote.
	KindVoted
	// KindSnapshot is an InstallSnapshot request, sent to an instance whose
	// next entry is no longer in the leader's log.
	KindSnapshot
	// KindHello asks an instance to join the cluster that the sender is
	// bootstrapping.
	KindHello
	// KindPledge is the response to KindHello. If Index is 0, the sender has
	// an empty log and waits to join the cluster that Cluster identifies.
	// Otherwise it has a log and already belongs to that cluster.
	KindPledge
	// KindTakeover asks the receiver to start an election at once, like
	// TimeoutNow in Raft.
	KindTakeover
)

// Message is sent from one instance to another. The network may lose, delay,
// duplicate or reorder messages.
type Message struct {
	Kind Kind   `json:"kind"`
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Cluster is the sender's HardState.Cluster.
	Cluster uint64 `json:"cluster,omitempty"`
	// Incarnation is the incarnation of the sender's disk.
	Incarnation uint64 `json:"life"`
	Term        uint64 `json:"term"`
	// Index depends on the kind: the index of the entry before Entries in an
	// append, of the sender's last entry in a vote request or pledge, and of
	// the entry that is acknowledged or rejected in a response to an append.
	Index uint64 `json:"index,omitempty"`
	// LogTerm is the term of the entry at Index; in the rejection of an append,
	// that of the entry at Hint.
	LogTerm uint64  `json:"prev,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	// Commit is the leader's commit index. In the response to an append or snapshot it is
	// what the sender has recorded on its disk as committed, if RecordsCommit is set.
	Commit uint64 `json:"commit,omitempty"`
	// RecordsCommit is set in the responses of instances that record on their disks which
	// entries are committed. Those of earlier releases don't.
	RecordsCommit bool `json:"records,omitempty"`
	// Reject is set in a response that denies the request.
	Reject bool `json:"reject,omitempty"`
	// Hint is the highest index at which the logs of the leader and of the
	// rejecting follower may match.
	Hint uint64 `json:"hint,omitempty"`
	// Tick is the sender's clock when it sent the message.
	Tick uint64 `json:"tick,omitempty"`
	// Echo is a Tick of the receiver: in a KindAppended the Tick of the
	// request, in an append or snapshot the last Tick that the leader has
	// received from this follower.
	Echo uint64 `json:"echo,omitempty"`
	// LeaseValid is set if the leader's lease was valid when it sent the
	// message.
	LeaseValid bool `json:"fresh,omitempty"`
	// Forced asks for a vote even if the receiver's leader is alive. It is
	// set after a leadership transfer and when a cluster is bootstrapped.
	Forced   bool      `json:"forced,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Effects are the actions that the driver carries out in the order of the
// fields. It calls Synced when HardState, Snapshot and Entries are on disk.
type Effects struct {
	// BeforeSync are the messages that may be sent before the sync.
	BeforeSync []Message
	// Snapshot replaces the log and the state of the state machine; nil for
	// none. HardState is set whenever Snapshot is.
	Snapshot *Snapshot
	// HardState is to be written to disk; nil if unchanged.
	HardState *HardState
	// Entries are to be written to disk. They replace the entries on disk
	// from the index of the first one on.
	Entries []Entry
	// AfterSync are the messages that must not be sent before the sync.
	AfterSync []Message
	// Committed are the entries to apply to the state machine, in order.
	Committed []Entry
}
