package crreplica_test

import (
	"encoding/json"
	"fmt"
	"hash/crc64"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstore"
	"cardamomring.dev/internal/crstore/crdisk"
)

const (
	simElectionTicks = 10
	simLeaseTicks    = simElectionTicks - simElectionTicks/4
	simFaultTicks    = 400
	simRecoveryTicks = 200
)

// stateMachine is the replicated state: registers that are changed by
// compare-and-set, and a checksum of all applied entries.
type stateMachine struct {
	Values   [3]byte `json:"values"`
	Checksum uint64  `json:"sum"`
}

// casInput is a proposal to set the register Key to Put if its value is Want.
type casInput struct{ Key, Want, Put byte }

// casOutput is the value before a compare-and-set. Known is false if the result
// wasn't returned.
type casOutput struct {
	Known bool
	Value byte
}

// pendingCAS is a proposed compare-and-set that hasn't been applied.
type pendingCAS struct {
	term uint64
	op   *porcupine.Operation
}

// simNode is one instance; driver is nil while it is down.
type simNode struct {
	id          uint64
	driver      *crreplica.Driver
	disk        *crdisk.Disk
	state       stateMachine
	pending     map[uint64]pendingCAS // by index
	pauseTicks  int                   // ticks until it runs again
	missedTicks uint64                // ticks that passed while it was paused
	tickLoss    int                   // its clock loses one tick in tickLoss+1, 0 for none
	started     bool                  // it has been started before
	// applied is the last entry that it has applied since it got its present disk, whose
	// incarnation is incarnation.
	applied, incarnation uint64
}

// clusterTerm is a term of a cluster. A founder that loses its disk before anything is
// committed founds another cluster, whose terms begin anew.
type clusterTerm struct{ cluster, term uint64 }

// packet is a message in the network.
type packet struct {
	deliverAt int
	m         crquorum.Message
}

// sim runs instances in virtual time and checks that all of them apply the same
// entries.
type sim struct {
	rnd            *rand.Rand
	now            int
	nodes          []*simNode
	initialMembers map[uint64]string
	inFlight       []packet
	blocked        map[[2]uint64]bool // by sender and receiver
	lossPercent    int
	clockSkew      bool // some clocks lose ticks
	// firstStart is set if the instances are told that the whole system starts for the
	// first time, each at its first start only. Otherwise all are told the initial
	// members at each start.
	firstStart bool

	entries    []string          // applied entries, by index-1
	appliedAt  []int             // ticks at which they were first applied
	checksums  map[uint64]uint64 // of the state, by index
	leaders    map[clusterTerm]uint64
	lastConfig crquorum.Config // the last applied one
	history    []*porcupine.Operation
	eventSeq   int64 // of the last call or return in history
	err        error
}

func newSim(seed uint64, size int) *sim { return startSim(seed, size, false) }

// startSim starts instances.
func startSim(seed uint64, size int, firstStart bool) *sim {
	s := &sim{
		firstStart: firstStart, rnd: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]uint64]bool{}, initialMembers: map[uint64]string{},
		checksums: map[uint64]uint64{}, leaders: map[clusterTerm]uint64{},
	}
	for id := uint64(1); id <= uint64(size); id++ {
		s.initialMembers[id] = fmt.Sprint("host-", id)
		s.nodes = append(s.nodes, &simNode{id: id, disk: crdisk.New(s.rnd.IntN)})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *sim) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("tick %d: %s", s.now, fmt.Sprintf(format, args...))
	}
}

// start starts an instance from its disk.
func (s *sim) start(n *simNode) {
	n.state, n.pending = stateMachine{}, map[uint64]pendingCAS{}
	node := &crquorum.Node{ID: n.id, InitialMembers: s.initialMembers, Rand: s.rnd.Uint64N, ElectionTicks: simElectionTicks}
	store := &crstore.Store{Folder: n.disk.Folder(), Rand: s.rnd.Uint64}
	if s.firstStart {
		node.InitialMembers = nil
	}
	if s.firstStart && !n.started {
		store.Initial = crstore.FirstState(s.initialMembers)
	}
	n.started = true
	n.driver = &crreplica.Driver{
		Node:              node,
		Store:             store,
		Send:              s.send,
		Apply:             func(e crquorum.Entry) { s.apply(n, e) },
		Snapshot:          func() []byte { data, _ := json.Marshal(n.state); return data },
		Restore:           func(snap crquorum.Snapshot) error { return s.restore(n, snap) },
		SnapshotThreshold: 20,
	}
	if _, err := n.driver.Open(); err != nil {
		s.failf("instance %d: %v", n.id, err)
		n.driver, n.pauseTicks = nil, simFaultTicks
		return
	}
	if n.incarnation == node.Incarnation && node.Status().Applied < n.applied {
		s.failf("instance %d knows %d entries as committed after a restart, and has applied %d before", n.id, node.Status().Applied, n.applied)
	}
	n.applied, n.incarnation = node.Status().Applied, node.Incarnation
}

