package crstate

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"cardamomring.dev/pkg/crdoc"
)

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() []byte {
	data, err := json.Marshal(s.persisted)
	if err != nil {
		// Unreachable: persisted holds plain data only.
		panic(fmt.Sprintf("encode state snapshot: %v", err))
	}
	return data
}

// Restore decodes a snapshot.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, &s.persisted); err != nil {
		return nil, fmt.Errorf("decode state snapshot: %w", err)
	}
	if s.ZoneVersions == nil {
		s.ZoneVersions = map[string]uint64{}
	}
	if s.Former == nil {
		s.Former = map[netip.AddrPort][]crdoc.FormerService{}
	}
	for _, r := range s.ChangeResults {
		s.resultByID[r.ID] = r
	}
	claims := s.Claims
	s.Claims = map[string]map[string]*claim{}
	for service, byKey := range claims {
		for key, c := range byKey {
			if c == nil {
				return nil, fmt.Errorf("decode state snapshot: claim %q of service %q is missing", key, service)
			}
			s.putClaim(service, key, c)
		}
	}
	return s, nil
}
