package crquorum_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crquorum"
)

// incarnation returns the incarnation of an instance's first disk.
func incarnation(id uint64) uint64 { return 100 + id }

// newNode returns instance 1 of three. Its log has a snapshot with the
// configuration, followed by entries of the given terms.
func newNode(t *testing.T, terms ...uint64) *crquorum.Node {
	t.Helper()
	config := crquorum.Config{Members: map[uint64]crquorum.Member{}}
	for id := uint64(1); id <= 3; id++ {
		config.Members[id] = crquorum.Member{Incarnation: incarnation(id)}
	}
	snap := &crquorum.Snapshot{Index: 1, Term: 1, Config: config}
	hard, entries := crquorum.HardState{Term: 1, Cluster: incarnation(1)}, []crquorum.Entry(nil)
	for i, term := range terms {
		entries = append(entries, crquorum.Entry{Index: uint64(i) + 2, Term: term})
		hard.Term = term
	}
	n := &crquorum.Node{ID: 1, Incarnation: incarnation(1), Rand: func(uint64) uint64 { return 0 }}
	if err := n.Open(hard, snap, entries); err != nil {
		t.Fatal(err)
	}
	return n
}

// messageFrom returns m as sent by another instance, in the current term unless
// m has one.
func messageFrom(n *crquorum.Node, id uint64, m crquorum.Message) crquorum.Message {
	m.From, m.To, m.Incarnation, m.Cluster, m.Tick = id, 1, max(m.Incarnation, incarnation(id)), incarnation(1), 1
	if m.Term == 0 {
		m.Term = n.Status().Term
	}
	return m
}

// step passes a message to a node, syncs the effects and returns them.
func step(t *testing.T, n *crquorum.Node, m crquorum.Message) crquorum.Effects {
	t.Helper()
	if err := n.Step(m); err != nil {
		t.Fatal(err)
	}
	e := n.Take()
	n.Synced()
	return e
}

// elect makes a node the leader of the next term.
func elect(t *testing.T, n *crquorum.Node) {
	t.Helper()
	n.Tick(crquorum.DefaultElectionTicks)
	n.Take()
	n.Synced()
	step(t, n, messageFrom(n, 2, crquorum.Message{Kind: crquorum.KindProbed, Term: n.Status().Term + 1}))
	step(t, n, messageFrom(n, 2, crquorum.Message{Kind: crquorum.KindVoted}))
	if !n.Status().Leading {
		t.Fatalf("not elected: %+v", n.Status())
	}
}

// appended returns an acknowledgement of the entries up to an index.
func appended(n *crquorum.Node, id, index uint64) crquorum.Message {
	return messageFrom(n, id, crquorum.Message{Kind: crquorum.KindAppended, Index: index, Echo: n.Now()})
}

func wantCommit(t *testing.T, n *crquorum.Node, want uint64) {
	t.Helper()
	if got := n.Status().Commit; got != want {
		t.Errorf("commit %d, want %d", got, want)
	}
}

// A leader must not count its own copy of an entry towards the quorum before it
// has synced the entry.
func TestNodeCommitNeedsOwnSync(t *testing.T) {
	n := newNode(t)
	elect(t, n)
	step(t, n, appended(n, 2, 2))
	wantCommit(t, n, 2)
	if _, _, err := n.Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	n.Take()
	if err := n.Step(appended(n, 2, 3)); err != nil {
		t.Fatal(err)
	}
	wantCommit(t, n, 2)
	n.Synced()
	wantCommit(t, n, 3)
}

// A leader must not commit an entry of an earlier term by counting replicas
// (figure 8 of the Raft paper).
func TestNodeEarlierTermNotCommittedByCount(t *testing.T) {
	n := newNode(t, 2)
	elect(t, n)
	step(t, n, appended(n, 2, 2))
	step(t, n, appended(n, 3, 2))
	wantCommit(t, n, 1)
	step(t, n, appended(n, 3, 3))
	wantCommit(t, n, 3)
}

