package crcontrol

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crvoters"
	"cardamomring.dev/internal/crwire"
)

// PathAdmit is the path on which an instance requests admission to the group.
const PathAdmit = "/admit"

const (
	// admitInterval is the time between two admission requests.
	admitInterval = 200 * time.Millisecond
	// admitTimeout bounds one admission request.
	admitTimeout = time.Second
	// changeRetryInterval is the time between two attempts to change the members
	// while another change is under way.
	changeRetryInterval = 5 * time.Millisecond
)

// memberAddrs returns the host:port of each member, sorted.
func memberAddrs(s crreplica.Status) []string {
	out := make([]string, 0, len(s.Members))
	for _, m := range s.Members {
		out = append(out, m.Addr)
	}
	slices.Sort(out)
	return out
}

// checkVoterCount rejects changes while a new group has too few voters for
// FaultTolerance, because what a smaller group acknowledges can be lost with as many
// disks.
func (c *Control) checkVoterCount(change *crwire.Change) error {
	if c.Settings.Replica.Address == "" || change.Kind == crwire.KindInstance {
		return nil
	}
	isNew := false
	err := c.replica.Do(func() {
		isNew = len(c.state.ZoneVersions) == 0 && len(c.state.Services) == 0 && c.state.CatalogSource().Version == 0
	})
	voters, enough := len(c.replica.Status().Voters), 2*c.FaultTolerance+1
	if err != nil || !isNew || voters >= enough {
		return err
	}
	if c.loggedVoters.Swap(int64(voters)) != int64(voters) {
		c.Logf("the new group has %d voters and takes no change before it has %d, as the stated loss of %d disks needs", voters, enough, c.FaultTolerance)
	}
	return fmt.Errorf("the new group has %d voters and waits for %d", voters, enough)
}

// admissionLoop requests admission while this instance needs it.
func (c *Control) admissionLoop() {
	for attempt := 0; c.runCtx.Err() == nil; attempt++ {
		if c.needsAdmission() {
			c.requestAdmission(attempt)
		}
		crnet.Pause(c.runCtx, admitInterval)
	}
}

// needsAdmission reports whether this instance is not a member, has no contact with
// the quorum, or is a member with another zone than that of its settings. An instance
// that stops doesn't ask any more.
func (c *Control) needsAdmission() bool {
	status := c.replica.Status()
	m, known := status.Members[c.Settings.Replica.ID]
	return !c.resigning.Load() && (!known || !status.Fresh || m.Zone != c.Settings.Zone)
}

// requestAdmission sends an admission request to one of the instances that may
// know the group; attempt selects which.
func (c *Control) requestAdmission(attempt int) {
	req := crwire.Admit{ID: c.Settings.Replica.ID, Address: c.Settings.Replica.Address, Zone: c.Settings.Zone}
	status := c.replica.Status()
	ctx, cancel := context.WithTimeout(c.runCtx, admitTimeout)
	defer cancel()
	if status.Leading {
		if _, err := c.admit(ctx, req); err != nil {
			c.metrics.failedAdmissions.Inc()
		}
		return
	}
	addrs := memberAddrs(status)
	for _, addr := range c.Peers() {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	addrs = slices.DeleteFunc(addrs, func(addr string) bool { return addr == req.Address })
	if len(addrs) == 0 {
		return
	}
	var resp crwire.AdmitResponse
	addr := addrs[attempt%len(addrs)]
	if err := c.client.JSON(ctx, addr, PathAdmit, req, &resp); err != nil && c.runCtx.Err() == nil {
		c.metrics.failedAdmissions.Inc()
	}
}

// serveAdmit admits an instance if this one leads, and otherwise forwards the
// request to the leader. A request is forwarded at most once.
func (c *Control) serveAdmit(w http.ResponseWriter, r *http.Request) {
	var req crwire.Admit
	if !crnet.ReadJSON(w, r, maxBodyBytes, &req) {
		return
	}
	status := c.replica.Status()
	switch {
	case status.Leading:
		resp, err := c.admit(r.Context(), req)
		c.respond(w, resp, err)
	case status.Address == "" || status.Address == req.Address || req.Forwarded:
		c.respond(w, nil, &crreplica.NotLeaderError{Leader: status.Address})
	default:
		ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
		defer cancel()
		var resp crwire.AdmitResponse
		req.Forwarded = true
		err := c.client.JSON(ctx, status.Address, PathAdmit, req, &resp)
		c.respond(w, resp, err)
	}
}

// admit adds an instance to the group; only the leader can. Whether it votes is decided
// by adjustVoters. An instance that returns at another address keeps its place: without
// it the group might bear fewer losses than FaultTolerance for a while.
func (c *Control) admit(ctx context.Context, req crwire.Admit) (crwire.AdmitResponse, error) {
	m, known := c.replica.Status().Members[req.ID]
	moved := known && m.Addr != req.Address
	if moved {
		if err := c.checkMoved(req, m.Addr); err != nil {
			return crwire.AdmitResponse{}, err
		}
	}
	err := retryPending(ctx, func() error {
		return c.replica.Admit(ctx, req.ID, req.Address, cmp.Or(req.Zone, m.Zone))
	})
	if err != nil {
		return crwire.AdmitResponse{}, err
	}
	switch {
	case moved:
		c.Logf("instance %d has moved from %s to %s", req.ID, m.Addr, req.Address)
	case !known:
		c.Logf("instance %d at %s in zone %q is admitted", req.ID, req.Address, req.Zone)
	}
	if err := c.replica.Do(func() { delete(c.resignedAt, req.ID) }); err != nil {
		return crwire.AdmitResponse{}, err
	}
	err = retryPending(ctx, func() error { return c.adjustVoters(ctx) })
	return crwire.AdmitResponse{Voting: known && m.Role == crquorum.RoleVoter}, err
}

// retryPending calls change until no other change of the members is under way or ctx
// ends.
func retryPending(ctx context.Context, change func() error) error {
	err := change()
	for errors.Is(err, crquorum.ErrChangePending) && ctx.Err() == nil {
		crnet.Pause(ctx, changeRetryInterval)
		err = change()
	}
	return err
}

// checkMoved returns an error if another process answers under the ID of an instance at
// its former address.
func (c *Control) checkMoved(req crwire.Admit, former string) error {
	inContact := false
	err := c.replica.Do(func() {
		contact, known := c.replica.Contacts()[req.ID]
		inContact = known && contact.Silence < crvoters.MemberSilence
	})
	if err == nil && inContact {
		err = fmt.Errorf("instance %d answers at %s and can't be admitted at %s", req.ID, former, req.Address)
	}
	return err
}
