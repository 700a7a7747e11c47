package crstate

import "container/heap"

// expiry is the end of a claim.
type expiry struct {
	service, key string
	claim        *claim
}

// expiryHeap orders expiries for container/heap, the earliest first. Each
// claim knows its place in it.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].claim.Until.Before(h[j].claim.Until) }

// Swap exchanges two expiries.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].claim.place, h[j].claim.place = i, j
}

// Push adds an expiry.
func (h *expiryHeap) Push(x any) {
	if e, ok := x.(expiry); ok {
		e.claim.place = len(*h)
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

// putClaim stores a claim and its expiry.
func (s *State) putClaim(service, key string, c *claim) {
	if s.Claims[service] == nil {
		s.Claims[service] = map[string]*claim{}
	}
	s.Claims[service][key] = c
	s.sizes[service] += c.room(key)
	heap.Push(&s.expiries, expiry{service: service, key: key, claim: c})
}

// dropClaim forgets a claim and its expiry.
func (s *State) dropClaim(service, key string) {
	c := s.Claims[service][key]
	if c == nil {
		return
	}
	s.sizes[service] -= c.room(key)
	heap.Remove(&s.expiries, c.place)
	delete(s.Claims[service], key)
	if len(s.Claims[service]) == 0 {
		delete(s.Claims, service)
		delete(s.sizes, service)
	}
}

// expireClaims forgets the claims whose time is over.
func (s *State) expireClaims() {
	for len(s.expiries) > 0 && !s.expiries[0].claim.Until.After(s.Time) {
		s.dropClaim(s.expiries[0].service, s.expiries[0].key)
	}
}
