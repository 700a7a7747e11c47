package crvoters

import (
	"cmp"
	"slices"
	"time"

	"cardamomring.dev/internal/crquorum"
)

const (
	// SpareSilence is the time without contact after which a spare instance votes in place
	// of a voter. It is longer than TCP takes to send a lost segment again.
	SpareSilence = 500 * time.Millisecond
	// VoterSilence is the time without contact after which a voter is demoted, if enough
	// voters remain. It is several election timeouts; an instance that returns later gets
	// its vote back.
	VoterSilence = time.Second
	// MemberSilence is the time without contact after which an instance without a vote
	// is removed. It covers a restart of the process.
	MemberSilence = 2500 * time.Millisecond
	// minVoters is the least number of voters that isn't reduced: fewer bear no loss.
	minVoters = 3
)

// Group is what the leader knows about the instances.
type Group struct {
	// Config is the latest configuration of the log.
	Config crquorum.Config
	// Silence is the time since the leader had contact with each member. A leader that is
	// new counts from the time when it became leader.
	Silence map[uint64]time.Duration
	// Answered are the members that the leader has had contact with.
	Answered map[uint64]bool
	// Stopping are the instances that are about to stop and give up their vote.
	Stopping map[uint64]bool
	// FaultTolerance is how many disks may be lost at once.
	FaultTolerance int
}

// Next returns the next change that brings the voters nearer to the wanted ones. One
// that is silent or stops is replaced; it is demoted without a replacement only if
// enough voters remain. Others are demoted once all wanted instances vote, so that the
// group bears the loss of FaultTolerance disks at each step.
func (g *Group) Next() Change {
	wanted := g.wanted()
	for _, id := range g.Config.IDs() {
		if g.Votes(id) && !g.available(id) && g.Config.VoterCount() > g.enough() {
			return Change{OpDemote, id}
		}
	}
	allVote := true
	for _, id := range wanted {
		allVote = allVote && g.Votes(id)
		if g.Config.Members[id].Role == crquorum.RoleLearner {
			return Change{OpPromote, id}
		}
	}
	for _, id := range g.Config.IDs() {
		switch {
		case g.Votes(id) && allVote && g.available(id) && !slices.Contains(wanted, id):
			return Change{OpDemote, id}
		case !g.Votes(id) && g.Silence[id] >= MemberSilence:
			return Change{OpRemove, id}
		}
	}
	return Change{}
}

// Replaceable reports whether the group has enough voters without the instance.
func (g *Group) Replaceable(id uint64) bool {
	others := 0
	for _, other := range g.Config.IDs() {
		if other != id && g.available(other) {
			others++
		}
	}
	return others >= g.enough()
}

// Successors returns the voters to which a leader that is about to lose its vote may
// hand over, those that answered last first.
func (g *Group) Successors(leader uint64) []uint64 {
	ids := slices.DeleteFunc(g.wanted(), func(id uint64) bool { return id == leader || !g.Votes(id) })
	slices.SortStableFunc(ids, func(a, b uint64) int { return cmp.Compare(g.Silence[a], g.Silence[b]) })
	return ids
}

// wanted returns the instances that should vote: all available ones, but for one if
// their number is even and greater than needed. An even number of voters bears no more
// losses than one voter fewer, and one that is gone would reduce what the group bears.
func (g *Group) wanted() []uint64 {
	ids := slices.DeleteFunc(g.Config.IDs(), func(id uint64) bool { return !g.available(id) })
	if len(ids) <= g.enough() || len(ids)%2 == 1 {
		return ids
	}
	spare := g.spare(ids)
	return slices.DeleteFunc(ids, func(id uint64) bool { return id == spare })
}

// spare returns the instance that should not vote: one that is silent, or else the
// oldest one in the zone of the newest. A planned replacement starts first, in the zone
// of the instance that is about to go. Without another one in its zone it is the newest
// itself.
func (g *Group) spare(ids []uint64) uint64 {
	silent := slices.MaxFunc(ids, func(a, b uint64) int { return cmp.Compare(g.Silence[a], g.Silence[b]) })
	if g.Silence[silent] >= SpareSilence {
		return silent
	}
	newest := slices.MaxFunc(ids, g.compareAge)
	zone := g.Config.Members[newest].Zone
	if zone == "" {
		return newest
	}
	sameZone := slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return g.Config.Members[id].Zone != zone })
	return slices.MinFunc(sameZone, g.compareAge)
}

// compareAge orders instances by their admission, oldest first.
func (g *Group) compareAge(a, b uint64) int {
	return cmp.Or(cmp.Compare(g.Config.Members[a].Since, g.Config.Members[b].Since), cmp.Compare(a, b))
}

// enough returns the number of voters that bears the loss of FaultTolerance disks.
func (g *Group) enough() int { return max(2*g.FaultTolerance+1, minVoters) }

// Votes reports whether an instance has a vote.
func (g *Group) Votes(id uint64) bool { return g.Config.Members[id].Role == crquorum.RoleVoter }

// available reports whether an instance answers and isn't about to stop. A voter is given
// more time, also to answer a new leader.
func (g *Group) available(id uint64) bool {
	if g.Votes(id) {
		return g.Silence[id] < VoterSilence && !g.Stopping[id]
	}
	return g.Silence[id] < SpareSilence && !g.Stopping[id] && g.Answered[id]
}
