package crreplica_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc64"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstore"
	"cardamomring.dev/internal/crstore/crdisk"
)

const (
	simElection = 10 // ticks
	simFaults   = 500
	simHealed   = 250
)

// machine is the replicated state: registers that change by compare-and-set,
// and a checksum over everything that was applied.
type machine struct {
	Values map[string]int `json:"values"`
	Sum    uint64         `json:"sum"`
}

// swap is a proposal; a swap that expects a wrong value changes nothing.
type swap struct {
	Key       string
	Want, Put int
	ID        int
}

// swapped is the answer to a swap: the value before it. Known is false when
// the caller got no answer.
type swapped struct {
	Known bool
	Value int
}

// simNode is one instance; core is nil while it is down.
type simNode struct {
	id       uint64
	core     *crreplica.Core
	disk     *crdisk.Disk
	state    machine
	waiting  map[uint64]call // by index
	paused   int             // ticks until it runs again
	behind   uint64          // ticks that passed while it was paused
	downFor  int
	slowness int // one tick in so many is lost, 0 for none
}

// call is a swap under way.
type call struct {
	term uint64
	op   *porcupine.Operation
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
	stamp   int

	ledger  []string // what was applied at each index
	sums    map[uint64]uint64
	leaders map[uint64]uint64
	config  crquorum.Config
	commits []int // when an index was first applied
	history []*porcupine.Operation
	lost    map[uint64]bool // disks that are not repaired
	err     error
}

func newSim(seed uint64) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]uint64]bool{}, initial: map[uint64]string{},
		sums: map[uint64]uint64{}, leaders: map[uint64]uint64{}, lost: map[uint64]bool{},
	}
	s.loss, s.skewed = s.rnd.IntN(20), s.rnd.IntN(4) == 0
	for id := uint64(1); id <= uint64(3+2*s.rnd.IntN(2)); id++ {
		s.initial[id] = fmt.Sprint("host-", id)
		s.nodes = append(s.nodes, &simNode{id: id, disk: crdisk.New(s.rnd.IntN)})
	}
	for _, n := range s.nodes {
		if s.skewed {
			n.slowness = s.rnd.IntN(4)
		}
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
	n.state, n.waiting = machine{Values: map[string]int{}}, map[uint64]call{}
	n.core = &crreplica.Core{
		Node:  &crquorum.Node{ID: n.id, Initial: s.initial, Rand: s.rnd.Uint64N, Election: simElection},
		Store: &crstore.Store{Folder: n.disk.Folder(), Rand: s.rnd.Uint64},
		Send: func(messages []crquorum.Message) {
			for _, m := range messages {
				s.transmit(m)
			}
		},
		Apply: func(e crquorum.Entry) { s.apply(n, e) },
		Snapshot: func() []byte {
			data, _ := json.Marshal(n.state)
			return data
		},
		Restore: func(snap crquorum.Snapshot) error { return s.restore(n, snap) },
		Every:   20,
	}
	if _, err := n.core.Open(); err != nil {
		s.failf("instance %d: %v", n.id, err)
	}
}

// transmit puts a message on the network: lost, late, doubled, out of order.
func (s *sim) transmit(m crquorum.Message) {
	data, _ := json.Marshal(m)
	for copies := 1; copies > 0; copies-- {
		if s.cut[[2]uint64{m.From, m.To}] || s.rnd.IntN(100) < s.loss {
			continue
		}
		if s.loss > 0 && s.rnd.IntN(30) == 0 {
			copies++
		}
		due := s.now + 1
		if s.loss > 0 && s.rnd.IntN(10) == 0 {
			due += s.rnd.IntN(4 * simElection)
		}
		var copied crquorum.Message
		_ = json.Unmarshal(data, &copied)
		s.net = append(s.net, packet{due, copied})
	}
}

// apply carries out an entry and compares it with what others applied.
func (s *sim) apply(n *simNode, e crquorum.Entry) {
	text := fmt.Sprintf("%d %d %s", e.Term, e.Kind, e.Data)
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
		s.swap(n, e)
	}
	s.compare(n, e.Index)
}

// swap carries out a swap and answers its caller.
func (s *sim) swap(n *simNode, e crquorum.Entry) {
	var in swap
	_ = json.Unmarshal(e.Data, &in)
	old := n.state.Values[in.Key]
	if old == in.Want {
		n.state.Values[in.Key] = in.Put
	}
	c, ok := n.waiting[e.Index]
	delete(n.waiting, e.Index)
	if ok && c.term == e.Term {
		c.op.Output, c.op.Return = swapped{true, old}, s.next()
	}
}

