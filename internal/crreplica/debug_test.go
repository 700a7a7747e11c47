package crreplica_test

import "fmt"

func (s *sim) dump() {
	for _, n := range s.nodes {
		if n.core == nil {
			fmt.Println(n.id, "down", n.downFor)
			continue
		}
		st := n.core.Node.Status()
		fmt.Printf("%d life %d cluster %d term %d leader %d leading %v commit %d snap %d last %d paused %d\n   config %v\n", n.id, n.core.Node.Life%1000, st.Cluster%1000, st.Term, st.Leader, st.Leading, st.Commit, st.Snapshot, st.Last, n.paused, st.Config)
	}
	fmt.Println("ledger", len(s.ledger), "lost", s.lost, "net", len(s.net))
}
