package crquorum

// EntryKind says what a log entry carries.
type EntryKind int

const (
	// EntryData carries a proposal of the state machine.
	EntryData EntryKind = iota
	// EntryNoop is the first entry of a leader's term.
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

// HardState is the state that an instance must sync before it answers.
type HardState struct {
	// Term is the highest term seen. It never falls.
	Term uint64
	// Vote is the instance that got this instance's vote in Term, 0 for none.
	Vote uint64
	// Cluster is the group that this instance belongs to: the incarnation of
	// its founder's disk, 0 while unknown. Fixed once the log has an entry.
	Cluster uint64
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
	Config Config `json:"config"`
	Data   []byte `json:"data"`
}

// Kind says what a message asks or answers.
type Kind int

const (
	// KindAppend carries entries, or none as a heartbeat.
	KindAppend Kind = iota
	// KindAppended answers an append or a snapshot.
	KindAppended
	// KindProbe asks whether a vote would be granted (pre-vote).
	KindProbe
	// KindProbed answers a probe.
	KindProbed
	// KindVote asks for a vote.
	KindVote
	// KindVoted answers a vote.
	KindVoted
	// KindSnapshot carries a snapshot to an instance that is far behind.
	KindSnapshot
	// KindHello asks an instance to join the group that the sender founds.
	KindHello
	// KindPledge answers a hello: without a log the instance now waits for
	// the sender's group alone; with one, Cluster names the group that is.
	KindPledge
	// KindTakeover asks the receiver to stand for election at once.
	KindTakeover
)

// Message goes from one instance to another. Messages may be lost, late,
// doubled or out of order.
type Message struct {
	Kind Kind   `json:"kind"`
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Cluster is the sender's group.
	Cluster uint64 `json:"cluster,omitempty"`
	// Incarnation is the incarnation of the sender's disk.
	Incarnation uint64 `json:"life"`
	Term        uint64 `json:"term"`
	// Index is the entry before Entries, the sender's last entry, or the
	// entry that an answer is about.
	Index uint64 `json:"index,omitempty"`
	// LogTerm is the term of the entry at Index, or at Hint.
	LogTerm uint64  `json:"prev,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:"commit,omitempty"`
	// Reject says that the answer is no.
	Reject bool `json:"reject,omitempty"`
	// Hint is the highest index at which the logs may agree.
	Hint uint64 `json:"hint,omitempty"`
	// Tick is the sender's clock.
	Tick uint64 `json:"tick,omitempty"`
	// Echo is the receiver's own clock as the sender last saw it.
	Echo uint64 `json:"echo,omitempty"`
	// LeaseValid says that the leader held its lease when it sent this.
	LeaseValid bool `json:"fresh,omitempty"`
	// Forced asks for a vote although the leader is alive; it hands over.
	Forced   bool      `json:"forced,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Effects are what a driver carries out, in the order of the fields, before
// it calls Synced.
type Effects struct {
	// BeforeSync are messages that may leave before the sync.
	BeforeSync []Message
	// Snapshot replaces the log and the state; nil for none. With it comes
	// HardState.
	Snapshot *Snapshot
	// HardState is to be synced; nil when unchanged.
	HardState *HardState
	// Entries are appended and synced; they replace entries on disk from the
	// first one's index on.
	Entries []Entry
	// AfterSync are messages that must wait for the sync.
	AfterSync []Message
	// Committed are the entries to apply, in order.
	Committed []Entry
}