// next orders calls and answers within a tick.
func (s *sim) next() int64 { s.stamp++; return int64(s.stamp) }

func (s *sim) compare(n *simNode, index uint64) {
	if sum, ok := s.sums[index]; ok && sum != n.state.Sum {
		s.failf("instance %d has another state at %d", n.id, index)
	}
	s.sums[index] = n.state.Sum
}

func (s *sim) restore(n *simNode, snap crquorum.Snapshot) error {
	n.state, n.waiting = machine{}, map[uint64]call{}
	err := json.Unmarshal(snap.Data, &n.state)
	s.compare(n, snap.Index)
	return err
}

// step lets one tick pass.
func (s *sim) step() {
	s.now++
	due := map[uint64][]crquorum.Message{}
	s.net = slices.DeleteFunc(s.net, func(p packet) bool {
		to := s.nodes[p.m.To-1]
		if p.due > s.now || to.paused > 0 {
			return false
		}
		due[p.m.To] = append(due[p.m.To], p.m)
		return true
	})
	for _, n := range s.nodes {
		switch {
		case n.core == nil:
			if n.downFor--; n.downFor <= 0 {
				s.start(n)
			}
		case n.paused > 0:
			n.paused--
			n.behind++
		case n.slowness == 0 || s.now%(n.slowness+2) != 0:
			n.core.Node.Tick(n.behind + 1)
			n.behind = 0
			s.checkFresh(n)
			s.deliver(n, due[n.id])
		default:
			s.deliver(n, due[n.id])
		}
	}
}

// deliver hands an instance its messages and carries out the effects.
func (s *sim) deliver(n *simNode, messages []crquorum.Message) {
	s.rnd.Shuffle(len(messages)*min(s.loss, 1), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
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
	if err := n.core.Settle(); err != nil {
		s.crash(n)
		return
	}
	status := n.core.Node.Status()
	if !status.Leading {
		return
	}
	if other, ok := s.leaders[status.Term]; ok && other != n.id {
		s.failf("instances %d and %d lead term %d", other, n.id, status.Term)
	}
	s.leaders[status.Term] = n.id
}

// crash ends the process of an instance.
func (s *sim) crash(n *simNode) {
	n.core, n.downFor, n.paused, n.behind = nil, 1+s.rnd.IntN(3*simElection), 0, 0
	n.disk.Space = -1
	n.disk.Crash()
}

// repaired says that every instance votes with the disk that it has.
func (s *sim) repaired() bool {
	for _, n := range s.nodes {
		if n.core != nil && s.config.Counts(n.id, n.core.Node.Life) {
			delete(s.lost, n.id)
		}
	}
	return len(s.lost) == 0
}

// checkFresh fails when an instance says that it holds what is in force but
// lacks what was committed before its proof can have begun.
func (s *sim) checkFresh(n *simNode) {
	node := n.core.Node
	if s.skewed || node.FreshUntil() <= node.Now() {
		return
	}
	missing := int(node.Status().Applied)
	if missing < len(s.commits) && s.now-s.commits[missing] > 2*simElection {
		s.failf("instance %d is fresh without entry %d, committed at %d", n.id, missing+1, s.commits[missing])
	}
}

// checkLogs compares the logs of every two instances: up to the last entry
// that they share by index and term they must be the same.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			if a.core == nil || b.core == nil {
				continue
			}
			x, matched := a.core.Node.Entries(), false
			byIndex := map[uint64]crquorum.Entry{}
			for _, e := range b.core.Node.Entries() {
				byIndex[e.Index] = e
			}
			for _, e := range slices.Backward(x) {
				other, ok := byIndex[e.Index]
				matched = matched || ok && other.Term == e.Term
				if ok && matched && (other.Term != e.Term || !bytes.Equal(other.Data, e.Data)) {
					s.failf("instances %d and %d differ at %d below a match", a.id, b.id, e.Index)
				}
			}
		}
	}
}

// checkHealed fails unless all instances vote and have the same state.
func (s *sim) checkHealed() {
	for _, n := range s.nodes {
		if n.core == nil || n.core.Node.Status().Applied != uint64(len(s.ledger)) || len(s.ledger) == 0 {
			s.failf("instance %d lags after the faults ended", n.id)
		} else if !s.config.Counts(n.id, n.core.Node.Life) {
			s.failf("instance %d has no vote after the faults ended", n.id)
		} else if !maps.Equal(n.state.Values, s.nodes[0].state.Values) {
			s.failf("instance %d has another state", n.id)
		}
	}
}