// send puts messages into the network, which may lose, delay, duplicate or reorder
// them.
func (s *sim) send(messages []crquorum.Message) {
	for _, m := range messages {
		m.Entries = slices.Clone(m.Entries)
		for copies := 1; copies > 0; copies-- {
			if s.blocked[[2]uint64{m.From, m.To}] || s.rnd.IntN(100) < s.lossPercent {
				continue
			}
			deliverAt := s.now + 1
			if s.lossPercent > 0 && s.rnd.IntN(10) == 0 {
				deliverAt += s.rnd.IntN(4 * simElectionTicks)
				copies += s.rnd.IntN(2)
			}
			s.inFlight = append(s.inFlight, packet{deliverAt, m})
		}
	}
}

// apply applies an entry, compares it with the one that other instances applied,
// and records the result of its proposal.
func (s *sim) apply(n *simNode, e crquorum.Entry) {
	text := fmt.Sprint(e.Term, e.Kind, string(e.Data))
	switch {
	case e.Index == uint64(len(s.entries))+1:
		s.entries, s.appliedAt = append(s.entries, text), append(s.appliedAt, s.now)
		if e.Kind == crquorum.EntryConfig {
			s.lastConfig = crquorum.Config{}
			_ = json.Unmarshal(e.Data, &s.lastConfig)
		}
	case e.Index > uint64(len(s.entries)) || s.entries[e.Index-1] != text:
		s.failf("instance %d applied a different entry at index %d: %s", n.id, e.Index, text)
	}
	n.state.Checksum = crc64.Update(n.state.Checksum, crc64.MakeTable(crc64.ISO), []byte(text))
	if e.Kind == crquorum.EntryData {
		in := casInput{e.Data[0], e.Data[1], e.Data[2]}
		old := n.state.Values[in.Key]
		if old == in.Want {
			n.state.Values[in.Key] = in.Put
		}
		if c, ok := n.pending[e.Index]; ok && c.term == e.Term {
			c.op.Output, c.op.Return = casOutput{true, old}, s.nextEvent()
		}
	}
	n.applied = max(n.applied, e.Index)
	s.checkState(n, e.Index)
}

// nextEvent returns the position of the next call or return in the history.
func (s *sim) nextEvent() int64 { s.eventSeq++; return s.eventSeq }

// checkState fails if two instances have different states at an index.
func (s *sim) checkState(n *simNode, index uint64) {
	if sum, ok := s.checksums[index]; ok && sum != n.state.Checksum {
		s.failf("instance %d has a different state at index %d", n.id, index)
	}
	s.checksums[index] = n.state.Checksum
}

func (s *sim) restore(n *simNode, snap crquorum.Snapshot) error {
	err := json.Unmarshal(snap.Data, &n.state)
	n.applied = max(n.applied, snap.Index)
	s.checkState(n, snap.Index)
	return err
}

// propose proposes a random compare-and-set at an instance.
func (s *sim) propose(n *simNode) {
	if n.driver == nil || n.pauseTicks > 0 {
		return
	}
	in := casInput{byte(s.rnd.IntN(3)), byte(s.rnd.IntN(3)), byte(s.rnd.IntN(3))}
	index, term, err := n.driver.Node.Propose([]byte{in.Key, in.Want, in.Put})
	if err != nil {
		return
	}
	op := &porcupine.Operation{
		ClientId: len(s.history), Input: in, Call: s.nextEvent(), Output: casOutput{}, Return: math.MaxInt64,
	}
	s.history = append(s.history, op)
	n.pending[index] = pendingCAS{term, op}
}

// step simulates one tick.
func (s *sim) step() {
	s.now++
	inboxes := map[uint64][]crquorum.Message{}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(p packet) bool {
		if p.deliverAt > s.now || s.nodes[p.m.To-1].pauseTicks > 0 {
			return false
		}
		inboxes[p.m.To] = append(inboxes[p.m.To], p.m)
		return true
	})
	for _, n := range s.nodes {
		if n.pauseTicks > 0 {
			n.pauseTicks--
			n.missedTicks++
			continue
		}
		if n.driver == nil {
			s.start(n)
		}
		if n.driver != nil && (n.tickLoss == 0 || s.now%(n.tickLoss+1) != 0) {
			n.driver.Node.Tick(n.missedTicks + 1)
			s.checkFresh(n)
		}
		n.missedTicks = 0
		s.deliver(n, inboxes[n.id])
	}
}

