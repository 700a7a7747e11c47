package cropaque

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// hintRepeats is how often an agent sends a hint; a datagram may be lost.
	hintRepeats = 3
	// hintTTL is how long a hint is kept: as long as most flows live.
	hintTTL = time.Minute
	// maxHints limits the hints that an agent keeps, at about 150 bytes each.
	maxHints = 20_000
)

// hint says which agent owns a flow.
type hint struct {
	owner netip.AddrPort
	at    time.Time
}

// hints tells the agents of a flow's short list who owns it when its owner is no
// longer on that list, because an agent has joined that ranks before the owner. That saves
// a lookup its second round of questions; it doesn't rest on hints, which are lost when an
// agent is restarted. Only the agents of the owner's own zone can change places with it.
type hints struct {
	// members are the agents of the agent's own service.
	members *serviceMembers
	// nums are the members' numbers, growths how often a view has added any. due is
	// set while hints must be sent.
	nums    map[uint32]bool
	growths int
	due     bool
	byKey   map[Key]hint
}

// setMembers applies the members of a view for a service.
func (h *hints) setMembers(v *crwire.View, service string) {
	members, nums, grown := &serviceMembers{}, map[uint32]bool{}, false
	for num, m := range v.Members {
		if m.Service != service {
			continue
		}
		addr, err := netip.ParseAddrPort(m.DatagramAddr)
		if err != nil {
			continue
		}
		members.add(&peer{member: m, addr: addr})
		nums[num] = true
		grown = grown || !h.nums[num]
	}
	h.members, h.nums = members, nums
	if grown {
		h.growths++
		h.due = true
	}
}

// store keeps a hint of another agent.
func (h *hints) store(now time.Time, key Key, owner netip.AddrPort) {
	if h.byKey == nil {
		h.byKey = map[Key]hint{}
	}
	if _, known := h.byKey[key]; known || len(h.byKey) < maxHints {
		h.byKey[key] = hint{owner: owner, at: now}
	}
}

// expire drops old hints.
func (h *hints) expire(now time.Time) {
	for key, old := range h.byKey {
		if now.Sub(old.at) > hintTTL {
			delete(h.byKey, key)
		}
	}
}

// recipients returns the agents to which the agent with this name must name itself as
// the owner of a flow, none if it is on the flow's short list.
func (h *hints) recipients(key Key, zone, name string) []*peer {
	if h.members == nil {
		return nil
	}
	list := h.members.zoneShortList(key, zone)
	for _, p := range list {
		if p.member.Name == name {
			return nil
		}
	}
	return list
}

// sendHints sends the hints that are due for the flows that are open here.
func (g *Gate) sendHints() {
	if !g.hints.due {
		return
	}
	g.hints.due = false
	for key, f := range g.flows {
		if f.hintsFor != g.hints.growths {
			f.hintsFor, f.hintsSent = g.hints.growths, 0
		}
		if !f.opened || f.ended || f.hintsSent >= hintRepeats {
			continue
		}
		recipients := g.hints.recipients(key, g.Zone, g.Name)
		for _, p := range recipients {
			g.Reply(p.addr, &Frame{Kind: FrameHint, Key: key})
		}
		if len(recipients) > 0 {
			// Sent again at the next sweep.
			f.hintsSent++
			g.hints.due = true
		}
	}
}
