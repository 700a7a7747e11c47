package crcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// apply applies a committed entry to the state. It runs in the replica's goroutine.
func (c *Control) apply(_ uint64, data []byte) any {
	entry, err := decodeEntry(data)
	if err != nil {
		// The entry has the same bytes on every instance, so all of them skip it.
		c.metrics.skippedEntries.Inc()
		return crstate.Reply{}
	}
	reply := c.state.Apply(entry)
	if reply.Delta == nil {
		return reply
	}
	if entry.Kind != crwire.KindExpire {
		// An expiry isn't a sign of life.
		c.leases.Apply(reply.Delta.Members, time.Now())
	}
	c.metrics.agents.Set(float64(c.leases.Len()))
	if err := c.source.Add(reply.Delta); err != nil {
		c.source.Reset(c.state.View())
	}
	return reply
}

// decodeEntry decodes an entry of the log.
func decodeEntry(data []byte) (crstate.Entry, error) {
	var entry crstate.Entry
	decompressed, err := decompress(data)
	if err == nil {
		err = json.Unmarshal(decompressed, &entry)
	}
	return entry, err
}

// snapshot encodes the state. It runs in the replica's goroutine.
func (c *Control) snapshot() []byte { return c.state.Snapshot() }

// restore replaces the state by a snapshot; nil data is the empty state. It runs in
// the replica's goroutine.
func (c *Control) restore(data []byte) error {
	state := crstate.New()
	if data != nil {
		restored, err := crstate.Restore(data)
		if err != nil {
			return err
		}
		state = restored
	}
	c.state = state
	c.leases.GrantAll(state.Agents(), time.Now())
	c.source.Reset(state.View())
	return nil
}

// statusChanged handles a change of the instance's role in the quorum. It runs in
// the replica's goroutine. An instance that becomes leader, or as leader regains
// contact with the quorum, may have missed renewals. It therefore grants each agent
// a full lease.
func (c *Control) statusChanged(s crreplica.Status) {
	prev := c.prevStatus
	c.prevStatus = s
	wasLeading := prev.Leading && prev.Fresh && prev.Term == s.Term
	if s.Leading && s.Fresh && !wasLeading {
		c.leases.GrantAll(c.state.Agents(), time.Now())
	}
	if s.Fresh != prev.Fresh {
		c.Logf("contact with the quorum: %t", s.Fresh)
	}
	c.source.SetControlAddrs(s.AcceptedAddrs, s.AcceptedIndex)
	c.metrics.setStatus(s)
}

// commit proposes an entry, waits until it is applied and returns the reply. A change of
// what daemons see is returned once a quorum has recorded it as accepted.
func (c *Control) commit(ctx context.Context, entry crstate.Entry) (crstate.Reply, error) {
	entry.Time = time.Now().UTC()
	data, err := json.Marshal(entry)
	if err == nil && len(data) > maxDecompressedBytes {
		// decodeEntry would skip the entry after its commit.
		err = fmt.Errorf("%d bytes exceed the limit of %d", len(data), maxDecompressedBytes)
	}
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		return crstate.Reply{}, fmt.Errorf("encode log entry: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	propose := c.replica.Propose
	if entry.Change != nil || entry.Kind == crwire.KindMembers {
		// Daemons that start without a quorum obey what an instance knows as accepted.
		propose = c.replica.ProposeRecorded
	}
	applied, err := propose(ctx, data)
	if err != nil {
		return crstate.Reply{}, err
	}
	reply, ok := applied.(crstate.Reply)
	if !ok {
		return crstate.Reply{}, fmt.Errorf("unexpected type %T of an applied entry's reply", applied)
	}
	return reply, nil
}
