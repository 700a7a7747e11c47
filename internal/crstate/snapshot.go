package crstate

import (
	"encoding/json"
	"fmt"
)

// Snapshot encodes the state; equal states give equal bytes.
func (s *State) Snapshot() []byte {
	data, err := json.Marshal(s.image)
	if err != nil {
		// The image holds plain data only.
		panic(fmt.Sprintf("encode a snapshot: %v", err))
	}
	return data
}

// Restore returns the state that a snapshot encodes.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, &s.image); err != nil {
		return nil, fmt.Errorf("decode a snapshot: %w", err)
	}
	for _, a := range s.Answers {
		s.recent[a.ID] = a
	}
	claims := s.Claims
	s.Claims = map[string]map[string]*claim{}
	for service, byKey := range claims {
		for key, c := range byKey {
			s.putClaim(service, key, c)
		}
	}
	return s, nil
}