// deliver passes messages to an instance and processes the effects.
func (s *sim) deliver(n *simNode, messages []crquorum.Message) {
	if s.lossPercent > 0 {
		s.rnd.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	}
	for _, m := range messages {
		if n.driver == nil {
			return
		}
		if err := n.driver.Node.Step(m); err != nil {
			s.failf("instance %d: %v", n.id, err)
		}
		if s.rnd.IntN(2) == 0 {
			s.processEffects(n)
		}
	}
	s.processEffects(n)
}

// processEffects processes the effects of an instance and crashes it if its disk
// fails. It fails if a term has two leaders.
func (s *sim) processEffects(n *simNode) {
	if n.driver == nil {
		return
	}
	if err := n.driver.ProcessEffects(); err != nil {
		s.crash(n)
		return
	}
	status := n.driver.Node.Status()
	term := clusterTerm{status.Cluster, status.Term}
	if other, ok := s.leaders[term]; status.Leading && ok && other != n.id {
		s.failf("instances %d and %d are both leader in term %d", other, n.id, status.Term)
	}
	if status.Leading {
		s.leaders[term] = n.id
		s.checkRecorded(n)
	}
}

// checkRecorded fails unless the entries that a leader takes for recorded by a quorum are
// known as committed on the disks of a majority of the voters. Voters that are down or have
// lost their disks since can't tell and count.
func (s *sim) checkRecorded(leader *simNode) {
	node := leader.driver.Node
	voters, known := 0, 0
	for id, m := range node.Status().Config.Members {
		if m.Role != crquorum.RoleVoter {
			continue
		}
		voters++
		n := s.nodes[id-1]
		if n.driver == nil || n.incarnation != m.Incarnation || n.applied >= node.RecordedCommit() {
			known++
		}
	}
	if voters > 0 && 2*known <= voters {
		s.failf("leader %d takes %d entries for recorded, and %d of %d voters have", leader.id, node.RecordedCommit(), known, voters)
	}
}

// crash stops an instance, which restarts after a random time.
func (s *sim) crash(n *simNode) {
	n.driver, n.pauseTicks = nil, 1+s.rnd.IntN(3*simElectionTicks)
	n.disk.FreeBytes = -1
	n.disk.Crash()
}

// checkFresh fails if an instance reports itself as fresh and lacks an entry that
// was first applied more than the lease duration ago. A fresh leader must not lack
// an entry that was applied before the current tick.
func (s *sim) checkFresh(n *simNode) {
	node := n.driver.Node
	if s.clockSkew || node.FreshUntil() <= node.Now() {
		return
	}
	maxAge := simLeaseTicks
	if node.Status().Leading {
		maxAge = 0
	}
	applied := int(node.Status().Applied)
	if applied < len(s.appliedAt) && s.now-s.appliedAt[applied] > maxAge {
		s.failf("instance %d is fresh without entry %d, which was first applied at tick %d", n.id, applied+1, s.appliedAt[applied])
	}
}

// checkLogs checks the log matching property: if two logs have an entry with the
// same index and term, all entries up to it must be equal.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			if a.driver == nil || b.driver == nil {
				continue
			}
			byIndex, matched := map[uint64]crquorum.Entry{}, false
			for _, e := range b.driver.Node.Entries() {
				byIndex[e.Index] = e
			}
			for _, e := range slices.Backward(a.driver.Node.Entries()) {
				other, ok := byIndex[e.Index]
				matched = matched || ok && other.Term == e.Term
				if ok && matched && (other.Term != e.Term || string(other.Data) != string(e.Data)) {
					s.failf("instances %d and %d have different entries at index %d below a matching one", a.id, b.id, e.Index)
				}
			}
		}
	}
}

// checkHealed fails unless all instances are voters and have the same state with
// all entries applied.
func (s *sim) checkHealed() {
	for _, n := range s.nodes {
		switch {
		case n.driver == nil || len(s.entries) == 0 || n.driver.Node.Status().Applied != uint64(len(s.entries)):
			s.failf("instance %d has not applied all entries after the faults ended", n.id)
		case !s.lastConfig.IsVoter(n.id, n.driver.Node.Incarnation):
			s.failf("instance %d has no vote after the faults ended", n.id)
		case n.state != s.nodes[0].state:
			s.failf("instance %d has a different state", n.id)
		}
	}
}
