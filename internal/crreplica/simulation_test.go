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

// Times in ticks.
const (
	simElection = 10
	simLease    = simElection - simElection/4
	simFaults   = 400
	simHealed   = 200
)

// machine is the replicated state: registers that change by compare-and-set,
// and a checksum over everything that was applied.
type machine struct {
	Values [3]byte `json:"values"`
	Sum    uint64  `json:"sum"`
}

// swap is a proposal; a swap that expects a wrong value changes nothing.
type swap struct{ Key, Want, Put byte }

// swapped is the value before a swap. Known is false without an answer.
type swapped struct {
	Known bool
	Value byte
}

// call is a swap under way.
type call struct {
	term uint64
	op   *porcupine.Operation
}

// simNode is one instance; core is nil while it is down.
type simNode struct {
	id      uint64
	core    *crreplica.Driver
	disk    *crdisk.Disk
	state   machine
	waiting map[uint64]call // by index
	pause   int             // ticks until it runs again
	behind  uint64          // ticks that passed while it was paused
	slow    int             // one tick in so many is lost, 0 for none
}

// packet is a message on its way.
type packet struct {
	due int
	m   crquorum.Message
}

// sim runs instances in virtual time and checks them against a ledger.
type sim struct {
	rnd     *rand.Rand
	now     int
	nodes   []*simNode
	initial map[uint64]string
	net     []packet
	cut     map[[2]uint64]bool
	loss    int // packets lost of a hundred
	skewed  bool

	ledger  []string // what was applied at each index
	commits []int    // when an index was first applied
	sums    map[uint64]uint64
	leaders map[uint64]uint64 // by term
	config  crquorum.Config   // the last one that was applied
	history []*porcupine.Operation
	stamp   int64
	err     error
}

