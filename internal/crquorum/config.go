package crquorum

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Role is the role of a member in the cluster.
type Role int

const (
	// RoleVoter votes in elections and counts towards the commit quorum.
	RoleVoter Role = iota
	// RoleLearner receives the log and has no vote.
	RoleLearner
	// RoleJoining is a learner that the leader promotes to voter as soon as it
	// has all committed entries.
	RoleJoining
)

// Member is one instance in a configuration.
type Member struct {
	// Addr is the host:port of the instance.
	Addr string `json:"addr"`
	Role Role   `json:"role,omitempty"`
	// Zone is the availability zone of the instance, empty if unknown.
	Zone string `json:"zone,omitempty"`
	// Since is the index of the entry that added the instance, 0 for an initial
	// member. It orders the members by their age.
	Since uint64 `json:"since,omitempty"`
	// Incarnation identifies the disk whose votes and acknowledgements are
	// valid. Never 0 for a voter.
	Incarnation uint64 `json:"life,omitempty"`
}

// Config is the membership of the cluster, by instance ID.
type Config struct {
	Members map[uint64]Member `json:"members"`
}

// IDs returns the IDs of the members in ascending order.
func (c Config) IDs() []uint64 { return slices.Sorted(maps.Keys(c.Members)) }

// VoterCount returns the number of voters.
func (c Config) VoterCount() int {
	n := 0
	for _, m := range c.Members {
		if m.Role == RoleVoter {
			n++
		}
	}
	return n
}

// IsVoter reports whether the instance is a voter with the disk of this
// incarnation.
func (c Config) IsVoter(id, incarnation uint64) bool {
	m, ok := c.Members[id]
	return ok && m.Role == RoleVoter && m.Incarnation == incarnation
}

// with returns a copy with m added or changed.
func (c Config) with(id uint64, m Member) Config {
	out := Config{Members: maps.Clone(c.Members)}
	out.Members[id] = m
	return out
}

// without returns a copy without one member.
func (c Config) without(id uint64) Config {
	out := Config{Members: maps.Clone(c.Members)}
	delete(out.Members, id)
	return out
}

// quorum returns the highest number that the values of a majority of the voters
// have reached. The function value returns the value of one voter.
func (c Config) quorum(value func(id uint64, m Member) uint64) uint64 {
	var buf [8]uint64
	values := buf[:0]
	for id, m := range c.Members {
		if m.Role == RoleVoter {
			values = append(values, value(id, m))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Encode returns the data of a configuration entry.
func (c Config) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("crquorum: encode configuration: %v", err))
	}
	return data
}

// decodeConfig decodes the data of a configuration entry.
func decodeConfig(data []byte) (Config, error) {
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("configuration entry: %w", err)
	}
	return c, nil
}