// A delayed snapshot must not remove later entries, which the follower has
// already acknowledged.
func TestNodeDelayedSnapshotKeepsEntries(t *testing.T) {
	n := newNode(t, 2, 2, 2)
	snap := &crquorum.Snapshot{Index: 3, Term: 2}
	step(t, n, messageFrom(n, 2, crquorum.Message{Kind: crquorum.KindSnapshot, Snapshot: snap}))
	wantCommit(t, n, 3)
	if got := n.Status().LastIndex; got != 4 {
		t.Errorf("last index %d, want 4", got)
	}
}

// A leader accepts one membership change at a time, and none before it has
// committed an entry of its term.
func TestNodeOneMembershipChangeAtATime(t *testing.T) {
	n := newNode(t)
	elect(t, n)
	_, _, beforeCommit := n.Remove(3)
	step(t, n, appended(n, 2, 2))
	_, _, first := n.Remove(3)
	_, _, second := n.AddLearner(4, "host:4")
	got := []bool{errors.Is(beforeCommit, crquorum.ErrChangePending), first == nil, errors.Is(second, crquorum.ErrChangePending)}
	if d := cmp.Diff([]bool{true, true, true}, got); d != "" {
		t.Error(d)
	}
}

// member returns an instance's entry in the latest configuration.
func member(n *crquorum.Node, id uint64) crquorum.Member { return n.Status().Config.Members[id] }

// A voter that has lost its disk responds with another incarnation. Its
// acknowledgements don't count, it is demoted, and it is promoted again only once
// it has the log. Delayed responses from the lost disk have no effect.
func TestNodeLostDiskLosesVote(t *testing.T) {
	n := newNode(t)
	elect(t, n)
	delayed := appended(n, 3, 2)
	n.Tick(crquorum.DefaultHeartbeatTicks)
	response := appended(n, 3, 2)
	response.Incarnation = 999
	step(t, n, response)
	wantCommit(t, n, 1)
	step(t, n, appended(n, 2, 2))
	wantCommit(t, n, 2)
	n.Tick(crquorum.DefaultHeartbeatTicks)
	joining := crquorum.Member{Role: crquorum.RoleJoining, Incarnation: 999}
	if d := cmp.Diff(joining, member(n, 3)); d != "" {
		t.Errorf("role after the disk loss: %s", d)
	}
	step(t, n, appended(n, 2, 3))
	wantCommit(t, n, 3)
	n.Tick(crquorum.DefaultHeartbeatTicks)
	if d := cmp.Diff(joining, member(n, 3)); d != "" {
		t.Errorf("role without the log: %s", d)
	}
	response.Index, response.Echo = 3, n.Now()
	step(t, n, response)
	step(t, n, delayed)
	n.Tick(crquorum.DefaultHeartbeatTicks)
	if d := cmp.Diff(crquorum.Member{Incarnation: 999}, member(n, 3)); d != "" {
		t.Errorf("role with the log: %s", d)
	}
}

// An instance grants no vote within the minimum election timeout after its
// start. Before the restart it may have acknowledged a leader, whose lease is
// still valid.
func TestNodeNoVoteAfterStart(t *testing.T) {
	n := newNode(t)
	request := messageFrom(n, 2, crquorum.Message{Kind: crquorum.KindVote, Term: 2, Index: 1, LogTerm: 1})
	if e := step(t, n, request); len(e.AfterSync) > 0 {
		t.Errorf("responses %v, want none", e.AfterSync)
	}
	n.Tick(crquorum.DefaultElectionTicks - 1)
	step(t, n, request)
	n.Tick(1)
	n.Take()
	e := step(t, n, request)
	if len(e.AfterSync) != 1 || e.AfterSync[0].Reject || e.HardState == nil || e.HardState.Vote != 2 {
		t.Errorf("effects %+v, want a vote", e)
	}
}

