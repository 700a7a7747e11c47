package crstate

import "container/heap"

// expiry is an element of expiryHeap.
type expiry struct {
	service, key string
	claim        *claim
}

// expiryHeap implements heap.Interface with the earliest expiry first. It keeps
// claim.heapIndex up to date.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].claim.ExpiresAt.Before(h[j].claim.ExpiresAt) }

// Swap exchanges two expiries.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].claim.heapIndex, h[j].claim.heapIndex = i, j
}

// Push adds an expiry.
func (h *expiryHeap) Push(x any) {
	if e, ok := x.(expiry); ok {
		e.claim.heapIndex = len(*h)
		*h = append(*h, e)
	}
}

// Pop removes the last expiry.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = expiry{}
	*h = (*h)[:last]
	return e
}

// putClaim adds a claim and its expiry.
func (s *State) putClaim(service, key string, c *claim) {
	if s.Claims[service] == nil {
		s.Claims[service] = map[string]*claim{}
	}
	s.Claims[service][key] = c
	s.claimBytes[service] += c.size(key)
	heap.Push(&s.expiries, expiry{service: service, key: key, claim: c})
}

// dropClaim removes a claim and its expiry, if there is one.
func (s *State) dropClaim(service, key string) {
	c := s.Claims[service][key]
	if c == nil {
		return
	}
	s.claimBytes[service] -= c.size(key)
	heap.Remove(&s.expiries, c.heapIndex)
	delete(s.Claims[service], key)
	if len(s.Claims[service]) == 0 {
		delete(s.Claims, service)
		delete(s.claimBytes, service)
	}
}

// expireClaims removes the claims that have expired at s.Time.
func (s *State) expireClaims() {
	for len(s.expiries) > 0 && !s.expiries[0].claim.ExpiresAt.After(s.Time) {
		s.dropClaim(s.expiries[0].service, s.expiries[0].key)
	}
}
