package crcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstate"
)

// apply carries out a committed entry; it runs in the replica's goroutine.
func (c *Control) apply(_ uint64, data []byte) any {
	e, err := decode(data)
	if err != nil {
		// Every instance reads the same bytes and skips them alike.
		c.metrics.skipped.Inc()
		return crstate.Reply{}
	}
	reply := c.state.Apply(e)
	if reply.Delta == nil {
		return reply
	}
	c.leases.Apply(reply.Delta.Members, time.Now())
	c.metrics.agents.Set(float64(c.leases.Len()))
	if err := c.source.Add(reply.Delta); err != nil {
		c.source.Reset(c.state.View())
	}
	return reply
}

// decode reads an entry of the log.
func decode(data []byte) (crstate.Entry, error) {
	var e crstate.Entry
	plain, err := unpack(data)
	if err == nil {
		err = json.Unmarshal(plain, &e)
	}
	return e, err
}

// preview makes the early view of what is on disk.
func (c *Control) preview() {
	snap, entries := c.replica.PersistedState()
	state := crstate.New()
	if snap != nil {
		restored, err := crstate.Restore(snap)
		if err != nil {
			c.Logf("no early view: %v", err)
			return
		}
		state = restored
	}
	for _, data := range entries {
		e, err := decode(data)
		if err != nil {
			// apply skips and counts it as well, once it is committed.
			continue
		}
		state.Apply(e)
	}
	if state.Revision() > 0 {
		c.early = state.View()
	}
}

// snapshot encodes the state; it runs in the replica's goroutine.
func (c *Control) snapshot() []byte { return c.state.Snapshot() }

// restore replaces the state; it runs in the replica's goroutine.
func (c *Control) restore(data []byte) error {
	state, err := crstate.Restore(data)
	if err != nil {
		return err
	}
	c.state = state
	c.leases.GrantAll(state.Agents(), time.Now())
	c.source.Reset(state.View())
	return nil
}

// changed follows the instance's place in the quorum; it runs in the
// replica's goroutine. An instance that begins to lead, or is fresh again,
// can't know which agents renewed meanwhile, so it grants a full lease.
func (c *Control) changed(s crreplica.Status) {
	was := c.status
	c.status = s
	led := was.Leading && was.Fresh && was.Term == s.Term
	if s.Leading && s.Fresh && !led {
		c.leases.GrantAll(c.state.Agents(), time.Now())
	}
	if s.Fresh != was.Fresh {
		c.Logf("contact with the quorum: %t", s.Fresh)
	}
	c.source.SetControlAddrs(addresses(s))
	c.metrics.setStatus(s)
}

// commit proposes an entry and returns what applying it answered.
func (c *Control) commit(ctx context.Context, e crstate.Entry) (crstate.Reply, error) {
	e.Time = time.Now().UTC()
	data, err := json.Marshal(e)
	if err == nil {
		data, err = pack(data)
	}
	if err != nil {
		return crstate.Reply{}, fmt.Errorf("encode an entry: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	value, err := c.replica.Propose(ctx, data)
	if err != nil {
		return crstate.Reply{}, err
	}
	reply, ok := value.(crstate.Reply)
	if !ok {
		return crstate.Reply{}, fmt.Errorf("the log answered %T", value)
	}
	return reply, nil
}
