package crcontrol

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crwire"
)

// PathAdmit takes the request of an instance to take part.
const PathAdmit = "/admit"

const (
	// admitPause is the time between two requests to be admitted.
	admitPause = 200 * time.Millisecond
	// admitTimeout bounds one request.
	admitTimeout = time.Second
	// growMax bounds how long the first catalog waits for the group to grow:
	// some admissions of 200 ms each.
	growMax = 4 * time.Second
	// silentMax is how long a voter may be silent before the leader drops it
	// for others that can take its place. It covers a restart of the process.
	silentMax = 2500 * time.Millisecond
)

// addresses returns the members' host:port, sorted.
func addresses(s crreplica.Status) []string {
	out := make([]string, 0, len(s.Members))
	for _, m := range s.Members {
		out = append(out, m.Addr)
	}
	slices.Sort(out)
	return out
}

// IsFounder says whether an instance founds the group at the first start of the
// whole system: the lowest of the addresses that everyone was given. All are
// given the same ones, so there is one founder; the others are admitted by it.
func IsFounder(self string, known []string) bool {
	return len(known) > 0 && self == slices.Min(known)
}

// growing refuses the first catalog while a group that has just been founded has
// too few voters to bear the losses that it must bear: what a group of one or
// two acknowledges is gone with a disk. A deployment that has no more instances
// is served after growMax.
func (c *Control) growing(change *crwire.Change) error {
	young := c.Settings.Replica.Address != "" && change.Kind == crwire.KindCatalog && c.source.View().Catalog == nil
	voters := len(c.replica.Status().Voters)
	if !young || voters > 2*c.FaultTolerance || crclock.Now()-c.opened > growMax {
		return nil
	}
	return fmt.Errorf("the group has %d voters and waits for %d", voters, 2*c.FaultTolerance+1)
}

// admission asks to be admitted whenever this instance isn't a voter.
func (c *Control) admission() {
	in := crwire.Admit{ID: c.Settings.Replica.ID, Address: c.Settings.Replica.Address}
	for next := 0; c.life.Err() == nil; next++ {
		if _, voting := c.replica.Status().Voters[in.ID]; !voting || !c.replica.Status().Fresh {
			c.askAdmission(in, next)
		}
		crnet.Pause(c.life, admitPause)
	}
}

// askAdmission asks one of the instances that may know the group.
func (c *Control) askAdmission(in crwire.Admit, next int) {
	known := addresses(c.replica.Status())
	for _, addr := range c.Peers() {
		if !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	known = slices.DeleteFunc(known, func(addr string) bool { return addr == in.Address })
	if len(known) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.life, admitTimeout)
	defer cancel()
	var out crwire.AdmitResponse
	addr := known[next%len(known)]
	if err := c.client.JSON(ctx, addr, PathAdmit, in, &out); err != nil && c.life.Err() == nil {
		c.metrics.unadmitted.Inc()
	}
}

// serveAdmit admits an instance here or at the leader.
func (c *Control) serveAdmit(w http.ResponseWriter, r *http.Request) {
	var in crwire.Admit
	if !crnet.ReadJSON(w, r, bodyMax, &in) {
		return
	}
	status := c.replica.Status()
	switch {
	case status.Leading:
		out, err := c.admit(r.Context(), in)
		c.answer(w, out, err)
	case status.Address == "" || status.Address == in.Address || in.Forwarded:
		c.answer(w, nil, &crreplica.NotLeaderError{Leader: status.Address})
	default:
		ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
		defer cancel()
		var out crwire.AdmitResponse
		in.Forwarded = true
		err := c.client.JSON(ctx, status.Address, PathAdmit, in, &out)
		c.answer(w, out, err)
	}
}

// admit adds an instance to the group as the leader; the log gives it a vote
// as soon as it holds what is committed. An instance that came back at another
// address is removed first.
func (c *Control) admit(ctx context.Context, in crwire.Admit) (crwire.AdmitResponse, error) {
	m, known := c.replica.Status().Members[in.ID]
	var err error
	switch {
	case known && m.Addr != in.Address:
		err = c.replica.Remove(ctx, in.ID)
	case !known:
		err = c.replica.AddLearner(ctx, in.ID, in.Address)
		if err == nil {
			err = c.replica.Promote(ctx, in.ID)
		}
	case m.Role == crquorum.RoleLearner:
		err = c.replica.Promote(ctx, in.ID)
	}
	if err == nil && !known {
		c.Logf("instance %d at %s is admitted", in.ID, in.Address)
	}
	return crwire.AdmitResponse{Voting: known && m.Role == crquorum.RoleVoter}, err
}

// dropSilent removes a voter that the leader hasn't heard for long, as long as
// enough others are heard to bear the losses that the system must bear: a
// machine that was replaced would count for ever otherwise.
func (c *Control) dropSilent() {
	var drop uint64
	err := c.replica.Do(func() {
		heard := c.replica.TimeSinceContact()
		voters := c.replica.Status().Voters
		live := 0
		for _, id := range slices.Sorted(maps.Keys(voters)) {
			if heard[id] < silentMax {
				live++
			} else {
				drop = id
			}
		}
		if s := c.replica.Status(); !s.Leading || !s.Fresh || live < 2*c.FaultTolerance+1 || live < 3 {
			drop = 0
		}
	})
	if err != nil || drop == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.life, commitTimeout)
	defer cancel()
	if err := c.replica.Remove(ctx, drop); err != nil {
		if !errors.Is(err, crquorum.ErrChangePending) {
			c.Logf("silent instance %d was not removed: %v", drop, err)
		}
		return
	}
	c.Logf("silent instance %d is removed; %d or more others are heard", drop, 2*c.FaultTolerance+1)
}