// A leader that has started a leadership transfer has no lease and rejects
// proposals.
func TestNodeTransferEndsLease(t *testing.T) {
	n := newNode(t)
	elect(t, n)
	step(t, n, appended(n, 2, 2))
	if n.FreshUntil() <= n.Now() {
		t.Error("not fresh before the transfer")
	}
	if err := n.TransferLeadership(2); err != nil {
		t.Fatal(err)
	}
	if _, _, err := n.Propose(nil); n.FreshUntil() > n.Now() || !errors.Is(err, crquorum.ErrNotLeader) {
		t.Errorf("fresh until %d at %d, proposal: %v", n.FreshUntil(), n.Now(), err)
	}
}

// An instance with an empty log has pledged to join a cluster that is being
// bootstrapped. A delayed message from the leader of a former cluster must not
// make the instance join the former cluster. A message from a live leader makes
// it join the leader's cluster.
func TestNodeIgnoresDelayedFormerLeader(t *testing.T) {
	n := &crquorum.Node{
		ID: 2, Incarnation: incarnation(2), Rand: func(uint64) uint64 { return 0 },
		InitialMembers: map[uint64]string{1: "a", 2: "b", 3: "c"},
	}
	if err := n.Open(crquorum.HardState{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	entry := []crquorum.Entry{{Index: 1, Term: 1}}
	var got []uint64
	for _, m := range []crquorum.Message{
		{Kind: crquorum.KindHello, From: 1, Incarnation: 50},
		{Kind: crquorum.KindAppend, From: 1, Incarnation: 40, Cluster: 40, Echo: n.Now() - 1, Entries: entry},
		{Kind: crquorum.KindAppend, From: 3, Incarnation: 60, Cluster: 60, Echo: n.Now(), Entries: entry},
		{Kind: crquorum.KindHello, From: 1, Incarnation: 70},
	} {
		m.To, m.Term = 2, 1
		step(t, n, m)
		got = append(got, n.Status().Cluster, n.Status().LastIndex)
	}
	if d := cmp.Diff([]uint64{50, 0, 50, 0, 60, 1, 60, 1}, got); d != "" {
		t.Error(d)
	}
}

// An instance with an empty log has pledged to join a cluster. A delayed request of the
// founder's lost disk must not take that back, because the founder counts on the
// pledge. A request of a founder that has heard from the instance since then replaces it.
func TestNodeKeepsPledge(t *testing.T) {
	n := &crquorum.Node{
		ID: 2, Incarnation: incarnation(2), Rand: func(uint64) uint64 { return 0 },
		InitialMembers: map[uint64]string{1: "a", 2: "b", 3: "c"},
	}
	if err := n.Open(crquorum.HardState{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	echo := n.Now()
	n.Tick(1)
	var got []uint64
	for _, m := range []crquorum.Message{
		{Incarnation: 50},
		{Incarnation: 40, Echo: echo},
		{Incarnation: 70, Echo: n.Now()},
	} {
		m.Kind, m.From, m.To = crquorum.KindHello, 1, 2
		e := step(t, n, m)
		got = append(got, n.Status().Cluster, uint64(len(e.AfterSync)))
	}
	if d := cmp.Diff([]uint64{50, 1, 50, 1, 70, 1}, got); d != "" {
		t.Errorf("cluster and number of answers (-want +got):\n%s", d)
	}
}

// Two of three initial disks are lost after their pledges were sent, so that the first
// configuration names a majority of disks that are gone. The instance that bootstrapped
// the cluster replaces it once all others pledge anew that their logs are empty, and not
// for pledges from before or while another instance has a log.
func TestNodeReplacesBootstrapOfLostDisks(t *testing.T) {
	n := &crquorum.Node{
		ID: 1, Incarnation: incarnation(1), Rand: func(uint64) uint64 { return 0 },
		InitialMembers: map[uint64]string{1: "a", 2: "b", 3: "c"},
	}
	if err := n.Open(crquorum.HardState{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	pledge := func(id, disk, echo, index uint64) {
		t.Helper()
		step(t, n, crquorum.Message{
			Kind: crquorum.KindPledge, From: id, To: 1, Incarnation: disk, Cluster: incarnation(1), Echo: echo, Index: index,
		})
	}
	disks := func() []uint64 { return []uint64{member(n, 2).Incarnation, member(n, 3).Incarnation} }
	pledge(2, 20, n.Now(), 0)
	pledge(3, 30, n.Now(), 0)
	got := [][]uint64{disks()}
	n.Tick(1)
	pledge(2, 21, n.Now()-2, 0)
	pledge(3, 31, n.Now(), 0)
	got = append(got, disks())
	pledge(2, 21, n.Now(), 1)
	got = append(got, disks())
	pledge(2, 21, n.Now(), 0)
	got = append(got, disks())
	if d := cmp.Diff([][]uint64{{20, 30}, {20, 30}, {20, 30}, {21, 31}}, got); d != "" {
		t.Errorf("disks in the configuration (-want +got):\n%s", d)
	}
	if last := n.Status().LastIndex; last != 1 {
		t.Errorf("last index %d, want 1", last)
	}
}

// FuzzStep checks that no message from another instance makes a node panic.
func FuzzStep(f *testing.F) {
	for kind := crquorum.KindAppend; kind <= crquorum.KindTakeover; kind++ {
		data, _ := json.Marshal(crquorum.Message{
			Kind: kind, From: 2, To: 1, Cluster: incarnation(1), Incarnation: incarnation(2), Term: 3, Index: 2, LogTerm: 2, Commit: 3,
			Entries:  []crquorum.Entry{{Index: 3, Term: 3}, {Index: 4, Term: 3}},
			Snapshot: &crquorum.Snapshot{Index: 9, Term: 3},
		})
		f.Add(data, false)
		f.Add(data, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, leading bool) {
		var m crquorum.Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		n := newNode(t, 2)
		if leading {
			elect(t, n)
		}
		_ = n.Step(m)
		n.Tick(crquorum.DefaultElectionTicks)
		for range 3 {
			n.Take()
			n.Synced()
		}
	})
}

// The entries kept after a snapshot are limited by number and by size. Without
// the second limit a few large entries could fill the memory.
func TestNodeTrailingCountLimits(t *testing.T) {
	n := newNode(t)
	elect(t, n)
	for range 10 {
		if _, _, err := n.Propose(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	n.Take()
	n.Synced()
	step(t, n, messageFrom(n, 2, crquorum.Message{Kind: crquorum.KindAppended, Index: n.Status().LastIndex}))
	n.Take()
	got := []uint64{n.TrailingCount(100, 350), n.TrailingCount(2, 1<<20), n.TrailingCount(100, 50)}
	if diff := cmp.Diff([]uint64{3, 2, 0}, got); diff != "" {
		t.Errorf("trailing entries (-want +got):\n%s", diff)
	}
}

// TestNodeAcceptedConfig guards against a list of instances that was never accepted: a
// leader uses a configuration as soon as it is in its log, and may be replaced before a
// quorum has it.
func TestNodeAcceptedConfig(t *testing.T) {
	n := newNode(t)
	elect(t, n)
	step(t, n, messageFrom(n, 2, crquorum.Message{Kind: crquorum.KindAppended, Index: n.Status().LastIndex}))
	index, _, err := n.AddLearner(4, "host:4")
	if err != nil {
		t.Fatal(err)
	}
	n.Take()
	n.Synced()
	before := n.Status()
	step(t, n, messageFrom(n, 2, crquorum.Message{Kind: crquorum.KindAppended, Index: index}))
	after := n.Status()
	got := []int{len(before.Config.Members), len(before.Accepted.Members), len(after.Accepted.Members)}
	if diff := cmp.Diff([]int{4, 3, 4}, got); diff != "" {
		t.Errorf("members in the log, accepted before and after the commit (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]uint64{1, index}, []uint64{before.AcceptedIndex, after.AcceptedIndex}); diff != "" {
		t.Errorf("index of the accepted configuration (-want +got):\n%s", diff)
	}
}
