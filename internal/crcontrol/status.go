package crcontrol

import (
	"net/http"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

// serveStatus serves GET /status with the status as known to this instance.
func (c *Control) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := c.replica.Status()
	members := map[uint64]crwire.InstanceState{}
	for id, m := range s.Members {
		members[id] = crwire.InstanceState{Address: m.Addr, Role: m.Role.String()}
	}
	crnet.WriteJSON(w, http.StatusOK, crwire.Status{
		Name: c.Settings.Name, ID: s.ID, Term: s.Term, Leader: s.Leader, LeaderAddress: s.Address,
		Leading: s.Leading, Voting: s.Voting, QuorumContact: s.Fresh, CommitIndex: s.Commit,
		Voters: s.Voters, Members: members,
		Revision: c.source.View().Revision, Followers: c.followers.list(),
	})
}