func newSim(seed uint64, size int) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]uint64]bool{}, initial: map[uint64]string{},
		sums: map[uint64]uint64{}, leaders: map[uint64]uint64{},
	}
	for id := uint64(1); id <= uint64(size); id++ {
		s.initial[id] = fmt.Sprint("host-", id)
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

// start opens an instance on its disk.
func (s *sim) start(n *simNode) {
	n.state, n.waiting = machine{}, map[uint64]call{}
	n.core = &crreplica.Driver{
		Node:              &crquorum.Node{ID: n.id, InitialMembers: s.initial, Rand: s.rnd.Uint64N, ElectionTicks: simElection},
		Store:             &crstore.Store{Folder: n.disk.Folder(), Rand: s.rnd.Uint64},
		Send:              s.send,
		Apply:             func(e crquorum.Entry) { s.apply(n, e) },
		Snapshot:          func() []byte { data, _ := json.Marshal(n.state); return data },
		Restore:           func(snap crquorum.Snapshot) error { return s.restore(n, snap) },
		SnapshotThreshold: 20,
	}
	if _, err := n.core.Open(); err != nil {
		s.failf("instance %d: %v", n.id, err)
		n.core, n.pause = nil, simFaults
	}
}

// send puts messages on the network: lost, late, doubled, out of order.
func (s *sim) send(messages []crquorum.Message) {
	for _, m := range messages {
		m.Entries = slices.Clone(m.Entries)
		for copies := 1; copies > 0; copies-- {
			if s.cut[[2]uint64{m.From, m.To}] || s.rnd.IntN(100) < s.loss {
				continue
			}
			due := s.now + 1
			if s.loss > 0 && s.rnd.IntN(10) == 0 {
				due += s.rnd.IntN(4 * simElection)
				copies += s.rnd.IntN(2)
			}
			s.net = append(s.net, packet{due, m})
		}
	}
}

// apply carries out an entry, compares it with what others applied, and
// answers its proposer.
func (s *sim) apply(n *simNode, e crquorum.Entry) {
	text := fmt.Sprint(e.Term, e.Kind, string(e.Data))
	switch {
	case e.Index == uint64(len(s.ledger))+1:
		s.ledger, s.commits = append(s.ledger, text), append(s.commits, s.now)
		if e.Kind == crquorum.EntryConfig {
			s.config = crquorum.Config{}
			_ = json.Unmarshal(e.Data, &s.config)
		}
	case e.Index > uint64(len(s.ledger)) || s.ledger[e.Index-1] != text:
		s.failf("instance %d applies another entry at %d: %s", n.id, e.Index, text)
	}
	n.state.Sum = crc64.Update(n.state.Sum, crc64.MakeTable(crc64.ISO), []byte(text))
	if e.Kind == crquorum.EntryData {
		in := swap{e.Data[0], e.Data[1], e.Data[2]}
		old := n.state.Values[in.Key]
		if old == in.Want {
			n.state.Values[in.Key] = in.Put
		}
		if c, ok := n.waiting[e.Index]; ok && c.term == e.Term {
			c.op.Output, c.op.Return = swapped{true, old}, s.next()
		}
	}
	s.compare(n, e.Index)
}

// next orders calls and answers within a tick.
func (s *sim) next() int64 { s.stamp++; return s.stamp }

// compare fails when two instances have different states at an index.
func (s *sim) compare(n *simNode, index uint64) {
	if sum, ok := s.sums[index]; ok && sum != n.state.Sum {
		s.failf("instance %d has another state at %d", n.id, index)
	}
	s.sums[index] = n.state.Sum
}

func (s *sim) restore(n *simNode, snap crquorum.Snapshot) error {
	err := json.Unmarshal(snap.Data, &n.state)
	s.compare(n, snap.Index)
	return err
}

// propose starts a swap at an instance.
func (s *sim) propose(n *simNode) {
	if n.core == nil || n.pause > 0 {
		return
	}
	in := swap{byte(s.rnd.IntN(3)), byte(s.rnd.IntN(3)), byte(s.rnd.IntN(3))}
	index, term, err := n.core.Node.Propose([]byte{in.Key, in.Want, in.Put})
	if err != nil {
		return
	}
	op := &porcupine.Operation{
		ClientId: len(s.history), Input: in, Call: s.next(), Output: swapped{}, Return: math.MaxInt64,
	}
	s.history = append(s.history, op)
	n.waiting[index] = call{term, op}
}

// step lets one tick pass.
func (s *sim) step() {
	s.now++
	due := map[uint64][]crquorum.Message{}
	s.net = slices.DeleteFunc(s.net, func(p packet) bool {
		if p.due > s.now || s.nodes[p.m.To-1].pause > 0 {
			return false
		}
		due[p.m.To] = append(due[p.m.To], p.m)
		return true
	})
	for _, n := range s.nodes {
		if n.pause > 0 {
			n.pause--
			n.behind++
			continue
		}
		if n.core == nil {
			s.start(n)
		}
		if n.core != nil && (n.slow == 0 || s.now%(n.slow+1) != 0) {
			n.core.Node.Tick(n.behind + 1)
			s.checkFresh(n)
		}
		n.behind = 0
		s.deliver(n, due[n.id])
	}
}

// deliver hands an instance its messages and carries out the effects.
func (s *sim) deliver(n *simNode, messages []crquorum.Message) {
	if s.loss > 0 {
		s.rnd.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	}
	for _, m := range messages {
		if n.core == nil {
			return
		}
		if err := n.core.Node.Step(m); err != nil {
			s.failf("instance %d: %v", n.id, err)
		}
		if s.rnd.IntN(2) == 0 {
			s.settle(n)
		}
	}
	s.settle(n)
}

// settle carries out effects; a disk that fails ends the process.
func (s *sim) settle(n *simNode) {
	if n.core == nil {
		return
	}
	if err := n.core.ProcessEffects(); err != nil {
		s.crash(n)
		return
	}
	status := n.core.Node.Status()
	if other, ok := s.leaders[status.Term]; status.Leading && ok && other != n.id {
		s.failf("instances %d and %d lead term %d", other, n.id, status.Term)
	}
	if status.Leading {
		s.leaders[status.Term] = n.id
	}
}

// crash ends the process of an instance, which starts again later.
func (s *sim) crash(n *simNode) {
	n.core, n.pause = nil, 1+s.rnd.IntN(3*simElection)
	n.disk.FreeBytes = -1
	n.disk.Crash()
}

// checkFresh fails when an instance says that it holds what is in force but
// lacks what was committed before its proof: for a leader, anything at all.
func (s *sim) checkFresh(n *simNode) {
	node := n.core.Node
	if s.skewed || node.FreshUntil() <= node.Now() {
		return
	}
	bound := simLease
	if node.Status().Leading {
		bound = 0
	}
	missing := int(node.Status().Applied)
	if missing < len(s.commits) && s.now-s.commits[missing] > bound {
		s.failf("instance %d is fresh without entry %d, committed at %d", n.id, missing+1, s.commits[missing])
	}
}

// checkLogs compares the logs of every two instances: below an entry that they
// share by index and term they must be the same.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			if a.core == nil || b.core == nil {
				continue
			}
			byIndex, matched := map[uint64]crquorum.Entry{}, false
			for _, e := range b.core.Node.Entries() {
				byIndex[e.Index] = e
			}
			for _, e := range slices.Backward(a.core.Node.Entries()) {
				other, ok := byIndex[e.Index]
				matched = matched || ok && other.Term == e.Term
				if ok && matched && (other.Term != e.Term || string(other.Data) != string(e.Data)) {
					s.failf("instances %d and %d differ at %d below a match", a.id, b.id, e.Index)
				}
			}
		}
	}
}

// checkHealed fails unless all instances vote and have the same state.
func (s *sim) checkHealed() {
	for _, n := range s.nodes {
		switch {
		case n.core == nil || len(s.ledger) == 0 || n.core.Node.Status().Applied != uint64(len(s.ledger)):
			s.failf("instance %d lags after the faults ended", n.id)
		case !s.config.IsVoter(n.id, n.core.Node.Incarnation):
			s.failf("instance %d has no vote after the faults ended", n.id)
		case n.state != s.nodes[0].state:
			s.failf("instance %d has another state", n.id)
		}
	}
}
