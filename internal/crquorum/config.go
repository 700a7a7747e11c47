package crquorum

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Role is a member's part in the quorum.
type Role int

const (
	// RoleVoter votes and counts for commit.
	RoleVoter Role = iota
	// RoleLearner only receives the log.
	RoleLearner
	// RoleJoining is a learner that becomes a voter as soon as it holds every
	// committed entry.
	RoleJoining
)

// Member is one instance of a configuration.
type Member struct {
	// Addr is the host:port of the instance.
	Addr string `json:"addr"`
	Role Role   `json:"role,omitempty"`
	// Incarnation is the incarnation of the disk whose votes and acknowledgements
	// count. Not 0 for a voter.
	Incarnation uint64 `json:"life,omitempty"`
}

// Config says who takes part.
type Config struct {
	Members map[uint64]Member `json:"members"`
}

// IDs returns the members in ascending order.
func (c Config) IDs() []uint64 { return slices.Sorted(maps.Keys(c.Members)) }

// VoterCount counts the voters.
func (c Config) VoterCount() int {
	n := 0
	for _, m := range c.Members {
		if m.Role == RoleVoter {
			n++
		}
	}
	return n
}

// IsVoter says whether the votes of an instance with this disk count.
func (c Config) IsVoter(id, life uint64) bool {
	m, ok := c.Members[id]
	return ok && m.Role == RoleVoter && m.Incarnation == life
}

// with returns a copy in which one member is changed.
func (c Config) with(id uint64, m Member) Config {
	out := Config{Members: maps.Clone(c.Members)}
	out.Members[id] = m
	return out
}

// without returns a copy that lacks one member.
func (c Config) without(id uint64) Config {
	out := Config{Members: maps.Clone(c.Members)}
	delete(out.Members, id)
	return out
}

// quorum returns the highest value that a majority of the voters has reached.
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
		panic(fmt.Sprintf("crquorum: a configuration always encodes: %v", err))
	}
	return data
}

// decodeConfig reads the data of a configuration entry.
func decodeConfig(data []byte) (Config, error) {
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("configuration entry: %w", err)
	}
	return c, nil
}
